// Histories of several regions that share one configuration stream: files race
// and change, regions are parted, restart in the middle of the stream and hear
// late or old words. Judged by what each region's decision stream accepted.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "configuration/configuration_reader.h"
#include "configuration/quota_division.h"
#include "entry/region_homes.h"
#include "replay/configuration_state.h"
#include "replay/decision_state.h"
#include "replay/record_builders.h"

namespace papayadrift::entry {
namespace {

constexpr Offset kFarOffset(1'000'000);
constexpr int kSteps = 600;
const std::vector<std::string> kNames = {"north", "south", "west"};
const std::vector<std::string> kIds = {"plan",       "route",      "dispatch",
                                       "plan@north", "plan@south", "route@west",
                                       "order",      "order@east"};
constexpr int64_t kLargestQuota = 100;

configuration::Configuration Parse(const std::string& text) {
  std::vector<settings::Problem> problems;
  return configuration::ReadConfiguration(text, problems)
      .value_or(configuration::Configuration());
}

std::string RandomFile(pcg32& random) {
  std::string text = "[customer c]\n[team t]\ncustomer = c\nquota_cores = " +
                     std::to_string(10 + random(kLargestQuota - 9)) +
                     " cores\nquota_memory = 1 GiB\n";
  if (random(4) == 0) {
    return text;
  }
  const uint32_t homes = random(3) == 0 ? 1 + random(7) : 3;
  for (uint32_t i = 0; i < kNames.size(); ++i) {
    text += "[region " + kNames[i] +
            "]\nquota_weight = " + std::to_string(1 + random(3)) +
            "\nhome = " + ((homes >> i) % 2 != 0 ? "yes" : "no") + "\n";
  }
  return text;
}

// What the regions share: the configuration stream of the log.
class Stream {
 public:
  void Append(const std::string& author, records::Record record) {
    records_.push_back({.id = {.author = EntryId(author),
                               .incarnation = Incarnation(1),
                               .sequence = ++sequence_},
                        .last_offset = kFarOffset,
                        .record = std::move(record)});
  }
  const records::Proposal* At(Offset offset) const {
    return offset.value() > records_.size() ? nullptr
                                            : &records_[offset.value() - 1];
  }

 private:
  std::vector<records::Proposal> records_;
  uint64_t sequence_ = 0;
};

// One region as its duty entry drives it, without processes.
class Region {
 public:
  explicit Region(const std::string& name) : name_(name) {
    Decide(test::OfEntry<records::EntryJoined>("e", 1));
  }

  ConfigurationInForce in_force() const {
    const replay::Configuration& newest = configuration_->in_force();
    ConfigurationInForce in_force;
    in_force.version = newest.version;
    in_force.parsed = Parse(newest.text);
    in_force.home_regions = newest.home_regions;
    in_force.division = newest.division;
    return in_force;
  }
  const replay::DecisionState& decisions() const { return decisions_; }

  void Read(const Stream& stream, uint32_t limit) {
    for (uint32_t i = 0; i < limit; ++i) {
      const Offset offset = configuration_->next_offset();
      const records::Proposal* proposal = stream.At(offset);
      if (proposal == nullptr) {
        return;
      }
      configuration_->Apply(offset, *proposal);
      configuration_->Complete(offset);
      const auto& homes = configuration_->in_force().home_regions;
      RC_ASSERT(known_homes_.empty() || homes.empty() || homes == known_homes_);
      known_homes_ = homes.empty() ? known_homes_ : homes;
    }
  }

  // All entries of the region are replaced and read on from that offset.
  void Restart(Offset first) { configuration_.emplace(first); }

  void Hear(const Region& peer) {
    configuration_->Adopt(peer.configuration_->in_force(), Offset());
  }

  void Apply(Stream& stream, const std::string& text) const {
    const ConfigurationInForce known = in_force();
    const configuration::Configuration parsed = Parse(text);
    stream.Append(name_, records::ConfigurationProposed{
                             known.version, name_, text,
                             configuration::HomeRegionsToPropose(
                                 parsed, known.home_regions, RegionId(name_)),
                             configuration::DivisionDigest(parsed)});
  }

  void Reassert(Stream& stream) const {
    if (const auto record = configuration_->Reassertion()) {
      stream.Append(name_, *record);
    }
  }

  void Take(const std::string& id) {
    if (!std::holds_alternative<HomeIsHere>(
            FindHome(id, RegionId(name_), in_force()))) {
      return;
    }
    records::JobSubmitted job;
    job.job = JobId(id);
    job.tasks = 1;
    Decide(job);
    auto claim = test::OfEntry<records::KeyClaimed>("e", 1);
    claim.key = IdempotencyKey(id);
    claim.window_ends_at = WallInstant(milliseconds(1));
    Decide(claim);
  }

  void BringIn() {
    const ConfigurationInForce known = in_force();
    records::QuotasSet record;
    record.version = known.version;
    record.division = known.division;
    for (const auto& [team, share] : configuration::QuotaSharesOf(
             known.parsed, known.home_regions, RegionId(name_))) {
      record.shares.push_back({team, share});
    }
    Decide(std::move(record));
  }

  void Report(Stream& stream) const {
    stream.Append(
        name_, records::DivisionReached{
                   RegionId(name_), decisions_.quotas().holdings().division()});
  }

  void Raise() {
    const ConfigurationInForce known = in_force();
    for (const RegionId& region :
         configuration::QuotaHolders(known.parsed, known.home_regions)) {
      const auto it = configuration_->reached().find(region);
      if (it == configuration_->reached().end() ||
          it->second != known.division) {
        return;
      }
    }
    Send(records::QuotaSharesRaised{known.division});
  }

  void Give(const std::string& to, int64_t millicores) {
    const replay::QuotaHoldings& holdings = decisions_.quotas().holdings();
    const TeamId team("t");
    Send(records::QuotaGiven{
        holdings.division(), RegionId(to), team,
        holdings.GivenTo(RegionId(to), team) + Resources{millicores, 0, 0}});
  }

  void Offer(Stream& stream) const {
    const replay::QuotaHoldings& holdings = decisions_.quotas().holdings();
    for (const auto& [to, given] : holdings.given()) {
      records::QuotasOffered offer{
          RegionId(name_), to, holdings.division(), {}};
      for (const auto& [team, total] : given) {
        offer.totals.push_back({team, total});
      }
      stream.Append(name_, offer);
    }
  }

  // Any author may be late or wrong about what it heard; replay must hold.
  void TakeOffered(const std::string& from) {
    const ConfigurationVersion division =
        decisions_.quotas().holdings().division();
    for (const auto& [team, total] :
         configuration_->OfferedBy(RegionId(from), RegionId(name_), division)) {
      Send(records::QuotaTaken{division, RegionId(from), team, total});
      Send(records::QuotaTaken{division, RegionId(from), team, total});
    }
  }

  // Proposals reach the decision stream late and in any order.
  void Land(uint32_t choice) {
    if (in_flight_.empty()) {
      return;
    }
    const size_t at = choice % in_flight_.size();
    const records::Record record = std::move(in_flight_[at]);
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
    Decide(record);
  }

  void LandAll() {
    while (!in_flight_.empty()) {
      Land(0);
    }
  }

  int64_t HeldMillicores() const {
    const auto it = decisions_.quotas().holdings().held().find(TeamId("t"));
    return it == decisions_.quotas().holdings().held().end()
               ? 0
               : it->second.millicores;
  }
  // Of the division whose parts the region took last.
  ConfigurationVersion raised() const { return raised_; }

 private:
  void Send(records::Record record) { in_flight_.push_back(std::move(record)); }

  void Decide(records::Record record) {
    const Offset offset = decisions_.next_offset();
    const replay::Verdict verdict =
        decisions_.Apply(offset, 0,
                         {.id = {.author = EntryId("e"),
                                 .incarnation = Incarnation(1),
                                 .sequence = ++sequence_},
                          .last_offset = kFarOffset,
                          .record = record});
    decisions_.Complete(offset);
    const auto* raise = std::get_if<records::QuotaSharesRaised>(&record);
    if (raise != nullptr && verdict.is_accepted()) {
      raised_ = std::max(raised_, raise->division);
    }
  }

  const std::string name_;
  std::optional<replay::ConfigurationState> configuration_{Offset(1)};
  replay::DecisionState decisions_;
  std::vector<RegionId> known_homes_;
  std::vector<records::Record> in_flight_;
  ConfigurationVersion raised_;
  uint64_t sequence_ = 0;
};

// Files in force by version, and the quota of the team in each.
class Oracle {
 public:
  void Read(const Stream& stream) {
    while (const records::Proposal* proposal =
               stream.At(state_.next_offset())) {
      state_.Apply(state_.next_offset(), *proposal);
      state_.Complete(state_.next_offset());
      const replay::Configuration& newest = state_.in_force();
      const configuration::Configuration parsed = Parse(newest.text);
      if (!parsed.teams.empty()) {
        quotas_[newest.version] = parsed.teams[0].quota.millicores;
      }
    }
  }
  int64_t QuotaIn(ConfigurationVersion version) const {
    const auto it = quotas_.find(version);
    return it == quotas_.end() ? 0 : it->second;
  }
  Offset next_offset() const { return state_.next_offset(); }

 private:
  replay::ConfigurationState state_{Offset(1)};
  std::map<ConfigurationVersion, int64_t> quotas_;
};

class History {
 public:
  explicit History(uint32_t seed) : random_(seed) {
    for (const std::string& name : kNames) {
      regions_.emplace_back(name);
      regions_.back().Read(stream_, 0);
    }
  }

  void Step() {
    Region& region = regions_[random_(static_cast<uint32_t>(regions_.size()))];
    const std::string& other = kNames[random_(3)];
    switch (random_(18)) {
      case 0:
        if (random_(4) == 0) {
          region.Apply(stream_, RandomFile(random_));
        }
        break;
      case 1:
        region.Reassert(stream_);
        break;
      case 2:
        RestartSometimes(region);
        break;
      case 3:
        region.Hear(regions_[random_(3)]);
        break;
      case 4:
        region.BringIn();
        break;
      case 5:
        region.Report(stream_);
        break;
      case 6:
        region.Raise();
        break;
      case 7:
        region.Take(kIds[random_(static_cast<uint32_t>(kIds.size()))]);
        break;
      case 8:
        region.Give(other, 1 + random_(4000));
        break;
      case 9:
        region.Offer(stream_);
        break;
      case 10:
        region.TakeOffered(other);
        break;
      case 11:
      case 12:
      case 13:
      case 14:
        region.Land(random_());
        break;
      default:
        region.Read(stream_, random_(12));
    }
    oracle_.Read(stream_);
  }

  // The parting is over: everyone reads to the end and settles.
  void Heal() {
    for (int round = 0; round < 3; ++round) {
      for (Region& region : regions_) {
        region.Reassert(stream_);
        region.Read(stream_, kFarOffset.value());
        region.BringIn();
        region.Report(stream_);
        region.Raise();
        region.LandAll();
        region.Offer(stream_);
      }
    }
    for (Region& region : regions_) {
      region.Read(stream_, kFarOffset.value());
      region.Raise();
      region.LandAll();
      for (const std::string& from : kNames) {
        region.TakeOffered(from);
      }
      region.LandAll();
      for (const std::string& id : kIds) {
        region.Take(id);
      }
    }
    oracle_.Read(stream_);
  }

  std::set<std::string> TakenTwice() const {
    std::set<std::string> taken;
    std::set<std::string> twice;
    for (const Region& region : regions_) {
      for (const auto& [job, state] : region.decisions().jobs().jobs()) {
        if (!taken.insert("job " + job.text()).second) {
          twice.insert("job " + job.text());
        }
      }
      for (const auto& [key, state] : region.decisions().keys().keys()) {
        if (!taken.insert("key " + key.key.text()).second) {
          twice.insert("key " + key.key.text());
        }
      }
    }
    return twice;
  }

  int64_t Held() const {
    int64_t held = 0;
    for (const Region& region : regions_) {
      held += region.HeldMillicores();
    }
    return held;
  }

  // The quota of the last division whose parts any region took.
  int64_t QuotaOfLastRaise() const {
    ConfigurationVersion last;
    for (const Region& region : regions_) {
      last = std::max(last, region.raised());
    }
    return oracle_.QuotaIn(last);
  }

  const std::vector<Region>& regions() const { return regions_; }

 private:
  void RestartSometimes(Region& region) {
    if (random_(4) == 0) {
      const auto end = static_cast<uint32_t>(oracle_.next_offset().value());
      region.Restart(Offset(1 + random_(end)));
    }
  }

  pcg32 random_;
  Stream stream_;
  Oracle oracle_;
  std::vector<Region> regions_;
};

RC_GTEST_PROP(RegionHistory, NoJobOrKeyRunsInTwoRegionsAndQuotasHold, ()) {
  History history(*rc::gen::arbitrary<uint32_t>());
  for (int i = 0; i < kSteps; ++i) {
    history.Step();
    RC_ASSERT(history.TakenTwice() == std::set<std::string>());
    RC_ASSERT(history.Held() <= history.QuotaOfLastRaise());
  }
  history.Heal();
  RC_ASSERT(history.TakenTwice() == std::set<std::string>());
  RC_ASSERT(history.Held() <= history.QuotaOfLastRaise());
}

// Without this the property above could hold by refusing everything.
TEST(RegionHistoryTest, AfterPartingsWorkIsTakenAndQuotasAreHeldWhole) {
  int taken = 0;
  int whole = 0;
  for (uint32_t seed = 1; seed <= 50; ++seed) {
    History history(seed);
    for (int i = 0; i < kSteps; ++i) {
      history.Step();
    }
    history.Heal();
    for (const Region& region : history.regions()) {
      taken += static_cast<int>(region.decisions().jobs().jobs().size());
    }
    whole += history.Held() > 0 && history.Held() == history.QuotaOfLastRaise();
  }
  EXPECT_GE(taken, 50 * 4);  // Of 7 ids whose region exists.
  EXPECT_GE(whole, 45);
}

TEST(RegionHomesTest, EntriesOfOneNameInTwoRegionsWriteUnderTwoNames) {
  const EntryId entry("entry-1");
  EXPECT_NE(AuthorAmongRegions(RegionId("north"), entry),
            AuthorAmongRegions(RegionId("south"), entry));
}

}  // namespace
}  // namespace papayadrift::entry
