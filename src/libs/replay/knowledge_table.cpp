#include "replay/knowledge_table.h"

#include <algorithm>
#include <utility>

namespace papayadrift::replay {

namespace {

// A note that stands for less than this part of the kept one's reports, or has
// more than its inverse of the kept one's deviation, is ignored.
constexpr uint32_t kLeastPart = 2;
constexpr int64_t kMaximumAmount = 1'000'000'000'000;
constexpr int64_t kMaximumLogRatio = 10'000;
constexpr int32_t kMaximumCoefficient = 1'000'000;
constexpr int32_t kWhole = 1'000;  // Permille.
constexpr uint32_t kMaximumReports = 1'000;

bool IsWithin(int64_t amount, int64_t least, int64_t most) {
  return amount >= least && amount <= most;
}

bool IsPlausible(const records::LearnedQuantity& it,
                 int64_t least,
                 int64_t most) {
  return it.reports <= kMaximumReports && IsWithin(it.mean, least, most) &&
         IsWithin(it.deviation, 0, most) && IsWithin(it.highest, least, most);
}

bool IsPlausible(const records::KindKnowledge& it) {
  return !it.kind.is_empty() && IsPlausible(it.millicores, 0, kMaximumAmount) &&
         IsPlausible(it.memory_mebibytes, 0, kMaximumAmount) &&
         IsPlausible(it.run_ratio, -kMaximumLogRatio, kMaximumLogRatio) &&
         IsWithin(it.saturated_permille, 0, kWhole) &&
         IsWithin(it.least_memory_mebibytes, 0, kMaximumAmount);
}

bool IsPlausible(const records::CoefficientKnowledge& it, size_t neighbours) {
  const uint32_t powers = it.neighbour == 0
                              ? KnowledgeTable::kOwnCoefficients
                              : KnowledgeTable::kCoefficientsPerKind;
  return it.neighbour <= neighbours && it.power < powers &&
         IsWithin(it.mean, -kMaximumCoefficient, kMaximumCoefficient) &&
         IsWithin(it.deviation, 1, kMaximumCoefficient);
}

// Forgets what was not noted for longest.
template <typename Map>
void Bound(Map& map, size_t most) {
  while (map.size() > most) {
    map.erase(std::ranges::min_element(
        map, {}, [](const auto& it) { return it.second.noted_at; }));
  }
}

}  // namespace

records::KnowledgeNoted KnowledgeTable::All() const {
  records::KnowledgeNoted all;
  for (const auto& [kind, entry] : kinds_) {
    all.kinds.push_back(entry.knowledge);
  }
  std::map<KindId, uint32_t> places;
  for (const auto& [id, entry] : services_) {
    records::ServiceKnowledge service = {id, {}};
    for (const auto& [key, coefficient] : entry.coefficients) {
      uint32_t place = 0;
      if (!key.neighbour.is_empty()) {
        const auto next = static_cast<uint32_t>(all.neighbours.size() + 1);
        const auto [it, is_new] = places.try_emplace(key.neighbour, next);
        if (is_new) {
          all.neighbours.push_back(key.neighbour);
        }
        place = it->second;
      }
      service.coefficients.push_back(
          {place, key.power, coefficient.mean, coefficient.deviation});
    }
    all.services.push_back(std::move(service));
  }
  return all;
}

std::optional<Rejection> KnowledgeTable::Check(
    const records::KnowledgeNoted& record) const {
  const auto is_sound = [&](const records::ServiceKnowledge& service) {
    return !service.service.is_empty() &&
           service.coefficients.size() <= kMaximumCoefficients &&
           std::ranges::all_of(service.coefficients, [&](const auto& it) {
             return IsPlausible(it, record.neighbours.size());
           });
  };
  const bool is_well_formed =
      record.kinds.size() <= kMaximumKinds &&
      record.neighbours.size() <= kMaximumKinds &&
      record.services.size() <= kMaximumServicesPerRecord &&
      std::ranges::all_of(record.kinds,
                          [](const auto& it) { return IsPlausible(it); }) &&
      std::ranges::none_of(record.neighbours, &KindId::is_empty) &&
      std::ranges::all_of(record.services, is_sound);
  return is_well_formed ? std::nullopt : std::optional(Rejection::kMalformed);
}

void KnowledgeTable::Apply(Offset offset,
                           const records::KnowledgeNoted& record) {
  for (const records::KindKnowledge& kind : record.kinds) {
    Apply(offset, kind);
  }
  for (const records::ServiceKnowledge& service : record.services) {
    Apply(offset, record, service);
  }
  Bound(kinds_, kMaximumKinds);
  Bound(services_, kMaximumServices);
}

void KnowledgeTable::Apply(Offset offset, const records::KindKnowledge& kind) {
  const auto [it, is_new] = kinds_.try_emplace(kind.kind);
  if (!is_new && kLeastPart * kind.millicores.reports <
                     it->second.knowledge.millicores.reports) {
    return;
  }
  it->second = {kind, offset};
}

void KnowledgeTable::Apply(Offset offset,
                           const records::KnowledgeNoted& record,
                           const records::ServiceKnowledge& service) {
  ServiceEntry& entry = services_[service.service];
  entry.noted_at = offset;
  for (const records::CoefficientKnowledge& noted : service.coefficients) {
    const KindId neighbour = noted.neighbour == 0
                                 ? KindId()
                                 : record.neighbours[noted.neighbour - 1];
    const auto [it, is_new] =
        entry.coefficients.try_emplace({neighbour, noted.power});
    const bool knows_less =
        !is_new && noted.deviation > int64_t{kLeastPart} * it->second.deviation;
    if (!knows_less) {
      it->second = {noted.mean, noted.deviation, offset};
    }
  }
  Bound(entry.coefficients, kMaximumCoefficients);
}

}  // namespace papayadrift::replay
