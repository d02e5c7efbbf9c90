#include "fake_region.h"

#include <algorithm>
#include <utility>

#include "entry/idle_request_path.h"
#include "entry/node_settings.h"
#include "records/codec.h"

namespace papayadrift::entry {

namespace {

constexpr milliseconds kStep(1);
// From a call to its effect in the log, and as long again to the answer.
constexpr milliseconds kLogTime(5);
constexpr size_t kRetained = 1'000'000;

constexpr char kConfiguration[] =
    "[customer customer]\n"
    "[team team]\ncustomer = customer\nquota_cores = 1000 cores\n"
    "quota_memory = 1 TiB\n"
    "[service service]\ncustomer = customer\nlatency_target = 20 ms\n"
    "idempotent = yes\n";

settings::EntrySettings SettingsOf() {
  settings::EntrySettings it;
  it.entry = EntryId("entry");
  it.region = RegionId("region");
  it.zone = ZoneId("zone");
  it.http_address = "10.0.0.1:80";
  it.stream_address = "10.0.0.1:81";
  it.appends_per_second = 100;
  it.commit_interval = milliseconds(5);
  it.snapshot_interval_records = 20'000;
  it.reassert_interval = seconds(600);
  it.lease_length = seconds(8);
  it.tail_freshness = seconds(3);
  it.promise_length = seconds(6);
  it.pause_margin = seconds(2);
  it.clock_rate_error_permille = 1;
  it.renewal_cap = seconds(60);
  it.worker_suspicion = seconds(5);
  it.peer_suspicion = seconds(3);
  it.maximum_deadline = seconds(10);
  return it;
}

}  // namespace

ManualLog::ManualLog(const Clock& clock) : clock_(clock), store_(kRetained) {}

void ManualLog::Append(const log::StreamId& stream,
                       std::string bytes,
                       std::function<void(log::AppendResult)> done) {
  const Instant arrives = clock_.Now() + kLogTime;
  if (IsLost(bytes)) {
    answers_.push_back(
        {arrives, [done = std::move(done)] { done(log::AppendUnanswered()); }});
    return;
  }
  answers_.push_back({arrives, [this, stream, bytes = std::move(bytes),
                                done = std::move(done)]() mutable {
                        const Offset offset =
                            store_.Append(stream, std::move(bytes));
                        answers_.push_back({clock_.Now() + kLogTime,
                                            [done = std::move(done), offset] {
                                              done(log::Appended{offset});
                                            }});
                      }});
}

void ManualLog::Read(const log::StreamId& stream,
                     Offset from,
                     uint32_t limit,
                     uint32_t wait_milliseconds,
                     std::function<void(log::ReadResult)> done) {
  polls_.push_back({clock_.Now() + milliseconds(wait_milliseconds), stream,
                    from, limit, std::move(done)});
}

void ManualLog::OnTime() {
  const auto due = std::ranges::stable_partition(
      answers_, [this](const Answer& it) { return it.due > clock_.Now(); });
  std::vector<Answer> given(std::make_move_iterator(due.begin()),
                            std::make_move_iterator(due.end()));
  answers_.erase(due.begin(), due.end());
  std::ranges::for_each(given, [](const Answer& it) { it.give(); });
  AnswerPolls();
}

void ManualLog::LoseAppendsOf(std::string_view record, int count) {
  lost_record_ = record;
  to_lose_ = count;
}

bool ManualLog::IsLost(const std::string& bytes) {
  const auto batch = records::Decode(bytes);
  const bool is_meant =
      to_lose_ > 0 && batch &&
      std::ranges::any_of(*batch, [this](const records::Proposal& it) {
        return records::NameOf(it.record) == lost_record_;
      });
  to_lose_ -= is_meant ? 1 : 0;
  return is_meant;
}

void ManualLog::AnswerPolls() {
  for (Poll& poll : std::exchange(polls_, {})) {
    log::ReadResult result = store_.Read(poll.stream, poll.from, poll.limit);
    const auto* read = std::get_if<log::ReadRecords>(&result);
    if (read != nullptr && read->records.empty() &&
        clock_.Now() < poll.give_up_at) {
      polls_.push_back(std::move(poll));
      continue;
    }
    answers_.push_back(
        {clock_.Now() + kLogTime,
         [done = std::move(poll.done), result = std::move(result)]() mutable {
           done(std::move(result));
         }});
  }
}

void ManualRunner::RunAll() {
  while (!tasks_.empty()) {
    const Task task = std::move(tasks_.front());
    tasks_.pop_front();
    task();
  }
}

FakeRegion::FakeRegion()
    : log_(clock_), runner_(std::make_shared<ManualRunner>()) {
  MakeEntry();
}

FakeRegion::~FakeRegion() = default;

void FakeRegion::Start(const std::string& sections) {
  AdvanceUntil([this] { return entry_->is_ready(); }, seconds(30));
  bool is_in_force = false;
  entry_->ApplyConfiguration(
      ConfigurationVersion(), "operator", kConfiguration + sections,
      clock_.Now() + seconds(30),
      [&](const http::Response&) { is_in_force = true; });
  AdvanceUntil([&] { return is_in_force; }, seconds(30));
  Advance(seconds(1));
}

void FakeRegion::ReplaceEntry() {
  bool has_left = false;
  entry_->Leave([&] { has_left = true; });
  AdvanceUntil([&] { return has_left; }, seconds(30));
  // What is still on its way to the old one is dropped with its runner.
  runner_ = std::make_shared<ManualRunner>();
  entry_.reset();
  MakeEntry();
  AdvanceUntil([this] { return entry_->is_ready(); }, seconds(30));
}

void FakeRegion::AddWorker(const std::string& name, const Resources& capacity) {
  records::WorkerAnnounced announced;
  announced.worker = WorkerId(name);
  announced.incarnation = Incarnation(1);
  announced.zone = ZoneId("zone");
  announced.rack = RackId("rack");
  announced.address = "10.0.1.1:80";
  announced.capacity = capacity;
  workers_.push_back({standins::WorkerCore(announced, 1), clock_.Now()});
  const auto is_known = [&] {
    return entry_->decisions().state().workers().NewestIncarnation(
               WorkerId(name)) == Incarnation(1);
  };
  AdvanceUntil(is_known, seconds(30));
}

void FakeRegion::Submit(const std::string& body) {
  entry_->SubmitJob(body, [](const http::Response&) {});
}

void FakeRegion::Advance(microseconds span) {
  const Instant end = clock_.Now() + span;
  while (clock_.Now() < end) {
    Step();
  }
}

microseconds FakeRegion::AdvanceUntil(const std::function<bool()>& condition,
                                      microseconds most) {
  const Instant started = clock_.Now();
  while (!condition() && clock_.Now() < started + most) {
    Step();
  }
  return clock_.Now() - started;
}

size_t FakeRegion::StartsOf(const std::string& job) const {
  size_t starts = 0;
  for (const Worker& worker : workers_) {
    starts += static_cast<size_t>(std::ranges::count_if(
        worker.core.journal(),
        [&](const auto& run) { return run.task.job == JobId(job); }));
  }
  return starts;
}

replay::WorkerState FakeRegion::StateOf(const std::string& worker) const {
  const auto& workers = entry_->decisions().state().workers();
  const auto newest = workers.NewestIncarnation(WorkerId(worker));
  const auto* state =
      newest ? workers.Find({WorkerId(worker), *newest}) : nullptr;
  return state == nullptr ? replay::WorkerState() : *state;
}

void FakeRegion::MakeEntry() {
  ++life_;
  entry_ = std::make_unique<RegionController>(
      ControllerSettingsOf(SettingsOf(), Incarnation(life_), std::nullopt),
      log_, runner_, clock_, transport_,
      IdleRequestPath([](const routing::RoutingTable&) {}), RegionObserver());
}

void FakeRegion::Step() {
  clock_.Advance(kStep);
  log_.OnTime();
  runner_->RunAll();
  entry_->OnTime();
  for (Worker& worker : workers_) {
    worker.core.OnTime(clock_.Now());
  }
  SendHeartbeats();
}

void FakeRegion::SendHeartbeats() {
  const Instant now = clock_.Now();
  for (Worker& worker : workers_) {
    const bool is_due = now >= worker.due_at || worker.core.WantsHeartbeat(now);
    if (worker.is_cut_off || !is_due) {
      continue;
    }
    worker.due_at = now + kHeartbeatPeriod;
    ++heartbeats_;
    worker.core.OnAnswer(entry_->OnHeartbeat(worker.core.MakeHeartbeat(now)),
                         now);
  }
}

}  // namespace papayadrift::entry
