#include "cluster/cluster_metrics.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

#include "metrics/registry.h"

namespace papayadrift::cluster {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file.is_open()) << path;
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the first group of each match.
std::vector<std::string> Find(const std::string& text, const char* pattern) {
  const std::regex expression(pattern);
  std::vector<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), expression), end;
       it != end; ++it) {
    found.push_back((*it)[1]);
  }
  return found;
}

TEST(ClusterMetricsTest, EachOverdueCountHasItsOwnGauge) {
  metrics::Registry registry;
  ClusterMetrics metrics(registry);
  metrics.UpdateLeaderGauges(1, 2, 3, {4, 5, 6});
  metrics.UpdateLeaderless(milliseconds(7));
  const std::string text = registry.ToText();
  for (const char* line :
       {"papayadrift_leader_term 1", "papayadrift_open_jobs 2",
        "papayadrift_waiting_tasks 3", "papayadrift_overdue_starts 4",
        "papayadrift_overdue_stops 5", "papayadrift_runners_without_lease 6",
        "papayadrift_leaderless_milliseconds 7"}) {
    EXPECT_NE(text.find("\n" + std::string(line) + "\n"), std::string::npos)
        << line;
  }
}

// Guards against counters that jump or stand still when the process leads
// again: a new scheduler counts from 0.
TEST(ClusterMetricsTest, ReservationsAddUpOverTerms) {
  metrics::Registry registry;
  ClusterMetrics metrics(registry);
  jobs::ReservationCounts counts;
  counts.made = 3;
  counts.backfilled = 40;
  metrics.UpdateReservations(counts);
  counts.made = 5;
  metrics.UpdateReservations(counts);
  metrics.UpdateReservations({});
  counts.made = 2;
  counts.backfilled = 0;
  metrics.UpdateReservations(counts);
  const std::string text = registry.ToText();
  for (const char* line :
       {R"(papayadrift_reservations_total{kind="made"} 7)",
        R"(papayadrift_reservations_total{kind="backfilled"} 40)"}) {
    EXPECT_NE(text.find("\n" + std::string(line) + "\n"), std::string::npos)
        << text;
  }
}

// Guards against an alert that can never fire, since its metric has another
// name.
TEST(ClusterMetricsTest, AlertsUseMetricsThatExist) {
  metrics::Registry registry;
  const ClusterMetrics metrics(registry);
  const std::vector<std::string> names = registry.names();
  const std::string alerts = ReadFile(PAPAYADRIFT_ALERTS_PATH);
  std::map<std::string, int> rules_of;
  for (const std::string& rule : Find(alerts, "expr: ([^\n]*)\n")) {
    const auto used = Find(rule, "(papayadrift_[a-z_]+)");
    EXPECT_FALSE(used.empty()) << rule;
    for (const std::string& name : used) {
      EXPECT_TRUE(std::ranges::binary_search(names, name)) << name;
      ++rules_of[name];
    }
  }
  for (const char* name :
       {"papayadrift_overdue_starts", "papayadrift_overdue_stops",
        "papayadrift_runners_without_lease",
        "papayadrift_leaderless_milliseconds"}) {
    EXPECT_EQ(rules_of[name], 1) << name;
  }
}

TEST(ClusterMetricsTest, OperatorsPageExplainsEachAlertAndMetric) {
  const std::string page =
      ReadFile(std::string(PAPAYADRIFT_DOCS_PATH) + "/OPERATIONS.md");
  const std::string alerts = ReadFile(PAPAYADRIFT_ALERTS_PATH);
  std::vector<std::string> terms = Find(alerts, "alert: ([A-Za-z]+)");
  EXPECT_FALSE(terms.empty());
  for (const std::string& name : Find(alerts, "(papayadrift_[a-z_]+)")) {
    terms.push_back(name);
  }
  for (const std::string& term : terms) {
    EXPECT_NE(page.find("`" + term + "`"), std::string::npos) << term;
  }
}

// Guards against a wait that is added without telling how it is recognised.
TEST(ClusterMetricsTest, OperatorsPageHasALineForEachWait) {
  const std::string docs = PAPAYADRIFT_DOCS_PATH;
  const std::string page = ReadFile(docs + "/OPERATIONS.md");
  const std::string waits = ReadFile(docs + "/design/21-waits.md");
  // Only the tables of waits have seven columns.
  const auto rows = Find(waits, "\n\\| ([^|\n]+) (?:\\|[^|\n]+){6}\\|(?=\n)");
  EXPECT_GT(rows.size(), 1U);
  for (const std::string& row : rows) {
    if (row != "wait") {
      EXPECT_NE(page.find("\n| " + row + " | "), std::string::npos) << row;
    }
  }
}

}  // namespace
}  // namespace papayadrift::cluster
