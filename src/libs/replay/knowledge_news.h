#ifndef PAPAYADRIFT_REPLAY_KNOWLEDGE_NEWS_H_
#define PAPAYADRIFT_REPLAY_KNOWLEDGE_NEWS_H_

#include <functional>
#include <string>
#include <vector>

#include "records/record.h"
#include "replay/knowledge_table.h"

namespace papayadrift::replay {

// Says whether a kind or service is noted anew though little has changed.
using IsRefreshed = std::function<bool(const std::string& name)>;

// Returns the part of what this entry knows that is worth a record: what is not
// kept yet, what it knows at least twice as well, and what is refreshed.
records::KnowledgeNoted NewsIn(const records::KnowledgeNoted& own,
                               const KnowledgeTable& kept,
                               const IsRefreshed& is_refreshed);

// Cuts a note into records that are small enough for the stream.
std::vector<records::KnowledgeNoted> Cut(const records::KnowledgeNoted& note);

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_KNOWLEDGE_NEWS_H_
