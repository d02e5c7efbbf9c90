#include "membership/slot_loans.h"

#include <algorithm>
#include <limits>

#include "lease/rule.h"

namespace papayadrift::membership {

SlotLoans::SlotLoans(MemberKey self, lease::LeaseSettings settings)
    : self_(std::move(self)), settings_(settings) {}

std::optional<SlotLoan> SlotLoans::OnRequest(const SlotLoanRequest& request,
                                             int32_t share,
                                             int32_t needed,
                                             Instant now) {
  const std::pair key(request.borrower, request.sequence);
  const auto known = lent_.find(key);
  if (known != lent_.end()) {
    return SlotLoan{self_, request.sequence, known->second.slots};
  }
  const int32_t idle = share - Lent(request.runner) - needed;
  const int32_t slots = std::min(request.slots, idle);
  if (slots <= 0) {
    return std::nullopt;
  }
  lent_.emplace(key, Lending{request.runner, slots,
                             lease::LoanSlotsFreeAt(now, settings_)});
  lent_slots_of_[request.runner] += slots;
  return SlotLoan{self_, request.sequence, slots};
}

void SlotLoans::OnReturn(const SlotLoanReturn& message) {
  const auto it = lent_.find({message.borrower, message.sequence});
  if (it != lent_.end()) {
    EndLending(it);
  }
}

void SlotLoans::OnTime(Instant now) {
  for (auto it = lent_.begin(); it != lent_.end();) {
    it = it->second.back_at <= now ? EndLending(it) : std::next(it);
  }
  std::erase_if(asked_,
                [&](const auto& entry) { return !IsLive(entry.second, now); });
}

int32_t SlotLoans::Lent(const std::string& runner) const {
  const auto it = lent_slots_of_.find(runner);
  return it == lent_slots_of_.end() ? 0 : it->second;
}

std::optional<std::string> SlotLoans::RunnerLent(
    const SlotLoanReturn& message) const {
  const auto it = lent_.find({message.borrower, message.sequence});
  return it == lent_.end() ? std::nullopt : std::optional(it->second.runner);
}

std::optional<std::string> SlotLoans::RunnerAsked(uint64_t sequence) const {
  const auto it = asked_.find(sequence);
  return it == asked_.end() ? std::nullopt : std::optional(it->second.runner);
}

SlotLoanRequest SlotLoans::Ask(const std::string& runner,
                               int32_t slots,
                               Instant now) {
  ++last_sequence_;
  asked_.emplace(last_sequence_, Asking{runner, now});
  return {self_, last_sequence_, runner, slots};
}

bool SlotLoans::OnLoan(const SlotLoan& loan) {
  const auto it = asked_.find(loan.sequence);
  if (it == asked_.end()) {
    return std::ranges::any_of(borrowed_, [&loan](const auto& entry) {
      return entry.first.second == loan.sequence;
    });
  }
  borrowed_.emplace(std::pair(it->second.runner, loan.sequence),
                    Borrowing{it->second, loan.lender, loan.slots});
  asked_.erase(it);
  return true;
}

LoanToReturn SlotLoans::UnusedLoan(const SlotLoan& loan) const {
  return {loan.lender, {self_, loan.sequence}};
}

std::vector<LoanToReturn> SlotLoans::ReturnUnneeded(const std::string& runner,
                                                    int32_t share,
                                                    int32_t in_use,
                                                    Instant now) {
  std::vector<LoanToReturn> returned;
  const auto loans = BorrowedOf(runner);
  for (auto it = loans.begin(); it != loans.end();) {
    const Borrowing& borrowing = it->second;
    const int32_t usable = IsLive(borrowing.asking, now) ? borrowing.slots : 0;
    if (in_use > Allowed(runner, share, now) - usable) {
      ++it;
      continue;
    }
    returned.push_back({borrowing.lender, {self_, it->first.second}});
    it = borrowed_.erase(it);
  }
  return returned;
}

int32_t SlotLoans::Allowed(const std::string& runner,
                           int32_t share,
                           Instant now) const {
  int32_t sum = share - Lent(runner);
  for (const auto& [key, borrowing] : BorrowedOf(runner)) {
    sum += IsLive(borrowing.asking, now) ? borrowing.slots : 0;
  }
  return std::max(sum, 0);
}

std::optional<Instant> SlotLoans::AllowedUntil(const std::string& runner,
                                               Instant now) const {
  std::optional<Instant> until;
  for (const auto& [key, borrowing] : BorrowedOf(runner)) {
    if (IsLive(borrowing.asking, now)) {
      const Instant end =
          lease::LoanLiveUntil(borrowing.asking.asked_at, settings_);
      until = std::min(until.value_or(end), end);
    }
  }
  return until;
}

bool SlotLoans::HasBorrowed(const std::string& runner) const {
  return !BorrowedOf(runner).empty();
}

int32_t SlotLoans::lent_slots() const {
  int32_t sum = 0;
  for (const auto& [key, lending] : lent_) {
    sum += lending.slots;
  }
  return sum;
}

int32_t SlotLoans::borrowed_slots() const {
  int32_t sum = 0;
  for (const auto& [key, borrowing] : borrowed_) {
    sum += borrowing.slots;
  }
  return sum;
}

SlotLoans::LentMap::iterator SlotLoans::EndLending(LentMap::iterator it) {
  const auto slots = lent_slots_of_.find(it->second.runner);
  slots->second -= it->second.slots;
  if (slots->second == 0) {
    lent_slots_of_.erase(slots);
  }
  return lent_.erase(it);
}

std::ranges::subrange<SlotLoans::BorrowedMap::const_iterator>
SlotLoans::BorrowedOf(const std::string& runner) const {
  constexpr uint64_t kLast = std::numeric_limits<uint64_t>::max();
  return {borrowed_.lower_bound({runner, 0}),
          borrowed_.upper_bound({runner, kLast})};
}

bool SlotLoans::IsLive(const Asking& asking, Instant now) const {
  return lease::IsLoanLive(asking.asked_at, now, settings_);
}

}  // namespace papayadrift::membership
