#include "jobs/route_table.h"

#include <algorithm>

namespace papayadrift::jobs {
namespace {

template <typename T>
const T* FindByName(const std::vector<T>& values, std::string_view name) {
  const auto it = std::ranges::find(values, name, &T::name);
  return it == values.end() ? nullptr : &*it;
}

}  // namespace

const Queue* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const Queue* RouteTable::Find(std::string_view name) const {
  return FindByName(queues, name);
}

const Service* RouteTable::FindService(std::string_view name) const {
  return FindByName(services, name);
}

}  // namespace papayadrift::jobs
