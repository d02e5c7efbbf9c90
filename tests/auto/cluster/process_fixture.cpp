#include "process_fixture.h"

#include <fcntl.h>
#include <unistd.h>

namespace papayadrift::cluster {

ProcessFixture::ProcessFixture()
    : descriptor_(open("/dev/null", O_WRONLY)),
      logger_("test", logging::Level::kError, clock_, descriptor_),
      event_loop_(loop_),
      client_(loop_, async_http::ClientSettings(), clock_),
      peers_(client_) {}

ProcessFixture::~ProcessFixture() {
  close(descriptor_);
}

}  // namespace papayadrift::cluster
