#include "cluster/handover.h"

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async_http/server.h"
#include "process_fixture.h"
#include "support/free_port.h"

namespace papayadrift::cluster {
namespace {

constexpr size_t kStandbys = 3;
constexpr milliseconds kListTimeout(30'000);

// A frontend that answers whether it could lead.
struct Standby {
  std::string address = FreeAddress();
  int status = 200;
  uint64_t speed = 0;
  int query_count = 0;
  bool is_silent = false;
  std::vector<async_http::Respond> unanswered;
};

class HandoverTest : public ProcessFixture {
 protected:
  HandoverTest() {
    for (size_t i = 0; i < standbys_.size(); ++i) {
      Standby& standby = standbys_[i];
      servers_.push_back(std::make_unique<async_http::Server>(
          loop_, async_http::ServerSettings{standby.address},
          [&standby](const http::Request&, const async_http::Respond& respond) {
            ++standby.query_count;
            if (standby.is_silent) {
              standby.unanswered.push_back(respond);
              return;
            }
            respond({standby.status, {}, std::to_string(standby.speed)});
          }));
      EXPECT_TRUE(servers_.back()->Open());
    }
    clock_.Advance(seconds(100));
    handover_.OnTermBegun();
  }

  void Put(size_t standby, uint32_t millicores) {
    frontends_.Put(
        {std::to_string(standby), standbys_[standby].address, 1, millicores},
        clock_.Now());
  }
  // Considers a handover `term` after the last time, and returns the address of
  // the frontend that is to lead; nothing if none is asked.
  std::optional<std::string> CandidateAfter(
      milliseconds term,
      const std::optional<Behind>& behind) {
    clock_.Advance(term);
    std::optional<std::string> address;
    const bool is_asked = handover_.Consider(
        behind, [&](const std::optional<FrontendRecord>& candidate) {
          address = candidate ? candidate->address : kNobody;
        });
    while (is_asked && !address) {
      loop_.run_one();
    }
    return address;
  }

  // On the manual clock, a measurement takes the shortest time there is.
  uint64_t OwnSpeed() { return SpeedProbe(clock_).Measure(); }

  static constexpr char kNobody[] = "nobody";
  std::array<Standby, 2> standbys_;
  std::vector<std::unique_ptr<async_http::Server>> servers_;
  FrontendList frontends_{{"own", "127.0.0.1:1", 1, 500},
                          kStandbys,
                          kListTimeout};
  const HandoverSettings settings_;
  Handover handover_{settings_, context(), frontends_};
};

TEST_F(HandoverTest, LeaderThatKeepsUpAsksNoEqual) {
  Put(0, 500);
  EXPECT_FALSE(CandidateAfter(settings_.min_term, std::nullopt));
  EXPECT_EQ(standbys_[0].query_count, 0);
}

// Guards against a leader on a slow VM that goes on beside sound ones: it acted
// late on cancellations until its VM recovered.
TEST_F(HandoverTest, LeaderThatIsBehindChoosesTheFastestStandby) {
  Put(0, 500);
  Put(1, 500);
  standbys_[0].speed = OwnSpeed() * 3;
  standbys_[1].speed = OwnSpeed() * 4;
  const Behind behind{clock_.Now()};
  EXPECT_FALSE(CandidateAfter(settings_.behind_limit, behind));
  EXPECT_EQ(CandidateAfter(settings_.min_term, behind), standbys_[1].address);
  EXPECT_FALSE(CandidateAfter(settings_.period / 2, behind));
  standbys_[1].status = 409;
  EXPECT_EQ(CandidateAfter(settings_.period, behind), standbys_[0].address);
}

// Guards against a lead that goes back and forth among VMs that are all slow.
TEST_F(HandoverTest, LeaderThatIsBehindStaysAmongEquals) {
  Put(0, 500);
  standbys_[0].speed = OwnSpeed() * 3 / 2;
  const Behind behind{clock_.Now()};
  EXPECT_EQ(CandidateAfter(settings_.min_term, behind), kNobody);
  EXPECT_FALSE(
      CandidateAfter(settings_.period, Behind{clock_.Now() + milliseconds(1)}));
}

// Guards against runners that wait without an end: a leader whose reads of the
// jobs have no answer starts nothing, however fast it is.
TEST_F(HandoverTest, LeaderThatCannotReadTheJobsChoosesAnEqual) {
  Put(0, 500);
  standbys_[0].speed = OwnSpeed() / 2;
  const Behind behind{clock_.Now(), true};
  EXPECT_EQ(CandidateAfter(settings_.min_term, behind), standbys_[0].address);
}

// Guards against a round of questions that never ends.
TEST_F(HandoverTest, SilentStandbyHoldsNothingUp) {
  Put(0, 500);
  Put(1, 500);
  standbys_[0].is_silent = true;
  standbys_[1].speed = OwnSpeed() * 3;
  EXPECT_EQ(CandidateAfter(settings_.min_term, Behind{clock_.Now()}),
            standbys_[1].address);
}

// Guards against a sound leader that resigns in favour of a VM that has more
// cores by its settings and less processor time.
TEST_F(HandoverTest, LeaderOnASmallVmAsksForSpeed) {
  Put(0, 5000);
  standbys_[0].speed = OwnSpeed() / 2;
  EXPECT_EQ(CandidateAfter(settings_.period, std::nullopt), kNobody);
  standbys_[0].speed = OwnSpeed() * 2;
  EXPECT_EQ(CandidateAfter(settings_.period, std::nullopt),
            standbys_[0].address);
}

}  // namespace
}  // namespace papayadrift::cluster
