#include "replay/knowledge_news.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayadrift::replay {

namespace {

// Twice the reports, which is 1 / 1.41 of the deviation.
constexpr uint32_t kReportsOfNews = 2;
constexpr double kDeviationOfNews = 1.41;

bool IsNews(const records::KindKnowledge& own, const KnowledgeTable& kept) {
  const auto it = kept.kinds().find(own.kind);
  return it == kept.kinds().end() ||
         own.millicores.reports >=
             kReportsOfNews * it->second.knowledge.millicores.reports;
}

bool IsNews(const records::CoefficientKnowledge& own,
            const KindId& neighbour,
            const ServiceEntry* kept) {
  if (kept == nullptr) {
    return true;
  }
  const auto it = kept->coefficients.find({neighbour, own.power});
  return it == kept->coefficients.end() ||
         kDeviationOfNews * own.deviation <= it->second.deviation;
}

const ServiceEntry* Find(const KnowledgeTable& kept, const ServiceId& service) {
  const auto it = kept.services().find(service);
  return it == kept.services().end() ? nullptr : &it->second;
}

}  // namespace

records::KnowledgeNoted NewsIn(const records::KnowledgeNoted& own,
                               const KnowledgeTable& kept,
                               const IsRefreshed& is_refreshed) {
  records::KnowledgeNoted news;
  std::ranges::copy_if(
      own.kinds, std::back_inserter(news.kinds), [&](const auto& kind) {
        return IsNews(kind, kept) || is_refreshed(kind.kind.text());
      });
  news.neighbours = own.neighbours;
  for (const records::ServiceKnowledge& service : own.services) {
    const ServiceEntry* known = Find(kept, service.service);
    const bool is_whole = is_refreshed(service.service.text());
    records::ServiceKnowledge part = {service.service, {}};
    std::ranges::copy_if(
        service.coefficients, std::back_inserter(part.coefficients),
        [&](const records::CoefficientKnowledge& it) {
          const KindId neighbour =
              it.neighbour == 0 ? KindId() : own.neighbours[it.neighbour - 1];
          return is_whole || IsNews(it, neighbour, known);
        });
    if (!part.coefficients.empty()) {
      news.services.push_back(std::move(part));
    }
  }
  return news;
}

std::vector<records::KnowledgeNoted> Cut(const records::KnowledgeNoted& note) {
  constexpr size_t kServices = KnowledgeTable::kMaximumServicesPerRecord;
  std::vector<records::KnowledgeNoted> records;
  for (size_t i = 0; i < note.services.size(); i += kServices) {
    const auto first = note.services.begin() + static_cast<std::ptrdiff_t>(i);
    const auto count = std::min(kServices, note.services.size() - i);
    records.push_back({{},
                       note.neighbours,
                       {first, first + static_cast<std::ptrdiff_t>(count)}});
  }
  constexpr size_t kKinds = KnowledgeTable::kMaximumKinds;
  for (size_t i = 0; i < note.kinds.size(); i += kKinds) {
    const auto first = note.kinds.begin() + static_cast<std::ptrdiff_t>(i);
    const auto count = std::min(kKinds, note.kinds.size() - i);
    records.push_back(
        {{first, first + static_cast<std::ptrdiff_t>(count)}, {}, {}});
  }
  return records;
}

}  // namespace papayadrift::replay
