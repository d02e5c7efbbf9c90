#include "routing/published.h"

#include <urcu/urcu-memb.h>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace papayadrift::routing {

namespace {

class ThreadRegistration {
 public:
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
  ThreadRegistration(const ThreadRegistration&) = delete;
  ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

#ifdef __SANITIZE_THREAD__
// ThreadSanitizer can't see into liburcu, which orders the end of each read
// section before the return of a wait that began later.
char read_section_order;

void AnnotateReadEnd() {
  __tsan_release(&read_section_order);
}

void AnnotateReadersFinished() {
  __tsan_acquire(&read_section_order);
}
#else
void AnnotateReadEnd() {}
void AnnotateReadersFinished() {}
#endif

}  // namespace

RcuReadGuard::RcuReadGuard() {
  thread_local const ThreadRegistration registration;
  urcu_memb_read_lock();
}

RcuReadGuard::~RcuReadGuard() {
  AnnotateReadEnd();
  urcu_memb_read_unlock();
}

void WaitForReaders() {
  urcu_memb_synchronize_rcu();
  AnnotateReadersFinished();
}

}  // namespace papayadrift::routing
