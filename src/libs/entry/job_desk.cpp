#include "entry/job_desk.h"

#include <utility>
#include <variant>

#include "entry/job_request.h"
#include "entry/json_response_p.h"
#include "entry/refusal_response.h"

namespace papayadrift::entry {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;

// Makes the response to a submission from its outcome.
struct SubmissionResponse {
  const JobId& job;
  WallInstant now;

  http::Response operator()(const ProposalAccepted&) const {
    return Taken(false);
  }

  http::Response operator()(const ProposalRejected& rejected) const {
    return rejected.rejection == replay::Rejection::kJobKnown ? Taken(true)
                                                              : NotTaken();
  }

  http::Response operator()(const ProposalExpired&) const { return NotTaken(); }

  http::Response operator()(const ProposalUnknown&) const {
    return ResponseTo(
        {RefusalReason::kLogUnavailable, Ran::kUnknown,
         "The log dropped what would have told of the job.", std::nullopt},
        now);
  }

 private:
  http::Response Taken(bool was_known) const {
    return JsonResponse(kAccepted,
                        {{"job", job.text()}, {"was_known", was_known}});
  }

  http::Response NotTaken() const {
    return ResponseTo(
        NotRun(RefusalReason::kLogUnavailable, "The job was not taken."), now);
  }
};

}  // namespace

JobDesk::JobDesk(RegionId region,
                 DecisionStream& decisions,
                 const ConfigurationStream& configuration,
                 const Clock& clock)
    : region_(std::move(region)),
      decisions_(decisions),
      configuration_(configuration),
      clock_(clock) {}

void JobDesk::Submit(const std::string& body, Respond respond) {
  std::string detail;
  std::optional<records::JobSubmitted> job =
      ReadJobRequest(body, configuration_.in_force().parsed, detail);
  if (!job) {
    respond(ResponseTo(NotRun(RefusalReason::kBadRequest, detail),
                       clock_.WallNow()));
    return;
  }
  if (const std::optional<Refusal> refusal = RefusalOf(job->job)) {
    respond(ResponseTo(*refusal, clock_.WallNow()));
    return;
  }
  const JobId id = job->job;
  decisions_.Propose(std::move(*job), [this, id, respond = std::move(respond)](
                                          const ProposalOutcome& outcome) {
    respond(std::visit(SubmissionResponse{id, clock_.WallNow()}, outcome));
  });
}

void JobDesk::Cancel(const JobId& job, Respond respond) {
  if (decisions_.state().jobs().FindJob(job) == nullptr) {
    respond(Status(job));
    return;
  }
  decisions_.Propose(records::JobCancelled{job},
                     [this, job, respond = std::move(respond)](
                         const ProposalOutcome&) { respond(Status(job)); });
}

http::Response JobDesk::Status(const JobId& job) const {
  const replay::JobState* known = decisions_.state().jobs().FindJob(job);
  if (known == nullptr) {
    return ResponseTo(RefusalByHome(HomeOf(job))
                          .value_or(NotRun(RefusalReason::kJobUnknown,
                                           "There is no such job.")),
                      clock_.WallNow());
  }
  return JsonTextResponse(kOk, JobStatusJson(*known));
}

std::optional<Refusal> JobDesk::RefusalOf(const JobId& job) const {
  if (!decisions_.is_log_available()) {
    return NotRun(RefusalReason::kLogUnavailable,
                  "The log can't be written at the moment.");
  }
  return RefusalByHome(HomeOf(job));
}

HomeAnswer JobDesk::HomeOf(const JobId& job) const {
  return FindHome(job.text(), region_, configuration_.in_force());
}

}  // namespace papayadrift::entry
