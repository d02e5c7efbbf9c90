#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

#include "placement/knowledge_p.h"

namespace papayadrift::placement {

namespace {

// Coefficients are recorded as multiples of 1 / kParts.
constexpr double kParts = 10'000;
constexpr double kMostParts = 1'000'000;
// Maximum kinds added by records, as models distinguish no more.
constexpr size_t kMaximumKindsImported = 64;

std::optional<KindNumber> NumberFor(SchedulerCore& core, const KindId& kind) {
  const bool is_below_limit = core.kinds().size() < kMaximumKindsImported;
  const bool is_known =
      std::ranges::find(core.kinds(), kind) != core.kinds().end();
  if (kind.is_empty() || (!is_known && !is_below_limit)) {
    return std::nullopt;
  }
  return core.NumberOf(kind);
}

// Assigns indexes to the neighbours in a record, in order of first use.
class Neighbours {
 public:
  Neighbours(const SchedulerCore& core, std::vector<KindId>& noted)
      : core_(core), noted_(noted) {}

  uint32_t IndexOf(const std::optional<KindNumber>& kind) {
    if (!kind) {
      return 0;
    }
    const auto next = static_cast<uint32_t>(noted_.size() + 1);
    const auto [it, is_new] = indexes_.try_emplace(*kind, next);
    if (is_new) {
      noted_.push_back(core_.kinds()[static_cast<size_t>(*kind)]);
    }
    return it->second;
  }

 private:
  const SchedulerCore& core_;
  std::vector<KindId>& noted_;
  std::map<KindNumber, uint32_t> indexes_;
};

int32_t ToParts(double value) {
  return static_cast<int32_t>(
      std::lround(std::clamp(value * kParts, -kMostParts, kMostParts)));
}

}  // namespace

void Import(SchedulerCore& core, const records::KnowledgeNoted& note) {
  for (const records::KindKnowledge& kind : note.kinds) {
    if (const auto number = NumberFor(core, kind.kind)) {
      core.usage.Import(*number, kind);
    }
  }
  for (const records::ServiceKnowledge& service : note.services) {
    LearnedService learned = {service.service, {}};
    for (const records::CoefficientKnowledge& it : service.coefficients) {
      std::optional<KindNumber> neighbour;
      if (it.neighbour > note.neighbours.size()) {
        continue;
      }
      if (it.neighbour > 0) {
        neighbour = NumberFor(core, note.neighbours[it.neighbour - 1]);
        if (!neighbour) {
          continue;
        }
      }
      learned.coefficients.push_back(
          {neighbour, it.power, it.mean / kParts, it.deviation / kParts});
    }
    core.known_services.insert(service.service);
    core.interference.Import(learned);
  }
}

records::KnowledgeNoted ExportKnowledge(const SchedulerCore& core) {
  records::KnowledgeNoted note;
  for (size_t i = 0; i < core.kinds().size(); ++i) {
    auto learned = core.usage.Learned(static_cast<KindNumber>(i));
    if (learned && learned->millicores.reports > 0) {
      learned->kind = core.kinds()[i];
      note.kinds.push_back(*std::move(learned));
    }
  }
  Neighbours neighbours(core, note.neighbours);
  for (const LearnedService& learned : core.interference.Learned()) {
    records::ServiceKnowledge service = {learned.service, {}};
    for (const LearnedCoefficient& it : learned.coefficients) {
      service.coefficients.push_back({neighbours.IndexOf(it.neighbour),
                                      it.power, ToParts(it.mean),
                                      std::max(1, ToParts(it.deviation))});
    }
    if (!service.coefficients.empty()) {
      note.services.push_back(std::move(service));
    }
  }
  return note;
}

}  // namespace papayadrift::placement
