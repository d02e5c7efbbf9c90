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
// The sanitizer can't see into liburcu, which orders the end of each read
// section before the return of a wait that began later.
char order_of_sections;

void NoteSectionEnd() {
  __tsan_release(&order_of_sections);
}

void NoteReadersGone() {
  __tsan_acquire(&order_of_sections);
}
#else
void NoteSectionEnd() {}
void NoteReadersGone() {}
#endif

}  // namespace

ReadSection::ReadSection() {
  thread_local const ThreadRegistration registration;
  urcu_memb_read_lock();
}

ReadSection::~ReadSection() {
  NoteSectionEnd();
  urcu_memb_read_unlock();
}

void WaitForReaders() {
  urcu_memb_synchronize_rcu();
  NoteReadersGone();
}

}  // namespace papayadrift::routing
