#include "streams/session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace papayadrift::streams {

namespace {

constexpr int32_t kWindowBytes = 1 << 20;
constexpr char kMethod[] = "POST";
constexpr char kScheme[] = "http";
constexpr char kPath[] = "/v1/stream";
constexpr char kStatus[] = "200";

nghttp2_nv Field(std::string_view name, std::string_view value) {
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

class Session::Private {
 public:
  explicit Private(SessionSide side) : side_(side) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              &OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &OnEnd);
    if (side == SessionSide::kDialer) {
      nghttp2_session_client_new(&session_, callbacks, this);
    } else {
      nghttp2_session_server_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    SubmitSettings();
    if (side == SessionSide::kDialer) {
      SubmitRequest();
    }
  }
  ~Private() { nghttp2_session_del(session_); }
  Private(const Private&) = delete;
  Private& operator=(const Private&) = delete;

  bool Receive(std::string_view bytes) {
    const ssize_t n = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
    return n == static_cast<ssize_t>(bytes.size()) && !has_ended_;
  }

  std::string TakeBody() { return std::exchange(received_, {}); }

  void Send(std::string_view bytes) {
    // Drops what is gone once it outweighs the rest, so that the cost stays
    // linear.
    if (sent_bytes_ > outgoing_.size() / 2) {
      outgoing_.erase(0, sent_bytes_);
      sent_bytes_ = 0;
    }
    outgoing_ += bytes;
    if (is_deferred_ && stream_ > 0) {
      is_deferred_ = false;
      nghttp2_session_resume_data(session_, stream_);
    }
  }

  void Ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

  std::string TakeOutput(size_t limit) {
    std::string output;
    while (output.size() < limit) {
      const uint8_t* bytes = nullptr;
      const ssize_t n = nghttp2_session_mem_send(session_, &bytes);
      if (n <= 0) {
        break;
      }
      output.append(reinterpret_cast<const char*>(bytes),
                    static_cast<size_t>(n));
    }
    return output;
  }

  bool is_open() const { return is_open_ && !has_ended_; }
  size_t queued_bytes() const { return outgoing_.size() - sent_bytes_; }

 private:
  void SubmitSettings() {
    const std::array<nghttp2_settings_entry, 2> entries = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(),
                            entries.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          kWindowBytes);
  }

  void SubmitRequest() {
    const std::array<nghttp2_nv, 4> fields = {
        Field(":method", kMethod), Field(":scheme", kScheme),
        Field(":path", kPath), Field(":authority", "peer")};
    const nghttp2_data_provider provider = Provider();
    stream_ = nghttp2_submit_request(session_, nullptr, fields.data(),
                                     fields.size(), &provider, nullptr);
  }

  void SubmitResponse(int32_t stream) {
    stream_ = stream;
    is_open_ = true;
    const std::array<nghttp2_nv, 1> fields = {Field(":status", kStatus)};
    const nghttp2_data_provider provider = Provider();
    nghttp2_submit_response(session_, stream, fields.data(), fields.size(),
                            &provider);
  }

  nghttp2_data_provider Provider() {
    nghttp2_data_provider provider;
    provider.source.ptr = this;
    provider.read_callback = &ReadBody;
    return provider;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          int32_t,
                          uint8_t* buf,
                          size_t length,
                          uint32_t*,
                          nghttp2_data_source* source,
                          void*) {
    auto& self = *static_cast<Private*>(source->ptr);
    const size_t n = std::min(length, self.queued_bytes());
    if (n == 0) {
      self.is_deferred_ = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(buf, self.outgoing_.data() + self.sent_bytes_, n);
    self.sent_bytes_ += n;
    return static_cast<ssize_t>(n);
  }

  static int OnData(nghttp2_session*,
                    uint8_t,
                    int32_t,
                    const uint8_t* data,
                    size_t length,
                    void* user) {
    static_cast<Private*>(user)->received_.append(
        reinterpret_cast<const char*>(data), length);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    auto& self = *static_cast<Private*>(user);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      self.has_ended_ = true;
    }
    if (frame->hd.type != NGHTTP2_HEADERS) {
      return 0;
    }
    if (self.side_ == SessionSide::kDialer) {
      self.is_open_ = true;
    } else if (self.stream_ == 0) {
      self.SubmitResponse(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnEnd(nghttp2_session*, int32_t, uint32_t, void* user) {
    static_cast<Private*>(user)->has_ended_ = true;
    return 0;
  }

  const SessionSide side_;
  nghttp2_session* session_ = nullptr;
  int32_t stream_ = 0;
  bool is_open_ = false;
  bool has_ended_ = false;
  bool is_deferred_ = false;
  std::string received_;
  std::string outgoing_;
  size_t sent_bytes_ = 0;  // Of `outgoing_`, already given to the session.
};

Session::Session(SessionSide side)
    : private_(std::make_unique<Private>(side)) {}

Session::~Session() = default;

bool Session::Receive(std::string_view bytes) {
  return private_->Receive(bytes);
}

std::string Session::TakeBody() {
  return private_->TakeBody();
}

void Session::Send(std::string_view bytes) {
  private_->Send(bytes);
}

void Session::Ping() {
  private_->Ping();
}

std::string Session::TakeOutput(size_t limit) {
  return private_->TakeOutput(limit);
}

bool Session::is_open() const {
  return private_->is_open();
}

size_t Session::queued_bytes() const {
  return private_->queued_bytes();
}

}  // namespace papayadrift::streams
