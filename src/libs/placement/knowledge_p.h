#ifndef PAPAYADRIFT_PLACEMENT_KNOWLEDGE_P_H_
#define PAPAYADRIFT_PLACEMENT_KNOWLEDGE_P_H_

#include "placement/scheduler_core_p.h"
#include "records/record.h"

namespace papayadrift::placement {

// Imports recorded knowledge into the models where they have less evidence.
void Import(SchedulerCore& core, const records::KnowledgeNoted& note);

// Returns the knowledge of the models, for recording.
records::KnowledgeNoted ExportKnowledge(const SchedulerCore& core);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_KNOWLEDGE_P_H_
