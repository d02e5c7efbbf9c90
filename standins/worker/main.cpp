// papayadrift-standin-worker: stands in for a worker and its backend server in
// tests.

#include <tclap/CmdLine.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "process/process_end.h"
#include "process/signal_waiter.h"
#include "process/text_file.h"
#include "standins/worker/backend_service.h"
#include "standins/worker/heartbeat_sender.h"
#include "standins/worker/worker_core.h"

namespace papayadrift {
namespace {

using nlohmann::json;

constexpr int kThreads = 4;
constexpr milliseconds kTick(2);
constexpr milliseconds kHeartbeatTimeout(500);
constexpr milliseconds kLatencyPeriod(1000);

struct Arguments {
  std::string name;
  std::string zone;
  std::string rack;
  std::string address;
  std::string runner_address;
  std::string service;
  std::vector<std::string> entries;
  std::string token_file;
  int64_t cores = 0;
  int64_t memory_mebibytes = 0;
  int64_t accelerators = 0;
  int32_t slots = 0;
  int64_t reserved_cores = 0;
  int64_t work_milliseconds = 0;
  int64_t heartbeat_milliseconds = 0;
  int64_t run_time_divisor = 1;
  bool stays = false;
};

Arguments ReadArguments(int argc, char** argv) {
  TCLAP::CmdLine line("Stands in for a worker and its backend server.", ' ',
                      "0.1.0");
  TCLAP::ValueArg<std::string> name("n", "name", "Name.", true, "", "name",
                                    line);
  TCLAP::ValueArg<std::string> zone("z", "zone", "Availability zone.", false,
                                    "zone-1", "name", line);
  TCLAP::ValueArg<std::string> rack("k", "rack", "Rack.", false, "rack-1",
                                    "name", line);
  TCLAP::ValueArg<std::string> address("a", "address", "Where to serve.", true,
                                       "", "ip:port", line);
  TCLAP::ValueArg<std::string> runner(
      "g", "runner-address", "Announced instead of the address: a guard.",
      false, "", "ip:port", line);
  TCLAP::ValueArg<std::string> service(
      "s", "service", "Service; none if empty.", false, "", "name", line);
  TCLAP::MultiArg<std::string> entries("e", "entry", "Address of an entry.",
                                       true, "ip:port", line);
  TCLAP::ValueArg<std::string> token("t", "token-file", "File with a token.",
                                     false, "", "path", line);
  TCLAP::ValueArg<int64_t> cores("c", "cores", "Cores.", false, 16, "number",
                                 line);
  TCLAP::ValueArg<int64_t> memory("m", "memory", "Memory in MiB.", false,
                                  61'440, "MiB", line);
  TCLAP::ValueArg<int64_t> accelerators("x", "accelerators", "Accelerators.",
                                        false, 0, "number", line);
  TCLAP::ValueArg<int32_t> slots("l", "slots", "Slots.", false, 8, "number",
                                 line);
  TCLAP::ValueArg<int64_t> reserved("r", "reserved-cores",
                                    "Cores set aside for the service.", false,
                                    2, "number", line);
  TCLAP::ValueArg<int64_t> work("w", "work", "Time of a request in ms.", false,
                                5, "ms", line);
  TCLAP::ValueArg<int64_t> heartbeat("b", "heartbeat", "Period in ms.", false,
                                     200, "ms", line);
  TCLAP::ValueArg<int64_t> divisor("d", "run-time-divisor",
                                   "Tasks take this part of their time.", false,
                                   1, "number", line);
  TCLAP::SwitchArg stays("y", "stay", "Keep to the entries listed here.", line);
  line.parse(argc, argv);
  return {name.getValue(),     zone.getValue(),         rack.getValue(),
          address.getValue(),  runner.getValue(),       service.getValue(),
          entries.getValue(),  token.getValue(),        cores.getValue(),
          memory.getValue(),   accelerators.getValue(), slots.getValue(),
          reserved.getValue(), work.getValue(),         heartbeat.getValue(),
          divisor.getValue(),  stays.getValue()};
}

records::WorkerAnnounced AnnouncementOf(const Arguments& arguments,
                                        const Clock& clock) {
  constexpr int64_t kMillicores = 1000;
  constexpr int64_t kReservedMebibytes = 1024;
  constexpr int32_t kConnectionsPerSlot = 8;
  records::WorkerAnnounced announced;
  announced.worker = WorkerId(arguments.name);
  announced.incarnation = Incarnation(
      static_cast<uint64_t>(clock.WallNow().time_since_epoch().count()));
  announced.zone = ZoneId(arguments.zone);
  announced.rack = RackId(arguments.rack);
  announced.address = arguments.address;
  announced.capacity = {arguments.cores * kMillicores,
                        arguments.memory_mebibytes, arguments.accelerators};
  if (!arguments.service.empty()) {
    announced.runners.push_back(
        {ServiceId(arguments.service),
         arguments.runner_address.empty() ? arguments.address
                                          : arguments.runner_address,
         arguments.slots,
         arguments.slots * kConnectionsPerSlot,
         {arguments.reserved_cores * kMillicores, kReservedMebibytes, 0}});
  }
  return announced;
}

// The worker's parts and the threads that move them.
class Worker {
 public:
  explicit Worker(const Arguments& arguments)
      : arguments_(arguments),
        core_(AnnouncementOf(arguments, clock_), arguments.run_time_divisor),
        backend_({ServiceId(arguments.service), arguments.name, arguments.slots,
                  milliseconds(arguments.work_milliseconds)},
                 clock_),
        client_(http::ClientSettings(), clock_),
        server_(ServerSettings(),
                [this](const http::Request& request, http::Respond respond) {
                  Handle(request, std::move(respond));
                }),
        sender_(arguments.entries,
                TokenIn(arguments.token_file),
                kHeartbeatTimeout,
                arguments.stays,
                client_,
                clock_) {}

  int Run(process::SignalWaiter& signals) {
    if (!server_.Open()) {
      std::cerr << "The address " << arguments_.address
                << " can't be served.\n";
      return 1;
    }
    signals.OnSignal([this] { is_stopping_ = true; });
    std::thread heartbeats([this] { SendHeartbeats(); });
    while (!has_drained_ || lingers_) {
      Tick();
      std::this_thread::sleep_for(kTick);
    }
    heartbeats.join();
    signals.OnSignal(nullptr);
    server_.Finish();
    process::EndProcess(0);
  }

 private:
  http::ServerSettings ServerSettings() const {
    http::ServerSettings settings;
    settings.address = arguments_.address;
    return settings;
  }

  static std::string TokenIn(const std::string& path) {
    std::string token =
        path.empty() ? std::string() : process::ReadTextFile(path).value_or("");
    token.erase(token.find_last_not_of(" \t\r\n") + 1);
    return token;
  }

  bool IsPaused() const { return clock_.Now() < paused_until_.load(); }

  void Tick() {
    if (IsPaused()) {
      return;
    }
    backend_.OnTime();
    const std::lock_guard lock(mutex_);
    core_.OnTime(clock_.Now());
  }

  void SendHeartbeats() {
    Instant due_at = clock_.Now();
    Instant latency_at = due_at;
    while (!has_drained_) {
      std::this_thread::sleep_for(kTick);
      const Instant now = clock_.Now();
      if (IsPaused() || are_heartbeats_dropped_ ||
          (now < due_at && !WantsHeartbeat(now))) {
        continue;
      }
      due_at = now + milliseconds(arguments_.heartbeat_milliseconds);
      SendOne(now >= latency_at);
      if (now >= latency_at) {
        latency_at = now + kLatencyPeriod;
      }
    }
  }

  bool WantsHeartbeat(Instant now) {
    const std::lock_guard lock(mutex_);
    return core_.WantsHeartbeat(now);
  }

  void SendOne(bool has_latency) {
    worker_protocol::Heartbeat heartbeat;
    {
      const std::lock_guard lock(mutex_);
      if (has_latency) {
        if (const auto latency = backend_.TakeLatency()) {
          core_.AddLatency(*latency);
        }
      }
      if (is_stopping_) {
        core_.BeginDrain();
      }
      heartbeat = core_.MakeHeartbeat(clock_.Now());
    }
    const auto answer = sender_.Send(heartbeat);
    // A pause hits between any two steps.
    while (IsPaused()) {
      std::this_thread::sleep_for(kTick);
    }
    const std::lock_guard lock(mutex_);
    if (answer) {
      core_.OnAnswer(*answer, clock_.Now());
    }
    const bool is_drain_known = heartbeat.is_draining && answer.has_value();
    has_drained_ =
        is_drain_known && core_.is_idle() && backend_.in_flight() == 0;
  }

  void Handle(const http::Request& request, http::Respond respond) {
    if (request.path == "/standin/journal") {
      respond({200, {{"content-type", "application/json"}}, Journal()});
      return;
    }
    if (request.path == "/standin/faults") {
      SetFaults(request.body);
      respond({200, {}, "{}"});
      return;
    }
    backend_.Handle(request, std::move(respond));
  }

  std::string Journal() {
    json requests = json::array();
    for (const standins::RequestRun& run : backend_.journal()) {
      requests.push_back(
          {{"identity", run.identity},
           {"key", run.key},
           {"body", run.body},
           {"started_at", run.started_at.time_since_epoch().count()}});
    }
    json tasks = json::array();
    const std::lock_guard lock(mutex_);
    for (const standins::TaskRun& run : core_.journal()) {
      tasks.push_back(
          {{"task", ToText(run.task)},
           {"attempt", run.attempt.value()},
           {"started_us", run.started_at.time_since_epoch().count()},
           {"ended_us", run.ended_at
                            ? json(run.ended_at->time_since_epoch().count())
                            : json()},
           {"from_permille", run.from_permille},
           {"to_permille", run.to_permille},
           {"resumed", run.resumed.text()},
           {"checkpoint", run.checkpoint.text()},
           {"end", run.end}});
    }
    return json{{"requests", requests},
                {"tasks", tasks},
                {"slots", arguments_.slots},
                {"most_at_once", backend_.most_at_once()},
                {"refused_for_slots", backend_.refused_for_slots()},
                {"incarnation", core_.incarnation().value()}}
        .dump();
  }

  void SetFaults(const std::string& body) {
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
      return;
    }
    standins::BackendFaults backend;
    backend.fails_requests = object.value("fails_requests", false);
    backend.swaps_answers = object.value("swaps_answers", false);
    backend.extra_time = milliseconds(object.value("extra_ms", 0));
    backend_.SetFaults(backend);
    lingers_ = object.value("lingers", false);
    are_heartbeats_dropped_ = object.value("drops_heartbeats", false);
    paused_until_ = clock_.Now() + milliseconds(object.value("pause_ms", 0));
    const std::lock_guard lock(mutex_);
    core_.SetFaults({object.value("fails_tasks", false)});
  }

  const Arguments arguments_;
  const SystemClock clock_;
  std::mutex mutex_;
  standins::WorkerCore core_;  // Guarded by mutex_.
  standins::BackendService backend_;
  http::Client client_;
  http::Server server_;
  standins::HeartbeatSender sender_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> has_drained_{false};
  std::atomic<bool> are_heartbeats_dropped_{false};
  std::atomic<bool> lingers_{false};  // Stays when it has drained.
  std::atomic<Instant> paused_until_{Instant()};
};

}  // namespace
}  // namespace papayadrift

int main(int argc, char** argv) {
  try {
    const papayadrift::Arguments arguments =
        papayadrift::ReadArguments(argc, argv);
    papayadrift::process::SignalWaiter signals;
    papayadrift::http::InitializeThreads(papayadrift::kThreads);
    return papayadrift::Worker(arguments).Run(signals);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& exception) {
    std::cerr << exception.error() << " " << exception.argId() << "\n";
    return 2;
  }
}
