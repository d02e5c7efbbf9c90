#ifndef PAPAYADRIFT_REPLAY_KNOWLEDGE_TABLE_H_
#define PAPAYADRIFT_REPLAY_KNOWLEDGE_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "base/identifiers.h"
#include "records/record.h"
#include "replay/verdict.h"

namespace papayadrift::replay {

struct KindEntry {
  records::KindKnowledge knowledge;
  Offset noted_at;

  friend bool operator==(const KindEntry&, const KindEntry&) = default;
};

struct CoefficientKey {
  KindId neighbour;  // Empty for the service itself.
  uint32_t power = 0;

  friend auto operator<=>(const CoefficientKey&,
                          const CoefficientKey&) = default;
};

struct CoefficientEntry {
  int32_t mean = 0;
  int32_t deviation = 0;
  Offset noted_at;

  friend bool operator==(const CoefficientEntry&,
                         const CoefficientEntry&) = default;
};

struct ServiceEntry {
  std::map<CoefficientKey, CoefficientEntry> coefficients;
  Offset noted_at;

  friend bool operator==(const ServiceEntry&, const ServiceEntry&) = default;
};

// What entries have learned: one estimate for each kind, and for each
// coefficient of a service. A note replaces the one that is kept, not adds to
// it, unless it knows much less: so no evidence is counted twice, and repeated
// notes change nothing. The number of kinds and services is bounded; those that
// were not noted for longest are forgotten.
class KnowledgeTable {
 public:
  static constexpr size_t kMaximumKinds = 64;
  static constexpr size_t kMaximumServices = 512;
  // Of one record.
  static constexpr size_t kMaximumServicesPerRecord = 16;
  static constexpr uint32_t kOwnCoefficients = 3;
  static constexpr uint32_t kCoefficientsPerKind = 2;
  static constexpr size_t kMaximumCoefficients =
      kOwnCoefficients + kCoefficientsPerKind * kMaximumKinds;

  using Kinds = std::map<KindId, KindEntry>;
  using Services = std::map<ServiceId, ServiceEntry>;

  const Kinds& kinds() const { return kinds_; }
  const Services& services() const { return services_; }
  // Returns all that is kept, as one note.
  records::KnowledgeNoted All() const;

  std::optional<Rejection> Check(const records::KnowledgeNoted& record) const;
  void Apply(Offset offset, const records::KnowledgeNoted& record);

  friend bool operator==(const KnowledgeTable&,
                         const KnowledgeTable&) = default;

 private:
  friend auto Fields(KnowledgeTable& table) {
    return std::tie(table.kinds_, table.services_);
  }

  void Apply(Offset offset, const records::KindKnowledge& kind);
  void Apply(Offset offset,
             const records::KnowledgeNoted& record,
             const records::ServiceKnowledge& service);

  Kinds kinds_;
  Services services_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_KNOWLEDGE_TABLE_H_
