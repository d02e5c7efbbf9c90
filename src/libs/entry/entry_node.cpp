#include "entry/entry_node.h"

#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "access/access_control.h"
#include "async_http/refusal_reporter.h"
#include "base/hash.h"
#include "entry/control_metrics.h"
#include "entry/event_loop.h"
#include "entry/event_reporter.h"
#include "entry/http_front.h"
#include "entry/node_settings.h"
#include "entry/outcomes_desk.h"
#include "entry/region_controller.h"
#include "entry/request_desk.h"
#include "entry/stream_peer_transport.h"
#include "http/server.h"
#include "metrics/registry.h"

namespace papayadrift::entry {

namespace {

constexpr milliseconds kTick(10);
constexpr milliseconds kOutcomesInterval(1000);
constexpr milliseconds kSampleInterval(1000);

}  // namespace

class EntryNode::Private {
 public:
  Private(const settings::EntrySettings& settings,
          Incarnation incarnation,
          const NodeEnvironment& environment);
  ~Private();

  bool Start();
  NodeEnd Wait();
  void Stop();
  bool Close(Instant deadline);
  std::optional<NodeFailure> last_reason() const { return last_reason_; }

 private:
  void Tick();
  void End(NodeEnd end);
  KeyPort Keys();
  RequestPathPort RequestPath();
  void OnConfiguration(const ConfigurationInForce& configuration);
  // Waits until callers have their responses, at most until `deadline`: only
  // then are all outcomes known.
  void AwaitWritten(Instant deadline) const;
  // Runs `begin` with a callback on the control thread and waits for the
  // callback, at most until `deadline`.
  bool RunAndWait(Instant deadline,
                  std::function<void(std::function<void()>)> begin);

  const settings::EntrySettings settings_;
  const Clock& clock_;
  const std::shared_ptr<EventLoop> control_;
  const std::shared_ptr<EventLoop> timers_;
  metrics::Registry registry_;
  RequestMetrics request_metrics_;
  LoanMetrics loan_metrics_;
  ControlMetrics control_metrics_;
  access::AccessControl access_;
  outcomes::OutcomeLedger ledger_;
  const RequestReporter request_reporter_;
  RequestDesk requests_;
  StreamPeerTransport peers_;
  logging::Logger& logger_;
  EventReporter reporter_;
  RegionController controller_;
  OutcomesDesk outcomes_;
  HttpFront front_;
  async_http::RefusalReporter refusals_;
  http::Server server_;
  Instant sample_at_;
  std::optional<NodeFailure> last_reason_;
  bool is_closing_ = false;  // Used on the control thread only.
  std::mutex mutex_;
  std::condition_variable ended_;
  std::optional<NodeEnd> end_;
};

EntryNode::Private::Private(const settings::EntrySettings& settings,
                            Incarnation incarnation,
                            const NodeEnvironment& environment)
    : settings_(settings),
      clock_(environment.clock),
      control_(std::make_shared<EventLoop>(clock_)),
      timers_(std::make_shared<EventLoop>(clock_)),
      request_metrics_(registry_),
      loan_metrics_(registry_),
      control_metrics_(registry_),
      access_(AccessSettingsOf(incarnation)),
      ledger_(settings.entry, incarnation, clock_.WallNow()),
      request_reporter_(
          environment.logger,
          RequestDeskSettingsOf(settings, incarnation).routing.identity_prefix),
      requests_(RequestDeskSettingsOf(settings, incarnation),
                clock_,
                environment.client,
                timers_,
                ledger_,
                request_metrics_,
                request_reporter_,
                Keys(),
                [this](const ServiceId& service, size_t requests) {
                  control_->Post([this, service, requests] {
                    controller_.OnSlotsWanted(service, requests);
                  });
                }),
      peers_(settings.stream_address, control_),
      logger_(environment.logger),
      reporter_(environment.logger),
      controller_(
          ControllerSettingsOf(settings, incarnation, environment.peer_key),
          environment.log,
          control_,
          clock_,
          peers_,
          RequestPath(),
          {&reporter_,
           [this](const replay::EntryKey& key) {
             outcomes_.CloseRecordOf(key.entry, key.incarnation);
           },
           &loan_metrics_}),
      outcomes_({log::StreamId("outcomes-" + settings.region.text()),
                 settings.entry, incarnation, kOutcomesInterval},
                environment.log,
                control_,
                clock_,
                ledger_),
      front_(HttpFrontSettingsOf(settings),
             clock_,
             {requests_, controller_, outcomes_, access_, registry_, control_}),
      refusals_("callers", clock_, &logger_, registry_),
      server_(
          ServerSettingsOf(settings),
          [this](http::Request request, http::Respond respond) {
            front_.Handle(std::move(request), std::move(respond));
          },
          [this](async_http::Refusal it) { refusals_.Report(it); }) {
  access_.SetBook(AccessBookOf(settings, configuration::Configuration()));
  controller_.configuration().AddListener(
      [this](const ConfigurationInForce& in_force) {
        OnConfiguration(in_force);
      });
}

EntryNode::Private::~Private() {
  server_.Close();
  peers_.Shut();
  control_->Stop();
  timers_->Stop();
}

bool EntryNode::Private::Start() {
  if (!server_.Open()) {
    switch (*server_.last_reason()) {
      case http::ServerFailure::kAddressInUse:
        last_reason_ = NodeFailure::kAddressInUse;
        break;
      case http::ServerFailure::kBadAddress:
        last_reason_ = NodeFailure::kBadAddress;
        break;
      case http::ServerFailure::kBadCertificate:
        last_reason_ = NodeFailure::kBadCertificate;
        break;
    }
    logger_.Log(logging::Event::kServerFailed,
                {{"address", settings_.http_address}});
    return false;
  }
  if (PeerDriver* driver = controller_.peers()) {
    if (!peers_.Open(*driver)) {
      last_reason_ = NodeFailure::kAddressInUse;
      return false;
    }
  }
  logger_.Log(logging::Event::kProcessStarted,
              {{"address", settings_.http_address}});
  control_->Post([this] { Tick(); });
  return true;
}

NodeEnd EntryNode::Private::Wait() {
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return end_.has_value(); });
  return *end_;
}

void EntryNode::Private::Stop() {
  End(NodeEnd::kStopped);
}

bool EntryNode::Private::Close(Instant deadline) {
  logger_.Log(logging::Event::kProcessStopping);
  control_->Post([this] {
    is_closing_ = true;
    front_.SetReady(false);
  });
  const bool is_drained =
      RunAndWait(deadline, [this](std::function<void()> done) {
        controller_.StopLoans();
        requests_.BeginStop(std::move(done));
      });
  // With requests still in flight its slots are not free: it is then lapsed
  // like one that died.
  const bool has_left =
      is_drained && RunAndWait(deadline, [this](std::function<void()> done) {
        controller_.Leave(std::move(done));
      });
  AwaitWritten(deadline);
  const bool is_written =
      RunAndWait(deadline, [this](std::function<void()> done) {
        outcomes_.Finish(std::move(done));
      });
  server_.Finish();
  logger_.Log(logging::Event::kProcessStopped, {{"has_drained", is_drained},
                                                {"has_left", has_left},
                                                {"has_reported", is_written}});
  return is_drained && has_left && is_written;
}

void EntryNode::Private::Tick() {
  controller_.OnTime();
  outcomes_.OnTime();
  const bool may_serve = controller_.is_ready() && outcomes_.has_begun();
  if (may_serve) {
    requests_.Open();
  }
  if (controller_.is_ready()) {
    const bool is_available = controller_.decisions().is_log_available();
    outcomes_.Observe("log_available", is_available);
    reporter_.OnLog(is_available);
  }
  front_.SetReady(may_serve && !is_closing_);
  if (clock_.Now() >= sample_at_) {
    control_metrics_.Sample(controller_, clock_.Now());
    control_metrics_.SampleLines(logger_);
    sample_at_ = clock_.Now() + kSampleInterval;
  }
  if (controller_.is_superseded()) {
    End(NodeEnd::kSuperseded);
  }
  control_->PostAt(clock_.Now() + kTick, [this] { Tick(); });
}

void EntryNode::Private::End(NodeEnd end) {
  const std::lock_guard lock(mutex_);
  if (!end_) {
    end_ = end;
    ended_.notify_all();
  }
}

KeyPort EntryNode::Private::Keys() {
  return {
      [this](const routing::RequestInfo& facts, auto done) {
        control_->Post([this, facts, done = std::move(done)] {
          done(controller_.keys().LookUp(facts));
        });
      },
      [this](const routing::RequestInfo& facts, KeyDesk::OnVerdict on_verdict) {
        control_->Post(
            [this, facts, on_verdict = std::move(on_verdict)]() mutable {
              controller_.keys().Claim(facts, std::move(on_verdict));
            });
      },
      [this](const routing::ResolveKey& resolve) {
        control_->Post(
            [this, resolve] { controller_.keys().Resolve(resolve); });
      }};
}

RequestPathPort EntryNode::Private::RequestPath() {
  return {
      [this](routing::RoutingTable table) {
        requests_.Publish(std::move(table));
      },
      {[this](const std::string& address) {
         return requests_.slots_in_use(address);
       },
       [this](const ServiceId& service, const std::string& address,
              const routing::SlotLimit& allowance) {
         requests_.Allow(service, address, allowance);
       },
       [this](const std::string& address, const routing::SlotLimit& allowance) {
         return requests_.TryAllow(address, allowance);
       }},
      [this](Instant until) { requests_.SetUsableUntil(until); }};
}

void EntryNode::Private::OnConfiguration(
    const ConfigurationInForce& configuration) {
  logger_.Log(logging::Event::kConfigurationInForce,
              {{"version", static_cast<int64_t>(configuration.version.value())},
               {"author", configuration.author}});
  access_.SetBook(AccessBookOf(settings_, configuration.parsed));
  front_.SetServices(configuration.parsed);
}

void EntryNode::Private::AwaitWritten(Instant deadline) const {
  while (requests_.unwritten_count() > 0 && clock_.Now() < deadline) {
    std::this_thread::sleep_for(kTick);
  }
}

bool EntryNode::Private::RunAndWait(
    Instant deadline,
    std::function<void(std::function<void()>)> begin) {
  const auto done = std::make_shared<std::promise<void>>();
  std::future<void> is_done = done->get_future();
  control_->Post([begin = std::move(begin), done] {
    begin([done] { done->set_value(); });
  });
  return is_done.wait_for(deadline - clock_.Now()) == std::future_status::ready;
}

EntryNode::EntryNode(const settings::EntrySettings& settings,
                     Incarnation incarnation,
                     const NodeEnvironment& environment)
    : private_(std::make_unique<Private>(settings, incarnation, environment)) {}

EntryNode::~EntryNode() = default;

bool EntryNode::Start() {
  return private_->Start();
}

NodeEnd EntryNode::Wait() {
  return private_->Wait();
}

void EntryNode::Stop() {
  private_->Stop();
}

bool EntryNode::Close(Instant deadline) {
  return private_->Close(deadline);
}

std::optional<NodeFailure> EntryNode::last_reason() const {
  return private_->last_reason();
}

}  // namespace papayadrift::entry
