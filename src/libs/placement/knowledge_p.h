#ifndef PAPAYADRIFT_PLACEMENT_KNOWLEDGE_P_H_
#define PAPAYADRIFT_PLACEMENT_KNOWLEDGE_P_H_

#include "placement/scheduler_core_p.h"
#include "records/record.h"

namespace papayadrift::placement {

// Brings what was noted to the models, which keep what they know better.
void Import(SchedulerCore& core, const records::KnowledgeNoted& note);

// Returns what the models know, to be noted.
records::KnowledgeNoted ExportKnowledge(const SchedulerCore& core);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_KNOWLEDGE_P_H_
