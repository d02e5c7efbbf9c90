#include "records/codec.h"

#include "records/packing.h"
#include "records/record_fields.h"

namespace papayadrift::records {

std::string Encode(const Batch& batch) {
  return PackToBytes(batch);
}

std::optional<Batch> Decode(std::string_view bytes) {
  return UnpackFromBytes<Batch>(bytes);
}

}  // namespace papayadrift::records
