#include "worker_protocol/json.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace papayadrift::worker_protocol {

using nlohmann::json;

namespace {

constexpr size_t kMaximumTextBytes = 4 << 20;

// Each message is described once, by a Visit() overload that names its
// members; the two visitors below write and read them.
template <typename V>
void Visit(V& v, Resources& r) {
  v("millicores", r.millicores);
  v("memory_mebibytes", r.memory_mebibytes);
  v("accelerators", r.accelerators);
}
template <typename V>
void Visit(V& v, TaskId& r) {
  v("job", r.job);
  v("index", r.index);
}
template <typename V>
void Visit(V& v, records::Runner& r) {
  v("service", r.service);
  v("address", r.address);
  v("slots", r.slots);
  v("connections", r.connections);
  v("reserved", r.reserved);
}
template <typename V>
void Visit(V& v, records::WorkerAnnounced& r) {
  v("worker", r.worker);
  v("incarnation", r.incarnation);
  v("availability_zone", r.zone);
  v("rack", r.rack);
  v("address", r.address);
  v("capacity", r.capacity);
  v("runners", r.runners);
  v("previous_ended", r.previous_ended);
}
// What reports and orders about an attempt have in common.
template <typename V, typename T>
void VisitAttempt(V& v, T& r) {
  v("task", r.task);
  v("attempt", r.attempt);
}
template <typename V>
void Visit(V& v, AttemptReport& r) {
  VisitAttempt(v, r);
  v("token", r.token);
  v("has_ended", r.has_ended);
  v("ending", r.ending);
  v("checkpoint", r.checkpoint);
  v("grant", r.grant);
  v("used", r.used);
  v("progress_permille", r.progress_permille);
}
template <typename V>
void Visit(V& v, LatencyReport& r) {
  v("service", r.service);
  v("p50_microseconds", r.p50_microseconds);
  v("p99_microseconds", r.p99_microseconds);
  v("requests", r.requests);
}
template <typename V>
void Visit(V& v, Heartbeat& r) {
  v("sequence", r.sequence);
  v("announcement", r.announcement);
  v("is_draining", r.is_draining);
  v("attempts", r.attempts);
  v("latencies", r.latencies);
}
template <typename V>
void Visit(V& v, StartOrder& r) {
  VisitAttempt(v, r);
  v("token", r.token);
  v("kind", r.kind);
  v("grant", r.grant);
  v("resumes", r.resumes);
  v("declared_run_milliseconds", r.declared_run_milliseconds);
  v("is_checkpointable", r.is_checkpointable);
}
template <typename V>
void Visit(V& v, StopOrder& r) {
  VisitAttempt(v, r);
}
template <typename V>
void Visit(V& v, CheckpointOrder& r) {
  VisitAttempt(v, r);
}
template <typename V>
void Visit(V& v, GrantOrder& r) {
  VisitAttempt(v, r);
  v("grant", r.grant);
}
template <typename V>
void Visit(V& v, ForgetOrder& r) {
  VisitAttempt(v, r);
}
template <typename V>
void Visit(V& v, HeartbeatAnswer& r) {
  v("sequence", r.sequence);
  v("incarnation", r.incarnation);
  v("renewal_milliseconds", r.renewal_milliseconds);
  v("state_offset", r.state_offset);
  v("is_incarnation_over", r.is_incarnation_over);
  v("home_address", r.home_address);
  v("entry_addresses", r.entry_addresses);
  v("orders", r.orders);
  v("ask_again_milliseconds", r.ask_again_milliseconds);
}

constexpr const char* kOrderNames[] = {"start", "stop", "checkpoint", "grant",
                                       "forget"};
static_assert(std::size(kOrderNames) == std::variant_size_v<Order>);

// --- Writing ---

class Writer {
 public:
  template <typename T>
  void operator()(const char* name, const T& value) {
    object_[name] = Write(value);
  }
  // Left out when there is none.
  template <typename T>
  void operator()(const char* name, const std::optional<T>& value) {
    if (value) {
      object_[name] = Write(*value);
    }
  }

  template <typename T>
  static json Write(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<uint32_t>(value);
    } else if constexpr (std::is_arithmetic_v<T> ||
                         std::is_same_v<T, std::string>) {
      return value;
    } else {
      Writer writer;
      // Visit() serves reading too, so it takes a mutable value.
      Visit(writer, const_cast<T&>(value));
      return std::move(writer.object_);
    }
  }
  template <typename Tag>
  static json Write(const Name<Tag>& value) {
    return value.text();
  }
  template <typename Tag>
  static json Write(const Number<Tag>& value) {
    return value.value();
  }
  template <typename T>
  static json Write(const std::vector<T>& values) {
    json list = json::array();
    for (const T& value : values) {
      list.push_back(Write(value));
    }
    return list;
  }
  static json Write(const Order& order) {
    json object = std::visit([](const auto& it) { return Write(it); }, order);
    object["order"] = kOrderNames[order.index()];
    return object;
  }

 private:
  json object_ = json::object();
};

// --- Reading ---

class Reader {
 public:
  explicit Reader(const json& object) : object_(object) {}

  template <typename T>
  void operator()(const char* name, T& value) {
    const auto it = object_.find(name);
    is_good_ = is_good_ && it != object_.end() && Read(*it, value);
  }
  template <typename T>
  void operator()(const char* name, std::optional<T>& value) {
    const auto it = object_.find(name);
    if (it != object_.end()) {
      is_good_ = is_good_ && Read(*it, value.emplace());
    }
  }

  template <typename T>
  static bool Read(const json& from, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      return ReadAs(from, from.is_boolean(), value);
    } else if constexpr (std::is_same_v<T, std::string>) {
      return ReadAs(from, from.is_string(), value);
    } else if constexpr (std::is_enum_v<T>) {
      uint32_t number = 0;
      const bool is_good =
          Read(from, number) &&
          number <= static_cast<uint32_t>(records::TaskEnding::kStopped);
      value = static_cast<T>(number);
      return is_good;
    } else if constexpr (std::is_integral_v<T>) {
      return ReadInteger(from, value);
    } else {
      if (!from.is_object()) {
        return false;
      }
      Reader reader(from);
      Visit(reader, value);
      return reader.is_good_;
    }
  }
  template <typename Tag>
  static bool Read(const json& from, Name<Tag>& value) {
    std::string text;
    const bool is_good = Read(from, text);
    value = Name<Tag>(std::move(text));
    return is_good;
  }
  template <typename Tag>
  static bool Read(const json& from, Number<Tag>& value) {
    uint64_t number = 0;
    const bool is_good = Read(from, number);
    value = Number<Tag>(number);
    return is_good;
  }
  template <typename T>
  static bool Read(const json& from, std::vector<T>& values) {
    if (!from.is_array()) {
      return false;
    }
    values.resize(from.size());
    for (size_t i = 0; i < from.size(); ++i) {
      if (!Read(from[i], values[i])) {
        return false;
      }
    }
    return true;
  }
  static bool Read(const json& from, Order& order) {
    const auto it = from.is_object() ? from.find("order") : from.end();
    if (!from.is_object() || it == from.end() || !it->is_string()) {
      return false;
    }
    const auto name = it->get<std::string>();
    return ReadOrder(from, name, order,
                     std::make_index_sequence<std::variant_size_v<Order>>());
  }

 private:
  template <typename T>
  static bool ReadAs(const json& from, bool has_type, T& value) {
    if (has_type) {
      value = from.get<T>();
    }
    return has_type;
  }
  template <typename T>
  static bool ReadInteger(const json& from, T& value) {
    if (from.is_number_unsigned()) {
      return Narrow(from.get<uint64_t>(), value);
    }
    if (from.is_number_integer()) {
      return Narrow(from.get<int64_t>(), value);
    }
    return false;
  }
  template <typename Number, typename T>
  static bool Narrow(Number number, T& value) {
    value = static_cast<T>(number);
    return std::in_range<T>(number);
  }
  template <size_t... I>
  static bool ReadOrder(const json& from,
                        const std::string& name,
                        Order& order,
                        std::index_sequence<I...>) {
    bool is_good = false;
    const auto try_one = [&]<size_t N>(std::integral_constant<size_t, N>) {
      if (name == kOrderNames[N]) {
        is_good = Read(from, order.emplace<N>());
      }
    };
    (try_one(std::integral_constant<size_t, I>()), ...);
    return is_good;
  }

  const json& object_;
  bool is_good_ = true;
};

template <typename T>
std::optional<T> FromJson(std::string_view text) {
  if (text.size() > kMaximumTextBytes) {
    return std::nullopt;
  }
  const json object = json::parse(text, nullptr, false);
  T value;
  if (!Reader::Read(object, value)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToJson(const Heartbeat& heartbeat) {
  return Writer::Write(heartbeat).dump();
}

std::string ToJson(const HeartbeatAnswer& answer) {
  return Writer::Write(answer).dump();
}

std::optional<Heartbeat> HeartbeatFromJson(std::string_view text) {
  return FromJson<Heartbeat>(text);
}

std::optional<HeartbeatAnswer> HeartbeatAnswerFromJson(std::string_view text) {
  return FromJson<HeartbeatAnswer>(text);
}

}  // namespace papayadrift::worker_protocol
