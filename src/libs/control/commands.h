#ifndef PAPAYADRIFT_CONTROL_COMMANDS_H_
#define PAPAYADRIFT_CONTROL_COMMANDS_H_

// The commands of papayadrift-ctl. Each writes its result to `out`, what went
// wrong to `error`, and returns the exit code.

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

#include "base/instant.h"
#include "control/entry_client.h"
#include "control/exit_code.h"

namespace papayadrift::control {

struct Output {
  std::ostream& out;
  std::ostream& error;
  bool is_json = false;
};

// Checks a file without any entry.
ExitCode RunValidate(const std::string& path, const Output& output);

// Makes a new token for a team and shows it with its hash. Keeps neither.
ExitCode RunToken(const std::string& team, const Output& output);

// Shows which sections a file would change.
ExitCode RunDiff(const std::string& path,
                 EntryClient& client,
                 const Output& output);

struct ApplyOptions {
  std::string path;
  std::string author;
  // Version that the file was written against; the one in force if not set.
  std::optional<uint64_t> expected_version;
};

// Puts a whole file in force.
ExitCode RunApply(const ApplyOptions& options,
                  EntryClient& client,
                  const Output& output);

struct RetireOptions {
  std::string entry;
  // As status shows it: names the life of the entry that is gone.
  std::optional<uint64_t> incarnation;
};

// Lapses an entry on the operators' word that it is gone.
ExitCode RunRetire(const RetireOptions& options,
                   EntryClient& client,
                   const Output& output);

// Shows, for each process, which configuration is in force and since when.
ExitCode RunStatus(EntryClient& client, const Output& output);

// What an administrator may list.
enum class ViewKind { kJobs, kTeams, kWorkers };

// Lists what the entry reached knows of its region.
ExitCode RunView(ViewKind kind, EntryClient& client, const Output& output);

// Shows where each task of a job is and why.
ExitCode RunExplain(const std::string& job,
                    EntryClient& client,
                    const Output& output);

// Prints the whole state of the entry reached, as JSON.
ExitCode RunDump(EntryClient& client, const Output& output);

// Prints the outcomes of requests between two times.
ExitCode RunOutcomes(WallInstant since,
                     WallInstant until,
                     EntryClient& client,
                     const Output& output);

}  // namespace papayadrift::control

#endif  // PAPAYADRIFT_CONTROL_COMMANDS_H_
