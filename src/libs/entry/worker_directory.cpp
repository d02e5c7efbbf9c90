#include "entry/worker_directory.h"

namespace papayadrift::entry {

WorkerDirectory::WorkerDirectory(const DecisionStream& decisions,
                                 const membership::MembershipView& view,
                                 const MembershipDriver& membership)
    : decisions_(decisions), view_(view), membership_(membership) {}

EntryDirectory WorkerDirectory::For(const WorkerId& worker) const {
  EntryDirectory directory;
  for (const lease::MemberKey& key : view_.LiveMembers()) {
    directory.addresses.push_back(HttpAddressOf(key));
  }
  if (const auto home = membership_.HomeOf(worker.text())) {
    directory.home_address = HttpAddressOf(*home);
  }
  return directory;
}

std::string WorkerDirectory::HttpAddressOf(
    const lease::MemberKey& entry) const {
  const replay::EntryState* known =
      decisions_.state().entries().Find({entry.entry, entry.incarnation});
  return known == nullptr ? std::string() : known->http_address;
}

}  // namespace papayadrift::entry
