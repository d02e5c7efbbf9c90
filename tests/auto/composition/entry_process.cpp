#include "composition/entry_process.h"

#include <utility>

#include "entry/idle_request_path.h"

namespace papayadrift::test {
namespace {

constexpr milliseconds kTick(20);

}  // namespace

EntryProcess::EntryProcess(const entry::RegionControllerSettings& settings,
                           routing::SimulatedClock& timeline,
                           LogService& log,
                           PeerNetwork& network,
                           int64_t rate_error_ppm)
    : settings_(settings),
      timeline_(timeline),
      clock_(timeline, rate_error_ppm),
      runner_(std::make_shared<ProcessRunner>(timeline)),
      log_(log.PortFor(settings.self.entry.text())),
      transport_(network.MakeTransport(settings.self.entry.text(),
                                       settings.self.stream_address,
                                       runner_)),
      controller_(settings,
                  *log_,
                  runner_,
                  clock_,
                  *transport_,
                  entry::IdleRequestPath([this](routing::RoutingTable table) {
                    routes_ = std::move(table);
                  }),
                  {}) {}

void EntryProcess::Start() {
  transport_->Listen(*controller_.peers());
  runner_->Post([this] { Tick(); });
}

void EntryProcess::Crash() {
  runner_->Stop();
  transport_->Shut();
}

void EntryProcess::Tick() {
  controller_.OnTime();
  runner_->PostAt(timeline_.now() + kTick, [this] { Tick(); });
}

}  // namespace papayadrift::test
