#ifndef PAPAYADRIFT_MEMBERSHIP_SLOT_LOANS_H_
#define PAPAYADRIFT_MEMBERSHIP_SLOT_LOANS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <ranges>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/instant.h"
#include "lease/lease_settings.h"
#include "lease/subjects.h"

namespace papayadrift::membership {

using lease::MemberKey;

// An entry asks a peer for idle slots of a runner.
struct SlotLoanRequest {
  MemberKey borrower;
  uint64_t sequence = 0;  // Grows with each request of the borrower.
  std::string runner;     // Its address.
  int32_t slots = 0;

  friend bool operator==(const SlotLoanRequest&,
                         const SlotLoanRequest&) = default;
};

// The answer: the lender has taken the slots off its own share already.
struct SlotLoan {
  MemberKey lender;
  uint64_t sequence = 0;  // Of the request.
  int32_t slots = 0;

  friend bool operator==(const SlotLoan&, const SlotLoan&) = default;
};

// The borrower uses the loan no more.
struct SlotLoanReturn {
  MemberKey borrower;
  uint64_t sequence = 0;  // Of the request.

  friend bool operator==(const SlotLoanReturn&,
                         const SlotLoanReturn&) = default;
};

// A return, and the lender to send it to.
struct LoanToReturn {
  MemberKey lender;
  SlotLoanReturn message;

  friend bool operator==(const LoanToReturn&, const LoanToReturn&) = default;
};

// Loans of idle slots between entries, on both sides. The lender debits itself
// before it answers. The borrower starts requests on a loan only within
// LeaseSettings::loan_term after it asked; the lender has the slots back when
// they are returned, or when that term and the longest request have passed on
// any clock. So a lost or repeated message costs slots for a while, no more.
// Each entry must count what it lent as in use when it acknowledges a joiner,
// and must have nothing lent when it leaves.
class SlotLoans {
 public:
  SlotLoans(MemberKey self, lease::LeaseSettings settings);

  // --- Lender ---

  // Answers a request out of the slots of `share`, by ShareOf(), beyond those
  // that are lent or `needed` here, in use or soon; nothing if there are none.
  // Borrowed slots are not lent on: they would outlive their own loan.
  std::optional<SlotLoan> OnRequest(const SlotLoanRequest& request,
                                    int32_t share,
                                    int32_t needed,
                                    Instant now);
  void OnReturn(const SlotLoanReturn& message);
  // Takes back the loans whose time has passed, and forgets requests that
  // nobody answered in time.
  void OnTime(Instant now);
  // Slots of the runner that are lent out.
  int32_t Lent(const std::string& runner) const;
  // The runner of the loan that is returned, while it is lent.
  std::optional<std::string> RunnerLent(const SlotLoanReturn& message) const;
  size_t lent_count() const { return lent_.size(); }

  // --- Borrower ---

  // Returns the request to send to one peer now.
  SlotLoanRequest Ask(const std::string& runner, int32_t slots, Instant now);
  // Returns whether the loan is in use from now on, or was already. One that
  // came too late, or for no request, is to be returned by UnusedLoan().
  bool OnLoan(const SlotLoan& loan);
  LoanToReturn UnusedLoan(const SlotLoan& loan) const;
  // The runner that was asked for, until the answer comes or is too late.
  std::optional<std::string> RunnerAsked(uint64_t sequence) const;
  // Gives up the loans of the runner that `in_use` requests do not need, and
  // those that ran out, and returns what to send.
  std::vector<LoanToReturn> ReturnUnneeded(const std::string& runner,
                                           int32_t share,
                                           int32_t in_use,
                                           Instant now);

  // Slots of the runner that this entry may have in use when it starts a
  // request at `now`, with `share` by ShareOf().
  int32_t Allowed(const std::string& runner, int32_t share, Instant now) const;
  // Until when that holds: the first end of a loan that is live at `now`, if
  // there is one.
  std::optional<Instant> AllowedUntil(const std::string& runner,
                                      Instant now) const;
  // Whether loans of the runner are held, live or not.
  bool HasBorrowed(const std::string& runner) const;
  // Slots of all runners.
  int32_t lent_slots() const;
  int32_t borrowed_slots() const;

 private:
  struct Lending {
    std::string runner;
    int32_t slots = 0;
    Instant back_at;
  };
  struct Asking {
    std::string runner;
    Instant asked_at;
  };
  struct Borrowing {
    Asking asking;
    MemberKey lender;
    int32_t slots = 0;
  };

  using LentMap = std::map<std::pair<MemberKey, uint64_t>, Lending>;
  // By runner and sequence, so that a runner's loans stand together.
  using BorrowedMap = std::map<std::pair<std::string, uint64_t>, Borrowing>;

  LentMap::iterator EndLending(LentMap::iterator it);
  std::ranges::subrange<BorrowedMap::const_iterator> BorrowedOf(
      const std::string& runner) const;
  bool IsLive(const Asking& asking, Instant now) const;

  const MemberKey self_;
  const lease::LeaseSettings settings_;
  LentMap lent_;
  std::unordered_map<std::string, int32_t> lent_slots_of_;  // By runner.
  std::map<uint64_t, Asking> asked_;                        // By sequence.
  BorrowedMap borrowed_;
  uint64_t last_sequence_ = 0;
};

}  // namespace papayadrift::membership

#endif  // PAPAYADRIFT_MEMBERSHIP_SLOT_LOANS_H_
