#ifndef PAPAYADRIFT_CLUSTER_HTTP_PATHS_H_
#define PAPAYADRIFT_CLUSTER_HTTP_PATHS_H_

// Paths of requests between the processes of a cluster.

namespace papayadrift::cluster_http {

inline constexpr char kReportPath[] = "/internal/v1/reports";
// Header of a report: see ReporterOf().
inline constexpr char kReporterHeader[] = "x-reporter";
inline constexpr char kOrdersPath[] = "/internal/v1/orders";
inline constexpr char kRelayPath[] = "/internal/v1/relay";
// POST to an agent: a leader announces its term. GET from a frontend: whether
// it leads.
inline constexpr char kLeaderPath[] = "/internal/v1/leader";
// POST to the leader from a frontend that has stored a cancellation; the body
// is the id of the job.
inline constexpr char kCancellationPath[] = "/internal/v1/cancellations";
// GET from a frontend: whether it could lead at once.
inline constexpr char kStandbyPath[] = "/internal/v1/standby";
// POST to a frontend: it should campaign for leadership.
inline constexpr char kSuccessionPath[] = "/internal/v1/succession";

}  // namespace papayadrift::cluster_http

#endif  // PAPAYADRIFT_CLUSTER_HTTP_PATHS_H_
