#include "fixture.h"

namespace papayadrift::placement {

Fixture::Fixture(const Settings& settings)
    : scheduler_(MakeLearningScheduler(settings)) {
  const TeamPolicy team = {TeamId("team"), {8000, 8192, 1}, 1.0};
  const TeamPolicy other = {TeamId("other"), {8000, 8192, 1}, 1.0};
  const ServicePolicy service = {ServiceId("service"), CustomerId("customer"),
                                 milliseconds(20)};
  const CustomerPolicy customer = {CustomerId("customer"), 4.0, 1.0};
  Handle(PolicyChanged{{{team, other}, {service}, {customer}}});
}

std::vector<Action> Fixture::Handle(const Event& event) {
  return scheduler_->Handle(now_, event);
}

std::vector<Action> Fixture::Pass(microseconds step) {
  now_ += step;
  return Handle(Tick());
}

std::vector<Action> Fixture::AddWorker(const std::string& worker,
                                       const Resources& capacity,
                                       const Resources& reserved) {
  return Handle(WorkerUp{.worker = WorkerId(worker),
                         .incarnation = Incarnation(1),
                         .zone = ZoneId("zone"),
                         .rack = RackId("rack"),
                         .capacity = capacity,
                         .runners = {{ServiceId("service"), reserved}}});
}

std::vector<Action> Fixture::Submit(const JobSubmitted& job) {
  return Handle(job);
}

void Fixture::Start(const Claim& claim) {
  Handle(ClaimAccepted{claim.task, claim.attempt, claim.worker,
                       claim.incarnation, claim.grant});
  Handle(TaskStarted{claim.task, claim.attempt});
}

JobSubmitted SomeJob(const std::string& id,
                     uint32_t tasks,
                     Resources declared) {
  return {.job = JobId(id),
          .customer = CustomerId("customer"),
          .team = TeamId("team"),
          .kind = KindId("kind"),
          .tasks = tasks,
          .declared = declared,
          .declared_run = seconds(60)};
}

}  // namespace papayadrift::placement
