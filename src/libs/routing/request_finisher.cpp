#include <utility>
#include <variant>

#include "routing/refusal_details_p.h"
#include "routing/request_finisher_p.h"

namespace papayadrift::routing {

namespace {

// Returns whether a request with a rejected key may have run: this request did
// not, but an earlier one with the key may have.
Ran RanForRejectedKey(RefusalReason reason) {
  const bool has_earlier = reason == RefusalReason::kKeyInProgress ||
                           reason == RefusalReason::kKeyOutsideWindow ||
                           reason == RefusalReason::kNotHomeRegion;
  return has_earlier ? Ran::kUnknown : Ran::kNo;
}

// Returns why a duplicate gets no response, depending on whether the first
// request ran.
RefusalReason ReasonForReplay(Ran ran) {
  switch (ran) {
    case Ran::kYes:
      return RefusalReason::kAnswerTooLarge;
    case Ran::kNo:
      return RefusalReason::kBackendFailed;
    case Ran::kUnknown:
      break;
  }
  return RefusalReason::kConnectionLost;
}

}  // namespace

RequestFinisher::RequestFinisher(const RoutingSettings& settings,
                                 EventContext& context,
                                 const ServiceTable& services,
                                 FlowTable& flows,
                                 RequestQueues& queues,
                                 FlowSchedule& schedule)
    : settings_(settings),
      context_(context),
      services_(services),
      flows_(flows),
      queues_(queues),
      schedule_(schedule) {}

void RequestFinisher::RefuseNew(const RequestInfo& info,
                                const AdmissionRefusal& refusal) {
  Refuse(info, RefusalOf(refusal, Ran::kNo));
}

void RequestFinisher::AnswerNewByKey(const RequestInfo& info,
                                     const KeyClaimResult& result) {
  if (const auto* refused = std::get_if<KeyRejected>(&result)) {
    RefuseByKey(info, *refused);
    return;
  }
  ReplayAnswer(info, std::get<KeyDuplicate>(result));
}

void RequestFinisher::FinishWith(RequestFlow& flow, http::Response response) {
  ResolveKeyOf(flow, response.status, response.body);
  context_.Add(Answer{flow.info(), std::move(response)});
  Finish(flow);
}

void RequestFinisher::FinishRefused(RequestFlow& flow,
                                    const AdmissionRefusal& refusal) {
  if (!flow.has_open_send()) {
    ResolveKeyUnanswered(flow);
  }
  Refuse(flow.info(), RefusalOf(refusal, flow.ran()));
  Finish(flow);
}

void RequestFinisher::FinishDropped(RequestFlow& flow) {
  if (!flow.has_open_send()) {
    ResolveKeyUnanswered(flow);
  }
  context_.Add(Drop{flow.info(), flow.ran()});
  Finish(flow);
}

void RequestFinisher::FinishByKey(RequestFlow& flow,
                                  const KeyClaimResult& result) {
  AnswerNewByKey(flow.info(), result);
  Finish(flow);
}

void RequestFinisher::ResolveKeyOf(RequestFlow& flow,
                                   int status,
                                   const std::string& answer) {
  if (!flow.has_claimed_key()) {
    return;
  }
  flow.ForgetKey();
  const bool is_kept = answer.size() <= settings_.maximum_kept_answer_bytes;
  const RequestInfo& info = flow.info();
  context_.Add(ResolveKey{info.customer, info.service, info.key, flow.ran(),
                          is_kept ? status : 0,
                          is_kept ? answer : std::string()});
}

void RequestFinisher::ResolveKeyUnanswered(RequestFlow& flow) {
  ResolveKeyOf(flow, 0, {});
}

AdmissionRefusal RequestFinisher::RetryLater(RefusalReason reason) const {
  return {reason, context_.now() + settings_.default_retry_delay};
}

void RequestFinisher::Finish(RequestFlow& flow) {
  if (flow.phase() == FlowPhase::kWaiting) {
    queues_.Remove(flow);
  }
  schedule_.RemoveTimer(flow);
  flow.Finish();
  flows_.MarkForCleanup(flow.info().id);
}

void RequestFinisher::RefuseByKey(const RequestInfo& info,
                                  const KeyRejected& result) {
  Refusal refusal =
      RefusalOf(RetryLater(result.reason), RanForRejectedKey(result.reason));
  if (result.home) {
    refusal.home = result.home;
    refusal.retry_at.reset();
  }
  Refuse(info, std::move(refusal));
}

void RequestFinisher::ReplayAnswer(const RequestInfo& info,
                                   const KeyDuplicate& first) {
  if (first.status != 0) {
    context_.Add(Answer{info, {first.status, {}, first.answer}});
    return;
  }
  Refuse(info,
         RefusalOf({ReasonForReplay(first.ran), std::nullopt}, first.ran));
}

Refusal RequestFinisher::RefusalOf(const AdmissionRefusal& refusal,
                                   Ran ran) const {
  Refusal result{refusal.reason, ran, DetailOf(refusal.reason), std::nullopt};
  if (refusal.retry_at) {
    const auto delay = *refusal.retry_at - context_.now();
    result.retry_at =
        context_.wall_now() + std::chrono::ceil<milliseconds>(delay);
  }
  return result;
}

void RequestFinisher::Refuse(const RequestInfo& info, Refusal refusal) {
  const ServiceState* service = services_.Find(info.service);
  context_.Add(routing::Refuse{
      info, std::move(refusal),
      service == nullptr ? std::nullopt
                         : std::optional(service->LoadFor(info.customer))});
}

}  // namespace papayadrift::routing
