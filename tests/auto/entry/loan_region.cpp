#include "loan_region.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <variant>

#include "lease/rule.h"

namespace papayadrift::entry {

namespace {

using membership::RunnerShare;
using membership::ShareMember;
using routing::SlotLimit;

constexpr size_t kRunners = 2;
constexpr size_t kMaximumEntries = 9;  // In one history.
constexpr int64_t kLongestRequest = 200;
const ServiceId kService("checks");
const std::string kAddresses[kRunners] = {"10.0.0.1:80", "10.0.0.2:80"};

lease::LeaseSettings Short() {
  lease::LeaseSettings settings;
  settings.tail_freshness = milliseconds(300);
  settings.loan_term = milliseconds(400);
  settings.maximum_request = milliseconds(kLongestRequest);
  settings.pause_margin = milliseconds(1);
  settings.clock_rate_error_ppm = 50'000;
  return settings;
}

lease::MemberKey Key(size_t n) {
  return {EntryId("e" + std::to_string(n)), Incarnation(1)};
}

size_t RunnerOf(const std::string& address) {
  return address == kAddresses[0] ? 0 : 1;
}

}  // namespace

// The members after a prefix of the log, by the rule that replay follows.
class LoanRegion::Table {
 public:
  Table(const std::vector<LogRecord>& log, size_t size) {
    for (size_t i = 0; i < size; ++i) {
      Apply(log[i], i + 1);
      Promote(i + 1);
    }
  }

  const std::vector<ShareMember>& members() const { return members_; }
  const ShareMember* Find(size_t entry) const {
    const auto it = std::ranges::find(members_, Key(entry), &ShareMember::key);
    return it == members_.end() ? nullptr : &*it;
  }
  // Whether a joiner waits for the word of `entry`.
  bool Owes(size_t entry) const {
    const auto own = IndexOf(entry);
    return own < members_.size() &&
           std::ranges::any_of(
               joined_,
               [&](size_t offset) { return offset > acknowledged_[own]; });
  }

 private:
  size_t IndexOf(size_t entry) const {
    return static_cast<size_t>(
        std::ranges::find(members_, Key(entry), &ShareMember::key) -
        members_.begin());
  }
  void Apply(const LogRecord& record, size_t offset) {
    const size_t i = IndexOf(record.entry);
    if (record.what == What::kJoined) {
      members_.push_back({Key(record.entry)});
      joined_.push_back(offset);
      acknowledged_.push_back(offset);
    } else if (i == members_.size()) {
      return;
    } else if (record.what == What::kLapsed) {
      members_[i].is_lapsed = true;
    } else if (record.what == What::kAcknowledged && !members_[i].is_lapsed) {
      acknowledged_[i] = std::max(acknowledged_[i], record.generation);
    } else if (record.what == What::kGone) {
      const auto at = static_cast<std::ptrdiff_t>(i);
      members_.erase(members_.begin() + at);
      joined_.erase(joined_.begin() + at);
      acknowledged_.erase(acknowledged_.begin() + at);
    }
  }
  void Promote(size_t offset) {
    for (size_t j = 0; j < members_.size(); ++j) {
      bool is_known = !members_[j].was_full && !members_[j].is_lapsed;
      for (size_t i = 0; i < members_.size(); ++i) {
        is_known &=
            i == j || !members_[i].was_full || acknowledged_[i] >= joined_[j];
      }
      if (is_known) {
        members_[j].was_full = true;
        acknowledged_[j] = offset;
      }
    }
  }

  std::vector<ShareMember> members_;
  std::vector<size_t> joined_;
  std::vector<size_t> acknowledged_;
};

struct LoanRegion::Node {
  ManualClock clock;
  int64_t rate_ppm = 0;
  size_t applied = 0;
  std::optional<Instant> shares_until;
  routing::SlotCounter accounts[kRunners];
  std::unique_ptr<LoanDriver> driver;
  std::map<size_t, Instant> lapses_seen;
  size_t cut_from = kMaximumEntries;  // Peer that it can't reach.
  bool is_frozen = false;
  bool is_dead = false;
  bool is_stopping = false;
};

LoanRegion::LoanRegion(uint64_t seed, LoanRules rules)
    : random_(seed), rules_(rules), longest_step_(Pick(4) == 0 ? 8 : 2) {
  Join();
}

LoanRegion::~LoanRegion() = default;

void LoanRegion::Step() {
  Advance(Pick(longest_step_));
  if (nodes_.size() < kMaximumEntries &&
      Pick(nodes_.size() < 3 ? 10 : 200) == 0) {
    Join();
    return;
  }
  for (uint32_t n = Pick(4); n > 0; --n) {
    Deliver();
  }
  const size_t n = Pick(static_cast<uint32_t>(nodes_.size()));
  Node& node = *nodes_[n];
  if (node.is_dead) {
    return;
  }
  if (node.is_frozen ? Pick(60) == 0 : Pick(200) == 0) {
    node.is_frozen = !node.is_frozen;
  }
  if (!node.is_frozen) {
    Act(n);
  }
}

void LoanRegion::Act(size_t n) {
  Node& node = *nodes_[n];
  switch (Pick(16)) {
    case 0:
    case 1:
    case 2:
      return Read(n);
    case 3:
    case 4:
    case 5:
      return Tick(node);
    case 6:
      return Acknowledge(n);
    case 7:
      node.is_dead = Pick(60) == 0;
      return;
    case 8:
      node.is_stopping |= Pick(60) == 0;
      return Leave(n);
    case 9:
      LapseFrozen();
      return Retire(n);
    case 10:
      node.cut_from = Pick(4 * kMaximumEntries);
      return;
    case 11:
    case 12:
      node.driver->OnWanted(kService, 4);
      return;
    default:
      return Take(n);
  }
}

void LoanRegion::Settle() {
  has_faults_ = false;
  for (size_t n = 0; n < nodes_.size(); ++n) {
    nodes_[n]->is_frozen = false;
    nodes_[n]->cut_from = kMaximumEntries;
    if (nodes_[n]->is_dead) {
      Lapse(n);
    }
  }
  for (int i = 0; i < 200; ++i) {
    Advance(10);
    while (!sent_.empty()) {
      Deliver();
    }
    for (size_t n = 0; n < nodes_.size(); ++n) {
      if (!nodes_[n]->is_dead) {
        Read(n);
        Tick(*nodes_[n]);
        Leave(n);
        Retire(n);
        Acknowledge(n);
      }
    }
  }
}

int32_t LoanRegion::MostInUse() const {
  return std::max(InUseAt(0), InUseAt(1));
}

std::vector<int32_t> LoanRegion::AllowedSums() const {
  std::vector<int32_t> sums(kRunners);
  for (const auto& node : nodes_) {
    for (size_t r = 0; r < kRunners && !node->is_dead; ++r) {
      sums[r] += node->accounts[r].limit();
    }
  }
  return sums;
}

int32_t LoanRegion::LentSum() const {
  return std::accumulate(
      nodes_.begin(), nodes_.end(), 0, [](int32_t sum, const auto& node) {
        return sum + (node->is_dead ? 0 : node->driver->lent_slots());
      });
}

bool LoanRegion::HasLiveMembers() const {
  const Table table = Prefix(log_.size());
  for (size_t n = 0; n < nodes_.size(); ++n) {
    const ShareMember* member = table.Find(n);
    if (!nodes_[n]->is_dead && member != nullptr && !member->is_lapsed) {
      return true;
    }
  }
  return false;
}

void LoanRegion::Advance(int64_t true_milliseconds) {
  now_ += true_milliseconds;
  for (const auto& node : nodes_) {
    node->clock.Advance(
        microseconds(true_milliseconds * (1'000'000 + node->rate_ppm) / 1000));
  }
  GiveBack();
}

void LoanRegion::Join() {
  const size_t n = nodes_.size();
  nodes_.push_back(std::make_unique<Node>());
  Node& node = *nodes_.back();
  node.clock.Advance(seconds(100 + Pick(100)));
  node.rate_ppm = static_cast<int64_t>(Pick(100'001)) - 50'000;
  log_.push_back({What::kJoined, n});
  for (size_t i = 0; i < log_.size(); ++i) {
    if (log_[i].what == What::kLapsed) {
      node.lapses_seen.try_emplace(log_[i].entry, node.clock.Now());
    }
  }
  node.applied = log_.size();
  node.driver = std::make_unique<LoanDriver>(Key(n), Short(), node.clock,
                                             PortOf(n), nullptr);
}

void LoanRegion::Read(size_t n) {
  Node& node = *nodes_[n];
  const size_t before = node.applied;
  node.applied = log_.size();
  node.shares_until = node.clock.Now() + Short().tail_freshness;
  for (size_t i = before; i < node.applied; ++i) {
    if (log_[i].what == What::kLapsed) {
      node.lapses_seen.try_emplace(log_[i].entry, node.clock.Now());
    }
  }
  Publish(node);
}

void LoanRegion::Publish(Node& node) {
  const auto n = static_cast<size_t>(
      std::ranges::find(nodes_, &node, &std::unique_ptr<Node>::get) -
      nodes_.begin());
  routing::ServiceRoute route;
  route.service = kService;
  for (size_t r = 0; r < kRunners; ++r) {
    const RunnerShare share = ShareOf(n, r);
    route.runners.push_back({kAddresses[r], ZoneId("z"), WorkerId("w"),
                             share.slots, share.connections});
  }
  const routing::RoutingTable table =
      node.driver->WithLoans(routing::RoutingTable({route}));
  for (const routing::RunnerRoute& it : table.services().front().runners) {
    SlotLimit allowance = routing::UsableSlots(it);
    if (!rules_.allowances_end) {
      allowance.until = SlotLimit::kNoExpiry;
    }
    node.accounts[RunnerOf(it.address)].SetLimit(allowance);
  }
}

void LoanRegion::Tick(Node& node) {
  const auto n = static_cast<size_t>(
      std::ranges::find(nodes_, &node, &std::unique_ptr<Node>::get) -
      nodes_.begin());
  if (node.shares_until && node.clock.Now() >= *node.shares_until) {
    node.shares_until.reset();
    Publish(node);
  }
  node.driver->SetGround(
      {node.shares_until, !node.is_stopping && !Prefix(node.applied).Owes(n)});
  node.driver->OnTime();
}

void LoanRegion::Take(size_t n) {
  Node& node = *nodes_[n];
  const Instant now = node.clock.Now();
  const bool may_take =
      (node.shares_until && now < *node.shares_until) || !rules_.allowances_end;
  for (size_t r = 0; r < kRunners && may_take && !node.is_stopping; ++r) {
    while (node.accounts[r].TryAcquire(now)) {
      requests_.push_back(
          {r, n, now_ + 1 + Pick(static_cast<uint32_t>(kLongestRequest) - 1)});
    }
  }
}

void LoanRegion::GiveBack() {
  for (Request& it : requests_) {
    Node& node = *nodes_[it.node];
    if (it.end <= now_ && !node.is_frozen && !node.is_dead) {
      node.accounts[it.runner].Release();
      it.is_given_back = true;
    }
  }
  std::erase_if(requests_, &Request::is_given_back);
}

void LoanRegion::Acknowledge(size_t n) {
  Node& node = *nodes_[n];
  const Table table = Prefix(node.applied);
  const ShareMember* own = table.Find(n);
  if (own == nullptr || own->is_lapsed || !table.Owes(n)) {
    return;
  }
  for (size_t r = 0; r < kRunners; ++r) {
    const int32_t lent = node.driver->Lent(kAddresses[r]);
    if (node.accounts[r].in_use() + lent > ShareOf(n, r).slots) {
      return;
    }
  }
  log_.push_back({What::kAcknowledged, n, node.applied});
}

void LoanRegion::Leave(size_t n) {
  Node& node = *nodes_[n];
  const bool is_idle =
      node.accounts[0].in_use() == 0 && node.accounts[1].in_use() == 0;
  const bool may_leave =
      node.driver->lent_slots() == 0 || !rules_.waits_for_lent_to_leave;
  if (node.is_stopping && is_idle && may_leave) {
    log_.push_back({What::kGone, n});
    node.is_dead = true;
  }
}

void LoanRegion::Lapse(size_t n) {
  const Table table = Prefix(log_.size());
  const ShareMember* member = table.Find(n);
  if (member != nullptr && !member->is_lapsed) {
    log_.push_back({What::kLapsed, n});
  }
}

// What is silent is suspected; once in a while also one that is well.
void LoanRegion::LapseFrozen() {
  const size_t n = Pick(static_cast<uint32_t>(nodes_.size()));
  const bool is_silent = nodes_[n]->is_frozen || nodes_[n]->is_dead;
  if (Pick(is_silent ? 4 : 100) == 0) {
    Lapse(n);
  }
}

void LoanRegion::Retire(size_t n) {
  Node& node = *nodes_[n];
  const Table table = Prefix(log_.size());
  for (const auto& [entry, seen_at] : node.lapses_seen) {
    const bool is_complete =
        node.clock.Now() >= lease::EntryLapseCompleteAt(seen_at, Short());
    const ShareMember* member = table.Find(entry);
    if (is_complete && member != nullptr && member->is_lapsed) {
      log_.push_back({What::kGone, entry});
      return;
    }
  }
}

void LoanRegion::Deliver() {
  if (sent_.empty()) {
    return;
  }
  // One of the older ones, so that most come in order.
  const auto oldest = static_cast<uint32_t>(std::min<size_t>(sent_.size(), 4));
  const auto i = static_cast<std::ptrdiff_t>(Pick(oldest));
  const Message it = sent_[static_cast<size_t>(i)];
  const bool is_repeated = has_faults_ && Pick(8) == 0;
  if (!is_repeated) {
    sent_.erase(sent_.begin() + i);
  }
  Node& node = *nodes_[it.to];
  const bool is_lost = has_faults_ && Pick(10) == 0;
  if (is_lost || node.is_dead || node.is_frozen) {
    return;
  }
  if (const auto* request =
          std::get_if<membership::SlotLoanRequest>(&it.message)) {
    node.driver->OnRequest(*request);
  } else if (const auto* loan =
                 std::get_if<membership::SlotLoan>(&it.message)) {
    node.driver->OnLoan(*loan);
    ++loans_;
  } else {
    node.driver->OnReturn(std::get<membership::SlotLoanReturn>(it.message));
  }
}

LoanPort LoanRegion::PortOf(size_t n) {
  Node& node = *nodes_[n];
  SlotPort slots{
      [&node](const std::string& address) {
        return node.accounts[RunnerOf(address)].in_use();
      },
      [this, &node](const ServiceId&, const std::string& address,
                    SlotLimit allowance) {
        if (!rules_.allowances_end) {
          allowance.until = SlotLimit::kNoExpiry;
        }
        node.accounts[RunnerOf(address)].SetLimit(allowance);
      },
      [&node](const std::string& address, const SlotLimit& allowance) {
        return node.accounts[RunnerOf(address)].TrySetLimit(allowance);
      }};
  return {std::move(slots),
          [this, n](const lease::MemberKey& peer,
                    const peer_protocol::Message& message) {
            for (size_t to = 0; to < nodes_.size(); ++to) {
              const bool is_cut =
                  nodes_[n]->cut_from == to || nodes_[to]->cut_from == n;
              if (Key(to) == peer && !is_cut) {
                sent_.push_back({n, to, message});
                return true;
              }
            }
            return false;
          },
          [this, n] {
            std::vector<lease::MemberKey> peers;
            for (size_t it = 0; it < nodes_.size(); ++it) {
              if (it != n && !nodes_[it]->is_dead) {
                peers.push_back(Key(it));
              }
            }
            return peers;
          }};
}

LoanRegion::Table LoanRegion::Prefix(size_t size) const {
  return {log_, size};
}

RunnerShare LoanRegion::ShareOf(size_t n, size_t runner) const {
  const Node& node = *nodes_[n];
  return node.shares_until
             ? membership::ShareOf(Key(n), kAddresses[runner], kRunnerTotal,
                                   Prefix(node.applied).members())
             : RunnerShare();
}

int32_t LoanRegion::InUseAt(size_t runner) const {
  return static_cast<int32_t>(std::ranges::count_if(
      requests_,
      [&](const Request& it) { return it.runner == runner && it.end > now_; }));
}

}  // namespace papayadrift::entry
