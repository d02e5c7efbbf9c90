#include "standins/worker/heartbeat_sender.h"

#include <algorithm>
#include <utility>

#include "worker_protocol/json.h"

namespace papayadrift::standins {

HeartbeatSender::HeartbeatSender(std::vector<std::string> addresses,
                                 std::string token,
                                 milliseconds timeout,
                                 bool stays,
                                 http::Client& client,
                                 const Clock& clock)
    : start_addresses_(std::move(addresses)),
      token_(std::move(token)),
      timeout_(timeout),
      stays_(stays),
      client_(client),
      clock_(clock),
      addresses_(start_addresses_) {}

std::optional<worker_protocol::HeartbeatAnswer> HeartbeatSender::Send(
    const worker_protocol::Heartbeat& heartbeat) {
  http::Request request;
  request.method = "POST";
  request.path =
      "/v1/workers/" + heartbeat.announcement.worker.text() + "/heartbeats";
  request.headers["content-type"] = "application/json";
  if (!token_.empty()) {
    request.headers["authorization"] = "Bearer " + token_;
  }
  request.body = worker_protocol::ToJson(heartbeat);
  const http::ClientResult result = client_.SendAndWait(
      addresses_[position_], std::move(request), clock_.Now() + timeout_);
  const auto* response = std::get_if<http::Response>(&result);
  std::optional<worker_protocol::HeartbeatAnswer> answer;
  if (response != nullptr && response->status == 200) {
    answer = worker_protocol::HeartbeatAnswerFromJson(response->body);
  }
  if (answer) {
    Learn(*answer);
  } else {
    GoToNext();
  }
  return answer;
}

void HeartbeatSender::Learn(const worker_protocol::HeartbeatAnswer& answer) {
  if (stays_ || answer.home_address.empty() ||
      answer.home_address == addresses_[position_]) {
    return;
  }
  addresses_ = {answer.home_address};
  const auto add = [this](const std::string& address) {
    if (std::ranges::find(addresses_, address) == addresses_.end()) {
      addresses_.push_back(address);
    }
  };
  std::ranges::for_each(answer.entry_addresses, add);
  std::ranges::for_each(start_addresses_, add);
  position_ = 0;
}

void HeartbeatSender::GoToNext() {
  position_ = (position_ + 1) % addresses_.size();
}

}  // namespace papayadrift::standins
