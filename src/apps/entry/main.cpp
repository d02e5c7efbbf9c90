// papayadrift-entry: serves callers, workers and operators.

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <iostream>
#include <string>

#include "base/clock.h"
#include "entry/entry_node.h"
#include "entry/node_settings.h"
#include "http/client.h"
#include "http/server.h"
#include "log/http_log.h"
#include "logging/logger.h"
#include "process/process_end.h"
#include "process/settings_file.h"
#include "process/signal_waiter.h"
#include "settings/entry_settings.h"

namespace papayadrift {
namespace {

enum class ExitCode {
  kDone = 0,
  kBadSettings = 1,
  kUsage = 2,
  kSuperseded = 3,  // To be started again as another life.
  kCannotServe = 4,
  kNotAllFinished = 5,
};

// Beyond the longest request, for leaving and the last report of outcomes.
constexpr seconds kCloseMargin(10);

// A process that starts later has a higher incarnation, also after its VM was
// replaced.
Incarnation NewIncarnation(const Clock& clock) {
  return Incarnation(
      static_cast<uint64_t>(clock.WallNow().time_since_epoch().count()));
}

ExitCode ExitCodeOf(entry::NodeEnd end, bool has_finished) {
  if (end == entry::NodeEnd::kSuperseded) {
    return ExitCode::kSuperseded;
  }
  return has_finished ? ExitCode::kDone : ExitCode::kNotAllFinished;
}

// Returns only if it could not begin to serve; else ends the process.
ExitCode Serve(const settings::EntrySettings& settings,
               process::SignalWaiter& signals) {
  http::InitializeThreads(static_cast<int>(settings.threads));
  const SystemClock clock;
  logging::Logger logger(settings.entry.text(), logging::Level::kInfo, clock,
                         STDOUT_FILENO);
  http::Client client(http::ClientSettings(), clock);
  log::HttpLog log({settings.log_address, settings.log_timeout}, client, clock);
  std::optional<peer_protocol::SharedKey> peer_key;
  if (!settings.peer_secret_path.empty()) {
    peer_key = peer_protocol::SharedKey::FromSecret(
        process::ReadTextFile(settings.peer_secret_path).value_or(""));
    if (!peer_key) {
      std::cerr << "The file " << settings.peer_secret_path
                << " must hold a secret of at least 16 bytes.\n";
      return ExitCode::kBadSettings;
    }
  }
  entry::EntryNode node(settings, NewIncarnation(clock),
                        {log, client, clock, logger, peer_key});
  if (!node.Start()) {
    std::cerr << "The address " << settings.http_address
              << " can't be served.\n";
    return ExitCode::kCannotServe;
  }
  signals.OnSignal([&node] { node.Stop(); });
  const entry::NodeEnd end = node.Wait();
  const bool has_finished =
      node.Close(clock.Now() + settings.maximum_deadline + kCloseMargin);
  signals.OnSignal(nullptr);
  logger.Finish();
  process::EndProcess(static_cast<int>(ExitCodeOf(end, has_finished)));
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine line("Serves callers, workers and operators.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> path("s", "settings", "INI file of settings.",
                                    true, "", "path", line);
  TCLAP::SwitchArg check("c", "check", "Only check the settings.", line);
  line.parse(argc, argv);
  const auto settings = process::ReadSettingsFile(
      path.getValue(), &settings::ReadEntrySettings, std::cerr);
  if (!settings) {
    return static_cast<int>(ExitCode::kBadSettings);
  }
  if (const auto problem = entry::LeaseProblemOf(*settings)) {
    process::PrintProblems({*problem}, path.getValue(), std::cerr);
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
