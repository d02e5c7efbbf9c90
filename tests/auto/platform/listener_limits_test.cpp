#include "listener_limits.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace papayadrift::platform {
namespace {

constexpr size_t kMebibyte = size_t{1} << 20;
constexpr char kAddress[] = "127.0.0.1:1";

const std::vector<std::vector<Listener>> kPrograms = {
    {Listener::kCallers, Listener::kReadiness, Listener::kInternal,
     Listener::kMetrics},
    {Listener::kControl, Listener::kInternal, Listener::kMetrics}};

// Guards against listeners that together exhaust their VM.
TEST(ListenerLimitsTest, AllListenersOfAProgramFitIntoTheVm) {
  for (const VmLimits& vm :
       {VmLimits{128 * kMebibyte, 1024}, VmLimits{160 * kMebibyte, 4096},
        VmLimits{48 * kMebibyte, 256}, VmLimits{260 * kMebibyte, 20000}}) {
    for (const auto& program : kPrograms) {
      size_t connections = 0;
      size_t bytes = 0;
      for (const Listener it : program) {
        const auto settings = ServerSettingsOf(it, vm, kAddress);
        connections += settings.connections.connections;
        bytes += settings.connections.bytes;
      }
      EXPECT_LT(connections, vm.descriptors);
      EXPECT_LE(bytes, vm.memory_bytes / 3);
    }
  }
}

// Guards against bounds that an ordinary message of the listener meets.
TEST(ListenerLimitsTest, LargestMessagesAreTaken) {
  const VmLimits least{32 * kMebibyte, 64};
  const auto control = ServerSettingsOf(Listener::kControl, least, kAddress);
  EXPECT_GE(control.maximum_body_bytes, 4 * kMebibyte);
  EXPECT_GT(control.connections.bytes, control.maximum_body_bytes);
  const auto callers = ServerSettingsOf(Listener::kCallers, least, kAddress);
  EXPECT_GE(callers.maximum_body_bytes, 262'144U);
  EXPECT_GE(callers.maximum_header_bytes, 16'384U);
  EXPECT_GT(callers.header_timeout, milliseconds(3000));
  EXPECT_GT(callers.idle_timeout, milliseconds(15000));
}

// Guards against a limit of places that is reached by memory first: thousands
// of callers keep idle connections.
TEST(ListenerLimitsTest, IdleCallersMayTakeAllPlaces) {
  const auto callers =
      ServerSettingsOf(Listener::kCallers, {160 * kMebibyte, 4096}, kAddress);
  EXPECT_GE(callers.connections.connections, 2000U);
  EXPECT_LE(callers.connections.connections * async_http::kConnectionBytes,
            callers.connections.bytes);
}

// Guards against places that the operating system doesn't have.
TEST(ListenerLimitsTest, TheLowerLimitOfDescriptorsCounts) {
  ProcessSettings settings;
  settings.max_fds = 1000;
  EXPECT_EQ(LimitsOf(settings, 500).descriptors, 500U);
  EXPECT_EQ(LimitsOf(settings, 5000).descriptors, 1000U);
}

}  // namespace
}  // namespace papayadrift::platform
