#include "network_peers.h"

#include <utility>
#include <variant>

#include "agent_process.h"
#include "cluster/report_queue.h"
#include "front_process.h"

namespace papayadrift::run_histories {
namespace {

// As cluster_http answers a report that isn't taken.
constexpr int kNotTakenStatus = 409;

// An address is the number of a process; empty: it isn't known.
std::optional<size_t> IndexOf(const std::string& address) {
  return address.empty() ? std::nullopt
                         : std::optional<size_t>(std::stoul(address));
}

std::optional<Link> LinkTo(LinkKind kind, const std::string& address) {
  const auto index = IndexOf(address);
  return index ? std::optional(Link{kind, *index}) : std::nullopt;
}

}  // namespace

NetworkPeers::NetworkPeers(size_t index,
                           const Clock& clock,
                           ProcessLoop& loop,
                           Network& network,
                           Wiring& wiring)
    : index_(index),
      clock_(clock),
      loop_(loop),
      network_(network),
      wiring_(wiring) {}

template <typename Answer>
void NetworkPeers::Call(const std::optional<Link>& link,
                        Instant deadline,
                        Network::Deliver<Answer> deliver,
                        Network::Done<Answer> done) {
  if (!link) {
    loop_.RunAfter(microseconds(0),
                   [done = std::move(done)] { done(std::nullopt); });
    return;
  }
  network_.Call<Answer>(
      *link, std::chrono::ceil<milliseconds>(deadline - clock_.Now()),
      std::move(deliver), loop_.Enter(std::move(done)));
}

void NetworkPeers::NotifyAgent(const std::string& agent,
                               const jobs::LeaderRecord& leader,
                               Instant deadline) {
  Call<bool>(
      LinkTo(LinkKind::kNotification, agent), deadline,
      [&wiring = wiring_, index = IndexOf(agent).value_or(0), leader](
          const Delivery&, const Network::Respond<bool>&) {
        AgentProcess& process = wiring.AgentAt(index);
        process.loop().Run(
            [&process, leader] { process.agent().HandleLeader(leader); });
      },
      [](const std::optional<bool>&) {});
}

void NetworkPeers::SendOrders(
    const std::string& agent,
    const jobs::OrderBatch& batch,
    Instant deadline,
    std::function<void(const std::optional<jobs::OrderAnswer>&)> done) {
  Call<jobs::OrderAnswer>(
      LinkTo(LinkKind::kOrders, agent), deadline,
      [&wiring = wiring_, index = IndexOf(agent).value_or(0), batch](
          const Delivery&, const Network::Respond<jobs::OrderAnswer>& respond) {
        AgentProcess& process = wiring.AgentAt(index);
        process.loop().Run([&process, batch, respond] {
          process.agent().HandleOrders(batch, respond);
        });
      },
      std::move(done));
}

void NetworkPeers::SendReport(
    const std::string& leader,
    const jobs::RunnerReport& report,
    Instant deadline,
    std::function<void(const cluster::ReportResult&)> done) {
  const auto index = IndexOf(leader);
  Call<cluster::ReportReply>(
      index ? std::optional(Link{LinkKind::kReport, index_}) : std::nullopt,
      deadline,
      [&wiring = wiring_, index, report](
          const Delivery&,
          const Network::Respond<cluster::ReportReply>& respond) {
        FrontProcess& process = wiring.FrontAt(*index);
        process.loop().Run([&process, report, respond] {
          process.frontend().HandleReport(
              {cluster::ReporterOf(report),
               [report] { return std::optional(report); }},
              respond);
        });
      },
      [done =
           std::move(done)](const std::optional<cluster::ReportReply>& reply) {
        if (!reply) {
          done(cluster::CallFailure::kTimedOut);
        } else if (const auto* answer =
                       std::get_if<jobs::ReportAnswer>(&*reply)) {
          done(*answer);
        } else {
          done(cluster::ReportRefused{kNotTakenStatus});
        }
      });
}

void NetworkPeers::QueryLeader(const std::string& frontend,
                               Instant deadline,
                               std::function<void(bool is_leader)> done) {
  const auto index = IndexOf(frontend);
  Call<bool>(
      index ? std::optional(Link{LinkKind::kFrontend, index_}) : std::nullopt,
      deadline,
      [&wiring = wiring_, index](const Delivery&,
                                 const Network::Respond<bool>& respond) {
        FrontProcess& process = wiring.FrontAt(*index);
        process.loop().Run([&process, respond] {
          respond(process.frontend().HandleLeaderQuery());
        });
      },
      [done = std::move(done)](const std::optional<bool>& is_leader) {
        done(is_leader.value_or(false));
      });
}

void NetworkPeers::QueryStandby(
    const std::string& frontend,
    Instant deadline,
    std::function<void(std::optional<uint64_t> speed)> done) {
  using Speed = std::optional<uint64_t>;
  const auto index = IndexOf(frontend);
  Call<Speed>(
      index ? std::optional(Link{LinkKind::kFrontend, index_}) : std::nullopt,
      deadline,
      [&wiring = wiring_, index](const Delivery&,
                                 const Network::Respond<Speed>& respond) {
        FrontProcess& process = wiring.FrontAt(*index);
        process.loop().Run([&process, respond] {
          respond(process.frontend().HandleStandbyQuery());
        });
      },
      [done = std::move(done)](const std::optional<Speed>& speed) {
        done(speed.value_or(std::nullopt));
      });
}

void NetworkPeers::NotifySuccessor(const std::string& frontend,
                                   Instant deadline) {
  const auto index = IndexOf(frontend);
  Call<bool>(
      index ? std::optional(Link{LinkKind::kFrontend, index_}) : std::nullopt,
      deadline,
      [&wiring = wiring_, index](const Delivery&,
                                 const Network::Respond<bool>&) {
        FrontProcess& process = wiring.FrontAt(*index);
        process.loop().Run(
            [&process] { process.frontend().HandleSuccession(); });
      },
      [](const std::optional<bool>&) {});
}

void NetworkPeers::NotifyOfCancellation(const std::string& leader,
                                        const JobId& id,
                                        Instant deadline) {
  const auto index = IndexOf(leader);
  Call<bool>(
      LinkTo(LinkKind::kCancellation, leader), deadline,
      [&wiring = wiring_, index, id](const Delivery&,
                                     const Network::Respond<bool>&) {
        FrontProcess& process = wiring.FrontAt(*index);
        process.loop().Run(
            [&process, id] { process.frontend().HandleCancellation(id); });
      },
      [](const std::optional<bool>&) {});
}

void NetworkPeers::SendRelayed(
    const std::string& frontend,
    const cluster::RelayCall& call,
    Instant deadline,
    std::function<void(const cluster::RelayResult&)> done) {
  using Answer = std::optional<cluster::RelayAnswer>;
  const auto index = IndexOf(frontend);
  Call<Answer>(
      index ? std::optional(Link{LinkKind::kFrontend, index_}) : std::nullopt,
      deadline,
      [&wiring = wiring_, index, call](
          const Delivery&, const Network::Respond<Answer>& respond) {
        FrontProcess& process = wiring.FrontAt(*index);
        process.loop().Run([&process, call, respond] {
          process.frontend().HandleRelay(call, respond);
        });
      },
      [done = std::move(done)](const std::optional<Answer>& answer) {
        if (!answer) {
          done(cluster::CallFailure::kTimedOut);
        } else if (*answer) {
          done(**answer);
        } else {
          done(cluster::CallFailure::kNotDone);
        }
      });
}

}  // namespace papayadrift::run_histories
