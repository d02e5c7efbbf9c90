#include "jobs/route_table.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

Queue QueueOf(const char* name, const char* host, const char* prefix) {
  Queue queue;
  queue.name = name;
  queue.host = host;
  queue.path_prefix = prefix;
  return queue;
}

TEST(RouteTableTest, TakesTheLongestPrefixOfTheHost) {
  RouteTable table;
  table.queues = {QueueOf("short", "a.example", "/x/"),
                  QueueOf("long", "a.example", "/x/y/"),
                  QueueOf("other", "b.example", "/x/y/z/")};
  EXPECT_EQ(table.Match("a.example", "/x/y/z/1")->name, "long");
  EXPECT_EQ(table.Match("a.example", "/x/1")->name, "short");
  EXPECT_EQ(table.Match("a.example", "/y/1"), nullptr);
  EXPECT_EQ(table.Match("c.example", "/x/1"), nullptr);
}

}  // namespace
}  // namespace papayadrift::jobs
