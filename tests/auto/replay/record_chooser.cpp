#include "replay/record_chooser.h"

#include <array>
#include <iterator>

#include "replay/record_builders.h"

namespace papayadrift::test {

using records::TaskEnding;

records::Record RecordChooser::Choose(const replay::EntryKey& author) {
  switch (Pick(13)) {
    case 0:
      return ChooseMembership(author);
    case 1:
    case 2:
      return ChooseWorker();
    case 3:
      return ChooseJob();
    case 4:
    case 5:
      return ChooseKey(author);
    case 6:
      return ChooseKnowledge();
    default:
      return ChooseTask();
  }
}

records::Record RecordChooser::ChooseMembership(
    const replay::EntryKey& author) {
  const auto& entries = state_.entries().entries();
  replay::EntryKey other = author;
  if (!entries.empty()) {
    other = std::next(entries.begin(), Pick(entries.size()))->first;
  }
  const std::string& name = other.entry.text();
  const uint64_t life = other.incarnation.value();
  switch (Pick(5)) {
    case 0: {
      auto r = OfEntry<records::EntryAcknowledged>(author.entry.text(),
                                                   author.incarnation.value());
      r.generation = state_.entries().generation();
      return r;
    }
    case 1:
      return OfEntry<records::EntryLapsed>(name, life);
    case 2:
      return OfEntry<records::EntryRetired>(name, life);
    default:
      return OfEntry<records::EntryJoined>(author.entry.text(),
                                           author.incarnation.value());
  }
}

records::Record RecordChooser::ChooseWorker() {
  const std::string worker = PickWorker();
  const uint64_t life = NewestLife(worker);
  const uint64_t older = life - (life > 0 ? Pick(2) : 0);
  switch (Pick(7)) {
    case 0:
      return OfWorker<records::WorkerLapsed>(worker, older);
    case 1:
    case 2:
      return OfWorker<records::WorkerFreed>(worker, older);
    case 3: {
      auto r = OfWorker<records::WorkerQuarantined>(worker, life);
      r.is_quarantined = Pick(2) == 0;
      return r;
    }
    default: {
      const int64_t reserved = 200 * Pick(3);
      auto r = Announced(worker, life + Pick(2), 1'000, reserved, Pick(2) == 0);
      r.rack = RackId("r" + std::to_string(Pick(2)));
      return r;
    }
  }
}

records::Record RecordChooser::ChooseJob() {
  const std::string job = PickJob();
  switch (Pick(8)) {
    case 0:
      return records::JobCancelled{.job = JobId(job)};
    case 1:
      return records::JobRefused{.job = JobId(job)};
    case 2: {
      records::QuotasSet r;
      r.version =
          ConfigurationVersion(state_.quotas().version().value() + Pick(2));
      r.quotas = {{.team = TeamId("team"),
                   .limit = {.millicores = 500 + 500 * Pick(3),
                             .memory_mebibytes = 0,
                             .accelerators = 0}}};
      r.division = ConfigurationVersion(r.version.value() - Pick(2));
      r.shares = r.quotas;
      return r;
    }
    case 3:
      return records::QuotaSharesRaised{
          .division = state_.quotas().holdings().division()};
    default: {
      auto r = Submitted(job, 1 + Pick(3));
      r.kind = KindId("k" + std::to_string(Pick(3)));
      r.separation.most_per_rack = Pick(3);
      if (Pick(3) == 0) {
        r.separation.apart_from = {KindId("k" + std::to_string(Pick(3)))};
      }
      return r;
    }
  }
}

records::Record RecordChooser::ChooseTask() {
  const TaskId task = PickTask();
  const replay::TaskState* state = state_.jobs().FindTask(task);
  if (state != nullptr && state->is_live && Pick(4) != 0) {
    return ChooseEnd(task);
  }
  const std::string worker = PickWorker();
  const uint64_t attempt =
      state_.jobs().NextAttempt(task).value() + (Pick(8) == 0 ? 1 : 0);
  const bool is_honest = Pick(8) != 0;
  const std::string resumes =
      state != nullptr && is_honest ? state->checkpoint.text() : "";
  return Claimed(task, attempt, worker, NewestLife(worker), 100 + 100 * Pick(8),
                 resumes);
}

records::Record RecordChooser::ChooseEnd(const TaskId& task) {
  const uint64_t attempt =
      state_.jobs().FindTask(task)->attempt.value() - (Pick(8) == 0 ? 1 : 0);
  const std::string checkpoint = ToText(task) + "#" + std::to_string(attempt);
  constexpr std::array kEndings = {TaskEnding::kFailed, TaskEnding::kStopped,
                                   TaskEnding::kFinished};
  switch (Pick(4)) {
    case 0:
      return records::EvictionRequested{.task = task,
                                        .attempt = Attempt(attempt)};
    case 1: {
      records::GrantChanged r = {.task = task, .attempt = Attempt(attempt)};
      r.grant.millicores = 100 * Pick(10);
      return r;
    }
    case 2:
      return Ended(task, attempt, kEndings.at(Pick(kEndings.size())));
    default:
      return Ended(task, attempt, TaskEnding::kCheckpointed, checkpoint);
  }
}

records::Record RecordChooser::ChooseKey(const replay::EntryKey& author) {
  if (Pick(3) == 0) {
    records::KeyResolved r;
    const auto& keys = state_.keys().keys();
    if (!keys.empty()) {
      r.key = std::next(keys.begin(), Pick(keys.size()))->first.key;
    }
    r.ran = Ran::kYes;
    r.answer = std::string(Pick(2) * 2'000, 'a');
    return r;
  }
  // A retry states the window of its first try, so it follows from the key.
  const uint32_t key = Pick(40);
  auto r = OfEntry<records::KeyClaimed>(author.entry.text(),
                                        author.incarnation.value());
  r.key = IdempotencyKey(std::to_string(key));
  r.body_digest = Pick(3) == 0 ? 1 : 2;
  r.window_ends_at = WallInstant(replay::KeyTable::kWindow / 10 * key);
  return r;
}

records::Record RecordChooser::ChooseKnowledge() {
  records::KnowledgeNoted r;
  const auto amount = [this] { return int64_t{Pick(2'000)} - 100; };
  const records::LearnedQuantity quantity = {Pick(400), amount(), amount(),
                                             amount()};
  const KindId kind("k" + std::to_string(Pick(90)));
  r.kinds = {{kind, quantity, quantity, quantity, 500, amount()}};
  r.neighbours = {kind};
  r.services = {{ServiceId("s" + std::to_string(Pick(4))),
                 {{Pick(2), Pick(3), static_cast<int32_t>(amount()),
                   static_cast<int32_t>(amount())}}}};
  return r;
}

std::string RecordChooser::PickJob() {
  // New names come up as the stream grows, because jobs end.
  constexpr uint64_t kOffsetsPerName = 30;
  const uint64_t newest = state_.next_offset().value() / kOffsetsPerName;
  return "j" + std::to_string(newest + Pick(3));
}

TaskId RecordChooser::PickTask() {
  return {.job = JobId(PickJob()), .index = Pick(3)};
}

uint64_t RecordChooser::NewestLife(const std::string& worker) const {
  const auto newest = state_.workers().NewestIncarnation(WorkerId(worker));
  return newest ? newest->value() : 0;
}

}  // namespace papayadrift::test
