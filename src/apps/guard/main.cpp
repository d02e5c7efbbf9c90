// papayadrift-guard: stands before one backend server.

#include <tclap/CmdLine.h>

#include <future>
#include <iostream>
#include <string>

#include "base/clock.h"
#include "guard/guard_node.h"
#include "http/client.h"
#include "http/server.h"
#include "process/process_end.h"
#include "process/settings_file.h"
#include "process/signal_waiter.h"
#include "settings/guard_settings.h"

namespace papayadrift {
namespace {

enum class ExitCode {
  kDone = 0,
  kBadSettings = 1,
  kUsage = 2,
  kCannotServe = 4,
};

ExitCode Serve(const settings::GuardSettings& settings,
               process::SignalWaiter& signals) {
  http::InitializeThreads(static_cast<int>(settings.threads));
  const SystemClock clock;
  http::Client client(http::ClientSettings(), clock);
  guard::GuardNode node(settings, client, clock);
  if (!node.Start()) {
    std::cerr << "The address " << settings.http_address
              << " can't be served.\n";
    return ExitCode::kCannotServe;
  }
  std::promise<void> stop;
  std::once_flag once;
  signals.OnSignal(
      [&] { std::call_once(once, [&stop] { stop.set_value(); }); });
  stop.get_future().wait();
  signals.OnSignal(nullptr);
  node.Finish();
  process::EndProcess(static_cast<int>(ExitCode::kDone));
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine line("Stands before one backend server.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> path("s", "settings", "INI file of settings.",
                                    true, "", "path", line);
  TCLAP::SwitchArg check("c", "check", "Only check the settings.", line);
  line.parse(argc, argv);
  const auto settings = process::ReadSettingsFile(
      path.getValue(), &settings::ReadGuardSettings, std::cerr);
  if (!settings) {
    return static_cast<int>(ExitCode::kBadSettings);
  }
  if (check.getValue()) {
    return static_cast<int>(ExitCode::kDone);
  }
  process::SignalWaiter signals;
  return static_cast<int>(Serve(*settings, signals));
}

}  // namespace
}  // namespace papayadrift

int main(int argc, char** argv) {
  try {
    return papayadrift::Run(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& exception) {
    std::cerr << exception.error() << " " << exception.argId() << "\n";
    return 2;
  }
}
