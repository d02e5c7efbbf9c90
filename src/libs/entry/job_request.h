#ifndef PAPAYADRIFT_ENTRY_JOB_REQUEST_H_
#define PAPAYADRIFT_ENTRY_JOB_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/instant.h"
#include "configuration/configuration.h"
#include "records/record.h"
#include "replay/job_table.h"

namespace papayadrift::entry {

// Reads the JSON of POST /v1/jobs. Returns nothing, and a sentence in
// `detail`, when it is not a job.
std::optional<records::JobSubmitted> ReadJobRequest(
    std::string_view text,
    const configuration::Configuration& configuration,
    std::string& detail);

// Returns the record that submits a job of the operators' file.
records::JobSubmitted SubmissionOf(
    const configuration::Job& job,
    const configuration::Configuration& configuration,
    WallInstant now);

// Returns the JSON of GET /v1/jobs/<id>.
std::string JobStatusJson(const replay::JobState& job);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_JOB_REQUEST_H_
