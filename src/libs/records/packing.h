#ifndef PAPAYADRIFT_RECORDS_PACKING_H_
#define PAPAYADRIFT_RECORDS_PACKING_H_

// Packs typed values as MessagePack. A struct takes part by a Fields()
// overload, found by argument-dependent lookup, that returns std::tie() of its
// members; it is packed as an array of them. Readers accept longer arrays, so
// that members can be added at the end. A struct that has had members added
// states in `kRequiredFields` how many must be there; the others keep the
// values that they have by default.
//
// Include this header in .cpp files only: it is heavy.

#include <cstdint>
#include <limits>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/resources.h"
#include "base/separation.h"

namespace papayadrift::records {

using Packer = msgpack::packer<msgpack::sbuffer>;

inline auto Fields(Resources& value) {
  return std::tie(value.millicores, value.memory_mebibytes, value.accelerators);
}
inline auto Fields(TaskId& value) {
  return std::tie(value.job, value.index);
}
inline auto Fields(Separation& value) {
  return std::tie(value.most_per_rack, value.most_per_zone, value.apart_from);
}

template <typename T>
concept HasFields = requires(T& value) { Fields(value); };

template <typename T>
  requires std::is_arithmetic_v<T>
void Pack(Packer& packer, T value) {
  packer.pack(value);
}
template <typename T>
  requires std::is_enum_v<T>
void Pack(Packer& packer, T value) {
  packer.pack(static_cast<uint32_t>(value));
}
inline void Pack(Packer& packer, const std::string& value) {
  packer.pack_bin(static_cast<uint32_t>(value.size()));
  packer.pack_bin_body(value.data(), static_cast<uint32_t>(value.size()));
}
template <typename Tag>
void Pack(Packer& packer, const Name<Tag>& value) {
  Pack(packer, value.text());
}
template <typename Tag>
void Pack(Packer& packer, const Number<Tag>& value) {
  packer.pack(value.value());
}
inline void Pack(Packer& packer, WallInstant value) {
  packer.pack(static_cast<int64_t>(value.time_since_epoch().count()));
}
template <HasFields T>
void Pack(Packer& packer, const T& value);
template <typename T>
void Pack(Packer& packer, const std::vector<T>& values);
template <typename T>
void Pack(Packer& packer, const std::set<T>& values);
template <typename T>
void Pack(Packer& packer, const std::optional<T>& value);
template <typename K, typename V>
void Pack(Packer& packer, const std::map<K, V>& values);
template <typename... Ts>
void Pack(Packer& packer, const std::variant<Ts...>& value);

template <HasFields T>
void Pack(Packer& packer, const T& value) {
  // Fields() serves reading too, so it takes a mutable value.
  const auto fields = Fields(const_cast<T&>(value));
  packer.pack_array(std::tuple_size_v<decltype(fields)>);
  std::apply([&](const auto&... field) { (Pack(packer, field), ...); }, fields);
}
template <typename T>
void Pack(Packer& packer, const std::vector<T>& values) {
  packer.pack_array(static_cast<uint32_t>(values.size()));
  for (const T& value : values) {
    Pack(packer, value);
  }
}
template <typename T>
void Pack(Packer& packer, const std::set<T>& values) {
  packer.pack_array(static_cast<uint32_t>(values.size()));
  for (const T& value : values) {
    Pack(packer, value);
  }
}
template <typename T>
void Pack(Packer& packer, const std::optional<T>& value) {
  packer.pack_array(value ? 1 : 0);
  if (value) {
    Pack(packer, *value);
  }
}
template <typename K, typename V>
void Pack(Packer& packer, const std::map<K, V>& values) {
  packer.pack_array(static_cast<uint32_t>(values.size()));
  for (const auto& [key, value] : values) {
    packer.pack_array(2);
    Pack(packer, key);
    Pack(packer, value);
  }
}
template <typename... Ts>
void Pack(Packer& packer, const std::variant<Ts...>& value) {
  packer.pack_array(2);
  packer.pack(static_cast<uint32_t>(value.index()));
  std::visit([&](const auto& held) { Pack(packer, held); }, value);
}

// Unpack() returns false, with `value` in an unspecified state, when `object`
// has another shape.

template <typename T>
  requires std::is_arithmetic_v<T>
bool Unpack(const msgpack::object& object, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    if (object.type != msgpack::type::BOOLEAN) {
      return false;
    }
    value = object.via.boolean;
    return true;
  } else if constexpr (std::is_floating_point_v<T>) {
    // The library packs a whole number as an integer.
    switch (object.type) {
      case msgpack::type::FLOAT32:
      case msgpack::type::FLOAT64:
        value = static_cast<T>(object.via.f64);
        return true;
      case msgpack::type::POSITIVE_INTEGER:
        value = static_cast<T>(object.via.u64);
        return true;
      case msgpack::type::NEGATIVE_INTEGER:
        value = static_cast<T>(object.via.i64);
        return true;
      default:
        return false;
    }
  } else {
    if (object.type == msgpack::type::POSITIVE_INTEGER &&
        std::in_range<T>(object.via.u64)) {
      value = static_cast<T>(object.via.u64);
      return true;
    }
    if (object.type == msgpack::type::NEGATIVE_INTEGER &&
        std::in_range<T>(object.via.i64)) {
      value = static_cast<T>(object.via.i64);
      return true;
    }
    return false;
  }
}
template <typename T>
  requires std::is_enum_v<T>
bool Unpack(const msgpack::object& object, T& value) {
  constexpr uint32_t kMaximumEnumerators = 256;
  uint32_t number = 0;
  if (!Unpack(object, number) || number >= kMaximumEnumerators) {
    return false;
  }
  value = static_cast<T>(number);
  return true;
}
inline bool Unpack(const msgpack::object& object, std::string& value) {
  if (object.type != msgpack::type::BIN) {
    return false;
  }
  value.assign(object.via.bin.ptr, object.via.bin.size);
  return true;
}
template <typename Tag>
bool Unpack(const msgpack::object& object, Name<Tag>& value) {
  std::string text;
  if (!Unpack(object, text)) {
    return false;
  }
  value = Name<Tag>(std::move(text));
  return true;
}
template <typename Tag>
bool Unpack(const msgpack::object& object, Number<Tag>& value) {
  uint64_t number = 0;
  if (!Unpack(object, number)) {
    return false;
  }
  value = Number<Tag>(number);
  return true;
}
inline bool Unpack(const msgpack::object& object, WallInstant& value) {
  int64_t count = 0;
  if (!Unpack(object, count)) {
    return false;
  }
  value = WallInstant(milliseconds(count));
  return true;
}
template <HasFields T>
bool Unpack(const msgpack::object& object, T& value);
template <typename T>
bool Unpack(const msgpack::object& object, std::vector<T>& values);
template <typename T>
bool Unpack(const msgpack::object& object, std::set<T>& values);
template <typename T>
bool Unpack(const msgpack::object& object, std::optional<T>& value);
template <typename K, typename V>
bool Unpack(const msgpack::object& object, std::map<K, V>& values);
template <typename... Ts>
bool Unpack(const msgpack::object& object, std::variant<Ts...>& value);

template <HasFields T>
constexpr size_t RequiredFieldsOf() {
  if constexpr (requires { T::kRequiredFields; }) {
    return T::kRequiredFields;
  } else {
    return std::tuple_size_v<decltype(Fields(std::declval<T&>()))>;
  }
}

template <HasFields T>
bool Unpack(const msgpack::object& object, T& value) {
  auto fields = Fields(value);
  if (object.type != msgpack::type::ARRAY ||
      object.via.array.size < RequiredFieldsOf<T>()) {
    return false;
  }
  uint32_t i = 0;
  const auto unpack_next = [&](auto& field) {
    const uint32_t at = i++;
    return at >= object.via.array.size ||
           Unpack(object.via.array.ptr[at], field);
  };
  return std::apply([&](auto&... field) { return (unpack_next(field) && ...); },
                    fields);
}
template <typename T>
bool Unpack(const msgpack::object& object, std::vector<T>& values) {
  if (object.type != msgpack::type::ARRAY) {
    return false;
  }
  values.clear();
  values.reserve(object.via.array.size);
  for (uint32_t i = 0; i < object.via.array.size; ++i) {
    T value{};
    if (!Unpack(object.via.array.ptr[i], value)) {
      return false;
    }
    values.push_back(std::move(value));
  }
  return true;
}
template <typename T>
bool Unpack(const msgpack::object& object, std::set<T>& values) {
  std::vector<T> listed;
  if (!Unpack(object, listed)) {
    return false;
  }
  values = {listed.begin(), listed.end()};
  return true;
}
template <typename T>
bool Unpack(const msgpack::object& object, std::optional<T>& value) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size > 1) {
    return false;
  }
  value.reset();
  if (object.via.array.size == 0) {
    return true;
  }
  return Unpack(object.via.array.ptr[0], value.emplace());
}
template <typename K, typename V>
bool Unpack(const msgpack::object& object, std::map<K, V>& values) {
  if (object.type != msgpack::type::ARRAY) {
    return false;
  }
  values.clear();
  for (uint32_t i = 0; i < object.via.array.size; ++i) {
    const msgpack::object& pair = object.via.array.ptr[i];
    if (pair.type != msgpack::type::ARRAY || pair.via.array.size != 2) {
      return false;
    }
    K key{};
    if (!Unpack(pair.via.array.ptr[0], key) ||
        !Unpack(pair.via.array.ptr[1], values[key])) {
      return false;
    }
  }
  return true;
}
template <typename... Ts>
bool Unpack(const msgpack::object& object, std::variant<Ts...>& value) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
    return false;
  }
  uint32_t index = 0;
  if (!Unpack(object.via.array.ptr[0], index)) {
    return false;
  }
  bool is_unpacked = false;
  uint32_t i = 0;
  const auto try_alternative = [&]<typename T>(std::type_identity<T>) {
    if (i++ == index) {
      T held{};
      is_unpacked = Unpack(object.via.array.ptr[1], held);
      value = std::move(held);
    }
  };
  (try_alternative(std::type_identity<Ts>()), ...);
  return is_unpacked;
}

// Returns the MessagePack form of `value`.
template <typename T>
std::string PackToBytes(const T& value) {
  msgpack::sbuffer buf;
  Packer packer(buf);
  Pack(packer, value);
  return std::string(buf.data(), buf.size());
}

// Returns the value packed in `bytes`, or nothing when they are torn, have
// another shape, or something follows them.
template <typename T>
std::optional<T> UnpackFromBytes(std::string_view bytes) {
  constexpr size_t kMaximumDepth = 32;
  const msgpack::unpack_limit limits(bytes.size(), bytes.size(), bytes.size(),
                                     bytes.size(), bytes.size(), kMaximumDepth);
  try {
    size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
    T value{};
    if (offset != bytes.size() || !Unpack(handle.get(), value)) {
      return std::nullopt;
    }
    return value;
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  }
}

}  // namespace papayadrift::records

#endif  // PAPAYADRIFT_RECORDS_PACKING_H_
