#ifndef PAPAYADRIFT_BASE_LOOKUP_H_
#define PAPAYADRIFT_BASE_LOOKUP_H_

namespace papayadrift {

// Returns the value under `key` of a map, or null.
template <typename Map>
auto* FindOrNull(Map& map, const typename Map::key_type& key) {
  const auto it = map.find(key);
  return it == map.end() ? nullptr : &it->second;
}

// Returns the value under `key` of a map, or `fallback`.
template <typename Map>
typename Map::mapped_type ValueOr(const Map& map,
                                  const typename Map::key_type& key,
                                  const typename Map::mapped_type& fallback) {
  const auto it = map.find(key);
  return it == map.end() ? fallback : it->second;
}

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BASE_LOOKUP_H_
