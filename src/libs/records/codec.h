#ifndef PAPAYADRIFT_RECORDS_CODEC_H_
#define PAPAYADRIFT_RECORDS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "records/record.h"

namespace papayadrift::records {

// Returns the bytes of one append.
std::string Encode(const Batch& batch);

// Returns the batch in `bytes`, or nothing when they are not one. Bytes that
// don't decode must be treated the same way by every reader: as no proposals.
std::optional<Batch> Decode(std::string_view bytes);

}  // namespace papayadrift::records

#endif  // PAPAYADRIFT_RECORDS_CODEC_H_
