#include "store_client.h"

#include <optional>
#include <utility>
#include <variant>

namespace papayadrift::run_histories {

using keyed_log::AppendResult;
using keyed_log::ReadResult;

milliseconds StoreClient::TimeoutOf(Instant deadline) const {
  return std::chrono::ceil<milliseconds>(deadline - simulation_.Now());
}

void StoreClient::Write(const keyed_log::Append& append,
                        Instant deadline,
                        std::function<void(AppendResult)> done) {
  network_.Call<AppendResult>(
      writes_, TimeoutOf(deadline),
      [this, append](const Delivery& delivery,
                     const Network::Respond<AppendResult>& respond) {
        if (delivery.is_refused) {
          respond(keyed_log::NotStored{});
          return;
        }
        store_.Write(append, {}, respond);
        store_.Settle();
      },
      [done = std::move(done)](const std::optional<AppendResult>& result) {
        done(result.value_or(keyed_log::Unanswered{}));
      });
}

void StoreClient::Read(const std::string& topic,
                       uint64_t from,
                       milliseconds wait,
                       Instant deadline,
                       std::function<void(ReadResult)> done) {
  network_.Call<ReadResult>(
      reads_, TimeoutOf(deadline),
      [this, topic, from, wait](const Delivery& delivery,
                                const Network::Respond<ReadResult>& respond) {
        if (delivery.is_refused) {
          respond(keyed_log::ReadFailed{});
          return;
        }
        store_.Read(
            topic, from, milliseconds(0), {},
            [this, topic, from, wait, respond](const ReadResult& result) {
              const auto* read = std::get_if<keyed_log::Records>(&result);
              if (wait == milliseconds(0) || read == nullptr ||
                  !read->records.empty()) {
                respond(result);
                return;
              }
              simulation_.After(wait, [this, topic, from, respond] {
                store_.Read(topic, from, milliseconds(0), {}, respond);
                store_.Settle();
              });
            });
        store_.Settle();
      },
      [done = std::move(done)](const std::optional<ReadResult>& result) {
        done(result.value_or(keyed_log::ReadFailed{}));
      });
}

void StoreClient::ReadNewest(const std::string& topic,
                             const std::string& after_key,
                             Instant deadline,
                             std::function<void(ReadResult)> done) {
  network_.Call<ReadResult>(
      reads_, TimeoutOf(deadline),
      [this, topic, after_key](const Delivery& delivery,
                               const Network::Respond<ReadResult>& respond) {
        if (delivery.is_refused) {
          respond(keyed_log::ReadFailed{});
          return;
        }
        store_.ReadNewest(topic, after_key, {}, respond);
        store_.Settle();
      },
      [done = std::move(done)](const std::optional<ReadResult>& result) {
        done(result.value_or(keyed_log::ReadFailed{}));
      });
}

}  // namespace papayadrift::run_histories
