#include "entry/key_desk.h"

#include <charconv>
#include <string>
#include <utility>

#include "configuration/home_region.h"

namespace papayadrift::entry {

namespace {

using routing::KeyAccepted;
using routing::KeyClaimResult;
using routing::KeyDuplicate;
using routing::KeyRejected;

constexpr size_t kUuidLength = 36;
constexpr size_t kVersionPosition = 14;
constexpr int kHexadecimal = 16;
// Repeats beyond this are refused at once.
constexpr size_t kMaximumWaiting = 1000;
// A caller's clock may be ahead by at most this.
constexpr milliseconds kMaximumSkew = seconds(60);

bool IsUuid(std::string_view text) {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (size_t i = 0; i < text.size(); ++i) {
    const bool is_hyphen_place = i == 8 || i == 13 || i == 18 || i == 23;
    const bool is_hexadecimal = (text[i] >= '0' && text[i] <= '9') ||
                                (text[i] >= 'a' && text[i] <= 'f');
    if (is_hyphen_place ? text[i] != '-' : !is_hexadecimal) {
      return false;
    }
  }
  return true;
}

bool IsInProgress(const KeyClaimResult& verdict) {
  const auto* refused = std::get_if<KeyRejected>(&verdict);
  return refused != nullptr && refused->reason == RefusalReason::kKeyInProgress;
}

}  // namespace

std::optional<WallInstant> WindowEndOf(const IdempotencyKey& key) {
  const std::string text(configuration::WithoutRegion(key.text()));
  if (!IsUuid(text) || text[kVersionPosition] != '7') {
    return std::nullopt;
  }
  const std::string digits = text.substr(0, 8) + text.substr(9, 4);
  int64_t created = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), created,
                  kHexadecimal);
  return WallInstant(milliseconds(created)) + replay::KeyTable::kWindow;
}

KeyDesk::KeyDesk(EntryId entry,
                 Incarnation incarnation,
                 FindHomeOf find_home_of,
                 DecisionStream& decisions,
                 const Clock& clock)
    : entry_(std::move(entry)),
      incarnation_(incarnation),
      find_home_of_(std::move(find_home_of)),
      decisions_(decisions),
      clock_(clock) {}

std::optional<KeyClaimResult> KeyDesk::LookUp(
    const routing::RequestInfo& facts) const {
  const replay::KeyState* known = decisions_.state().keys().Find(
      {facts.customer, facts.service, facts.key});
  if (known == nullptr) {
    return RefusalByHome(facts.key);
  }
  if (!known->answer || known->body_digest != facts.body_digest) {
    return std::nullopt;
  }
  return RepeatOf(facts);
}

void KeyDesk::Claim(const routing::RequestInfo& facts, OnVerdict on_verdict) {
  const std::optional<WallInstant> window_ends_at = WindowEndOf(facts.key);
  if (!window_ends_at || *window_ends_at > clock_.WallNow() +
                                               replay::KeyTable::kWindow +
                                               kMaximumSkew) {
    on_verdict(KeyRejected{RefusalReason::kBadRequest});
    return;
  }
  if (*window_ends_at <= clock_.WallNow()) {
    on_verdict(KeyRejected{RefusalReason::kKeyOutsideWindow});
    return;
  }
  if (const std::optional<KeyClaimResult> refusal = RefusalByHome(facts.key)) {
    on_verdict(*refusal);
    return;
  }
  if (!decisions_.is_log_available()) {
    on_verdict(KeyRejected{RefusalReason::kLogUnavailable});
    return;
  }
  records::KeyClaimed claim{facts.customer, facts.service, facts.key,
                            entry_,         incarnation_,  facts.body_digest,
                            *window_ends_at};
  decisions_.ProposeUntil(std::move(claim), facts.deadline,
                          [this, facts, on_verdict = std::move(on_verdict)](
                              const ProposalOutcome& outcome) {
                            OnOutcome(facts, on_verdict, outcome);
                          });
}

void KeyDesk::OnTime() {
  const Instant now = clock_.Now();
  std::vector<Waiting> waiting;
  std::swap(waiting, waiting_);
  for (Waiting& it : waiting) {
    const KeyClaimResult verdict = RepeatOf(it.facts);
    if (IsInProgress(verdict) && now < it.facts.deadline) {
      waiting_.push_back(std::move(it));
    } else {
      it.on_verdict(verdict);
    }
  }
}

void KeyDesk::Resolve(const routing::ResolveKey& resolve) {
  const bool is_small =
      resolve.answer.size() <= replay::KeyTable::kMaximumAnswerBytes;
  decisions_.Propose(
      records::KeyResolved{resolve.customer, resolve.service, resolve.key,
                           resolve.ran, is_small ? resolve.status : 0,
                           is_small ? resolve.answer : std::string()},
      [](const ProposalOutcome&) {});
}

std::optional<KeyClaimResult> KeyDesk::RefusalByHome(
    const IdempotencyKey& key) const {
  const HomeAnswer answer = find_home_of_(key.text());
  if (std::holds_alternative<HomeIsHere>(answer)) {
    return std::nullopt;
  }
  if (const auto* home = std::get_if<HomeRegion>(&answer)) {
    return KeyRejected{RefusalReason::kNotHomeRegion, *home};
  }
  return KeyRejected{RefusalReason::kNotReady};
}

void KeyDesk::OnOutcome(const routing::RequestInfo& facts,
                        const OnVerdict& on_verdict,
                        const ProposalOutcome& outcome) {
  const KeyClaimResult verdict = VerdictOf(facts, outcome);
  if (IsInProgress(verdict) && waiting_.size() < kMaximumWaiting) {
    waiting_.push_back({facts, on_verdict});
  } else {
    on_verdict(verdict);
  }
}

KeyClaimResult KeyDesk::VerdictOf(const routing::RequestInfo& facts,
                                  const ProposalOutcome& outcome) const {
  if (std::holds_alternative<ProposalAccepted>(outcome)) {
    return KeyAccepted();
  }
  const auto* rejected = std::get_if<ProposalRejected>(&outcome);
  if (rejected == nullptr) {
    return KeyRejected{RefusalReason::kLogUnavailable};
  }
  switch (rejected->rejection) {
    case replay::Rejection::kKeyTaken:
      return RepeatOf(facts);
    case replay::Rejection::kKeyBodyDiffers:
      return KeyRejected{RefusalReason::kBadRequest};
    case replay::Rejection::kKeyOutsideWindow:
      return KeyRejected{RefusalReason::kKeyOutsideWindow};
    case replay::Rejection::kTooManyKeys:
      return KeyRejected{RefusalReason::kOverloaded};
    default:
      return KeyRejected{RefusalReason::kNotReady};
  }
}

KeyClaimResult KeyDesk::RepeatOf(const routing::RequestInfo& facts) const {
  const replay::KeyState* known = decisions_.state().keys().Find(
      {facts.customer, facts.service, facts.key});
  if (known == nullptr) {
    return KeyRejected{RefusalReason::kKeyOutsideWindow};
  }
  if (!known->answer) {
    return KeyRejected{RefusalReason::kKeyInProgress};
  }
  return KeyDuplicate{known->answer->ran, known->answer->status,
                      known->answer->answer};
}

}  // namespace papayadrift::entry
