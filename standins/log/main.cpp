// papayadrift-standin-log: stands in for the platform's log in tests.

#include <tclap/CmdLine.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>

#include "base/clock.h"
#include "http/server.h"
#include "process/process_end.h"
#include "process/signal_waiter.h"
#include "standins/log/log_service.h"

namespace papayadrift {
namespace {

constexpr milliseconds kTick(2);
constexpr int kThreads = 4;
constexpr size_t kMaximumRecordBytes = 8 << 20;

int Serve(const std::string& address,
          size_t retained_records,
          process::SignalWaiter& signals) {
  http::InitializeThreads(kThreads);
  const SystemClock clock;
  standins::LogService service(retained_records, clock);
  http::ServerSettings settings;
  settings.address = address;
  settings.maximum_body_bytes = kMaximumRecordBytes;
  http::Server server(settings,
                      [&](const http::Request& request, http::Respond respond) {
                        service.Handle(request, std::move(respond));
                      });
  if (!server.Open()) {
    std::cerr << "The address " << address << " can't be served.\n";
    return 1;
  }
  std::atomic<bool> is_stopping = false;
  signals.OnSignal([&] { is_stopping = true; });
  while (!is_stopping) {
    service.OnTime();
    std::this_thread::sleep_for(kTick);
  }
  // Calls that hang by intent would never end, so there is no orderly close.
  process::EndProcess(0);
}

}  // namespace
}  // namespace papayadrift

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Stands in for the platform's log.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> address("a", "address", "Where to serve.",
                                         true, "", "ip:port", line);
    TCLAP::ValueArg<uint64_t> retained("r", "retained-records",
                                       "Records kept of each stream.", false,
                                       1'000'000, "number", line);
    line.parse(argc, argv);
    papayadrift::process::SignalWaiter signals;
    return papayadrift::Serve(address.getValue(), retained.getValue(), signals);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& exception) {
    std::cerr << exception.error() << " " << exception.argId() << "\n";
    return 2;
  }
}
