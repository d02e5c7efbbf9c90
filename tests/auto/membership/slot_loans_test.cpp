#include "membership/slot_loans.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <variant>

namespace papayadrift::membership {
namespace {

// Returns a number from `low` to before `end`, all as likely at any test size.
template <typename T>
T Pick(T low, T end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, end));
}

constexpr int32_t kShare = 4;
const std::string kRunner = "10.0.0.1:80";

lease::LeaseSettings Short() {
  lease::LeaseSettings settings;
  settings.loan_term = milliseconds(100);
  settings.maximum_request = milliseconds(50);
  settings.pause_margin = milliseconds(1);
  settings.clock_rate_error_ppm = 50'000;
  return settings;
}

// Two entries whose messages are lost, repeated and late.
struct Node {
  SlotLoans loans;
  int64_t rate_ppm;
  std::vector<int64_t> ends;  // Of its requests, in true milliseconds.

  Instant At(int64_t now) const {
    return Instant(microseconds(now * (1'000'000 + rate_ppm) / 1000));
  }
  int32_t in_use() const { return static_cast<int32_t>(ends.size()); }
  int32_t Allowed(int64_t now) const {
    return loans.Allowed(kRunner, kShare, At(now));
  }
};

using Message = std::variant<SlotLoanRequest, SlotLoan, SlotLoanReturn>;

class Pair {
 public:
  explicit Pair(const std::array<int64_t, 2>& rates)
      : nodes_{Node{{{EntryId("a"), Incarnation(1)}, Short()}, rates[0], {}},
               Node{{{EntryId("b"), Incarnation(1)}, Short()}, rates[1], {}}} {}

  void Step() {
    now_ += Pick(0, 25);
    const auto n = Pick<size_t>(0, 2);
    Node& node = nodes_[n];
    for (Node& it : nodes_) {
      std::erase_if(it.ends, [&](int64_t end) { return end <= now_; });
    }
    switch (Pick(0, 6)) {
      case 0:
        return Send(1 - n, node.loans.Ask(kRunner, 3, node.At(now_)));
      case 1:
        for (const auto& it : node.loans.ReturnUnneeded(
                 kRunner, kShare, node.in_use(), node.At(now_))) {
          Send(1 - n, it.message);
        }
        return;
      case 2:
        return node.loans.OnTime(node.At(now_));
      case 3:
        while (node.in_use() < node.Allowed(now_)) {
          node.ends.push_back(now_ + Pick(1, 50));
        }
        return;
      default:
        return Deliver();
    }
  }
  int32_t InUse() const { return nodes_[0].in_use() + nodes_[1].in_use(); }
  bool HasLent() const { return has_lent_; }

 private:
  void Send(size_t to, const Message& message) {
    sent_.push_back({to, message});
  }
  void Deliver() {
    if (sent_.empty()) {
      return;
    }
    // One of the newest, so that most are not too late.
    const size_t oldest = sent_.size() - std::min<size_t>(sent_.size(), 4);
    const auto i = Pick<size_t>(oldest, sent_.size());
    const auto [to, message] = sent_[i];
    Node& node = nodes_[to];
    if (const auto* request = std::get_if<SlotLoanRequest>(&message)) {
      const auto loan =
          node.loans.OnRequest(*request, kShare, node.in_use(), node.At(now_));
      if (loan) {
        has_lent_ = true;
        Send(1 - to, *loan);
      }
    } else if (const auto* loan = std::get_if<SlotLoan>(&message)) {
      node.loans.OnLoan(*loan);
    } else {
      node.loans.OnReturn(std::get<SlotLoanReturn>(message));
    }
  }

  int64_t now_ = 0;
  std::array<Node, 2> nodes_;
  std::vector<std::pair<size_t, Message>> sent_;
  bool has_lent_ = false;
};

RC_GTEST_PROP(SlotLoansTest, BothTogetherNeverUseMoreThanTheirShares, ()) {
  Pair pair({Pick<int64_t>(-50'000, 50'001), Pick<int64_t>(-50'000, 50'001)});
  for (int i = 0; i < 150; ++i) {
    pair.Step();
    RC_ASSERT(pair.InUse() <= 2 * kShare);
  }
  RC_CLASSIFY(pair.HasLent(), "slots were lent");
}

TEST(SlotLoansTest, ALoanIsUsedReturnedAndTakenBack) {
  const MemberKey a{EntryId("a"), Incarnation(1)};
  const MemberKey b{EntryId("b"), Incarnation(1)};
  SlotLoans lender(a, Short());
  SlotLoans borrower(b, Short());
  const Instant now{};
  const auto request = borrower.Ask(kRunner, 3, now);
  const auto loan = lender.OnRequest(request, kShare, 2, now);
  EXPECT_EQ(lender.OnRequest(request, kShare, 2, now), loan);
  EXPECT_EQ(lender.Allowed(kRunner, kShare, now), 2);
  borrower.OnLoan(*loan);
  borrower.OnLoan(*loan);
  EXPECT_EQ(borrower.Allowed(kRunner, kShare, now), 6);
  EXPECT_TRUE(borrower.ReturnUnneeded(kRunner, kShare, 5, now).empty());
  EXPECT_EQ(borrower.Allowed(kRunner, kShare, now + milliseconds(100)), 4);
  const auto returned = borrower.ReturnUnneeded(kRunner, kShare, 4, now);
  ASSERT_EQ(returned.size(), 1U);
  EXPECT_EQ(returned[0].lender, a);
  lender.OnReturn(returned[0].message);
  EXPECT_EQ(lender.Lent(kRunner), 0);
}

TEST(SlotLoansTest, BorrowedSlotsAreNotLentOn) {
  SlotLoans loans({EntryId("b"), Incarnation(1)}, Short());
  const MemberKey a{EntryId("a"), Incarnation(1)};
  const Instant now{};
  loans.OnLoan({a, loans.Ask(kRunner, 2, now).sequence, 2});
  EXPECT_EQ(loans.OnRequest({a, 1, kRunner, 9}, kShare, 1, now)->slots, 3);
  EXPECT_FALSE(loans.OnRequest({a, 2, kRunner, 9}, kShare, 1, now));
  EXPECT_EQ(loans.Allowed(kRunner, kShare, now), 3);
}

TEST(SlotLoansTest, ALostReturnCostsTheSlotsUntilTheLoanHasRunOut) {
  SlotLoans lender({EntryId("a"), Incarnation(1)}, Short());
  const Instant now{};
  lender.OnRequest({{EntryId("b"), Incarnation(1)}, 1, kRunner, 2}, kShare, 0,
                   now);
  lender.OnTime(now + milliseconds(150));
  EXPECT_EQ(lender.Lent(kRunner), 2);
  lender.OnTime(now + milliseconds(170));
  EXPECT_EQ(lender.Lent(kRunner), 0);
}

}  // namespace
}  // namespace papayadrift::membership
