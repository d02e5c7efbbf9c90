#include "store_client.h"

#include <utility>
#include <variant>

namespace papayadrift::run_histories {
namespace {

// As in the platform's client.
constexpr size_t kFailedCallsUntilOutage = 3;

}  // namespace

using keyed_log::AppendResult;
using keyed_log::ReadResult;

milliseconds StoreClient::TimeoutOf(Instant deadline) const {
  return std::chrono::ceil<milliseconds>(deadline - clock_.Now());
}

bool StoreClient::is_out() const {
  return unanswered_calls_ >= kFailedCallsUntilOutage;
}

void StoreClient::OnAnswered(bool is_answered) {
  unanswered_calls_ = is_answered ? 0 : unanswered_calls_ + 1;
}

void StoreClient::OnRead(const std::optional<ReadResult>& result,
                         const std::function<void(ReadResult)>& done) {
  OnAnswered(result.has_value());
  done(result.value_or(keyed_log::ReadFailed{}));
}

void StoreClient::Write(const keyed_log::Append& append,
                        Instant deadline,
                        std::function<void(AppendResult)> done) {
  network_.Call<AppendResult>(
      writes_, TimeoutOf(deadline),
      [&store = store_, append](const Delivery& delivery,
                                const Network::Respond<AppendResult>& respond) {
        if (delivery.is_refused) {
          respond(keyed_log::NotStored{});
          return;
        }
        store.Write(append, {}, respond);
        store.Settle();
      },
      loop_.Enter(Network::Done<AppendResult>(
          [this,
           done = std::move(done)](const std::optional<AppendResult>& result) {
            OnAnswered(result.has_value());
            done(result.value_or(keyed_log::Unanswered{}));
          })));
}

void StoreClient::Read(const std::string& topic,
                       uint64_t from,
                       milliseconds wait,
                       Instant deadline,
                       std::function<void(ReadResult)> done) {
  network_.Call<ReadResult>(
      reads_, TimeoutOf(deadline),
      [&store = store_, &simulation = simulation_, topic, from, wait](
          const Delivery& delivery,
          const Network::Respond<ReadResult>& respond) {
        if (delivery.is_refused) {
          respond(keyed_log::ReadFailed{});
          return;
        }
        store.Read(topic, from, milliseconds(0), {},
                   [&store, &simulation, topic, from, wait,
                    respond](const ReadResult& result) {
                     const auto* read =
                         std::get_if<keyed_log::Records>(&result);
                     if (wait == milliseconds(0) || read == nullptr ||
                         !read->records.empty()) {
                       respond(result);
                       return;
                     }
                     simulation.After(wait, [&store, topic, from, respond] {
                       store.Read(topic, from, milliseconds(0), {}, respond);
                       store.Settle();
                     });
                   });
        store.Settle();
      },
      loop_.Enter(Network::Done<ReadResult>(
          [this,
           done = std::move(done)](const std::optional<ReadResult>& result) {
            OnRead(result, done);
          })));
}

void StoreClient::ReadNewest(const std::string& topic,
                             const std::string& after_key,
                             Instant deadline,
                             std::function<void(ReadResult)> done) {
  network_.Call<ReadResult>(
      reads_, TimeoutOf(deadline),
      [&store = store_, topic, after_key](
          const Delivery& delivery,
          const Network::Respond<ReadResult>& respond) {
        if (delivery.is_refused) {
          respond(keyed_log::ReadFailed{});
          return;
        }
        store.ReadNewest(topic, after_key, {}, respond);
        store.Settle();
      },
      loop_.Enter(Network::Done<ReadResult>(
          [this,
           done = std::move(done)](const std::optional<ReadResult>& result) {
            OnRead(result, done);
          })));
}

}  // namespace papayadrift::run_histories
