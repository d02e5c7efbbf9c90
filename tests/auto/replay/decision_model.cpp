#include "replay/decision_model.h"

#include <algorithm>
#include <ranges>

namespace papayadrift::test {

void DecisionModel::OnApplied(Offset offset,
                              const replay::AppliedProposal& applied) {
  const records::Proposal& proposal = applied.proposal;
  const bool is_accepted = applied.verdict.is_accepted();
  const bool is_first =
      first_verdicts_.emplace(proposal.id, is_accepted).second;
  Expect(is_first || !is_accepted, "the first copy decides");
  Expect(!is_accepted || offset <= proposal.last_offset, "expiry");
  if (!is_accepted) {
    return;
  }
  std::visit(
      [&](const auto& record) {
        if constexpr (requires { Take(record); }) {
          Take(record);
        } else if constexpr (requires { Take(offset, record); }) {
          Take(offset, record);
        }
      },
      proposal.record);
}

void DecisionModel::OnCompleted(const replay::DecisionState& state) {
  Expect(state.jobs().totals().live == live_.size(), "count of live attempts");
}

void DecisionModel::Expect(bool is_kept, const std::string& promise) {
  if (!is_kept) {
    faults_.push_back(promise);
  }
}

void DecisionModel::Take(const records::JobSubmitted& record) {
  jobs_[record.job] = record;
}

void DecisionModel::Take(Offset offset, const records::TaskClaimed& record) {
  CheckSeparation(record);
  const std::string& resumes = record.resumes.text();
  Expect(!live_.contains(record.task), "one live attempt");
  Expect(resumes == checkpoints_[record.task], "resume what was recorded");
  if (!resumes.empty()) {
    Expect(resumed_.emplace(record.task, resumes).second, "resume once");
  }
  checkpoints_.erase(record.task);
  uint64_t& last_token = last_tokens_[record.task];
  Expect(offset.value() > last_token, "tokens grow");
  last_token = offset.value();
  live_[record.task] = {
      .attempt = record.attempt.value(),
      .worker = {record.worker.text(), record.incarnation.value()},
      .millicores = record.grant.millicores};
  CheckCapacity(record.worker.text());
}

void DecisionModel::Take(const records::TaskEnded& record) {
  const auto it = live_.find(record.task);
  Expect(it != live_.end() && it->second.attempt == record.attempt.value(),
         "only a live attempt ends");
  live_.erase(record.task);
  checkpoints_[record.task] = record.checkpoint.text();
}

void DecisionModel::Take(const records::GrantChanged& record) {
  Live& live = live_[record.task];
  live.millicores = record.grant.millicores;
  CheckCapacity(live.worker.first);
}

void DecisionModel::Take(const records::WorkerAnnounced& record) {
  const std::string& worker = record.worker.text();
  if (record.previous_ended) {
    for (uint64_t life = 0; life < record.incarnation.value(); ++life) {
      Free({worker, life});
    }
  }
  workers_[{worker, record.incarnation.value()}] = {
      record.capacity.millicores, record.runners.at(0).reserved.millicores};
  racks_[{worker, record.incarnation.value()}] = record.rack.text();
  CheckCapacity(worker);
}

void DecisionModel::Take(const records::WorkerFreed& record) {
  Free({record.worker.text(), record.incarnation.value()});
}

void DecisionModel::Take(const records::KeyClaimed& record) {
  Expect(keys_.emplace(record.customer, record.service, record.key).second,
         "a key runs once");
}

void DecisionModel::Take(const records::KeyResolved& record) {
  Expect(resolved_.emplace(record.customer, record.service, record.key).second,
         "a key has one answer");
}

void DecisionModel::Free(const Life& life) {
  workers_.erase(life);
  std::erase_if(live_,
                [&](const auto& live) { return live.second.worker == life; });
}

void DecisionModel::CheckCapacity(const std::string& worker) {
  int64_t capacity = 0;
  int64_t used = 0;
  for (const auto& [life, amounts] : workers_) {
    if (life.first == worker) {
      capacity = amounts.first;  // Of the newest life.
      used += amounts.second;
    }
  }
  for (const Live& live : live_ | std::views::values) {
    used += live.worker.first == worker ? live.millicores : 0;
  }
  Expect(used <= capacity, "capacity of " + worker);
}

void DecisionModel::CheckSeparation(const records::TaskClaimed& record) {
  const Life life = {record.worker.text(), record.incarnation.value()};
  const records::JobSubmitted& own = jobs_[record.task.job];
  const auto names = [](const auto& job, const KindId& kind) {
    return std::ranges::count(job.separation.apart_from, kind) > 0;
  };
  uint32_t in_rack = 1;
  for (const auto& [task, live] : live_) {
    const records::JobSubmitted& other = jobs_[task.job];
    in_rack +=
        task.job == own.job && racks_[live.worker] == racks_[life] ? 1 : 0;
    Expect(live.worker.first != life.first ||
               (!names(own, other.kind) && !names(other, own.kind)),
           "kinds stay apart");
  }
  const uint32_t most = own.separation.most_per_rack;
  Expect(most == 0 || in_rack <= most, "most tasks in a rack");
}

}  // namespace papayadrift::test
