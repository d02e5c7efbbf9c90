#ifndef PAPAYADRIFT_ENTRY_KNOWLEDGE_DESK_H_
#define PAPAYADRIFT_ENTRY_KNOWLEDGE_DESK_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "entry/decision_stream.h"
#include "records/record.h"

namespace papayadrift::entry {

// What the desk needs of the rest of the entry.
struct KnowledgePort {
  // Returns what this entry's scheduler has learned.
  std::function<records::KnowledgeNoted()> knowledge;
  // Whether this entry is the one to refresh what is known of a name.
  std::function<bool(const std::string& name)> is_home_of;
};

// Notes in the decision stream what this entry has learned, so that it outlives
// the entry. On the control thread only.
class KnowledgeDesk {
 public:
  KnowledgeDesk(KnowledgePort port,
                DecisionStream& decisions,
                const Clock& clock);

  void OnTime();

  // Records proposed so far.
  uint64_t noted_count() const { return noted_count_; }

 private:
  const KnowledgePort port_;
  DecisionStream& decisions_;
  const Clock& clock_;
  Instant look_at_;
  Instant refresh_at_;
  size_t unresolved_ = 0;
  uint64_t noted_count_ = 0;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_KNOWLEDGE_DESK_H_
