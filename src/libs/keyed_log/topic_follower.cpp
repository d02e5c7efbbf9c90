#include "keyed_log/topic_follower.h"

#include <map>
#include <optional>
#include <ranges>
#include <utility>
#include <variant>

namespace papayadrift::keyed_log {
namespace {

// The newest of each key as far as it has been read, and the offset behind
// it. Pages are no snapshot: what changes while they are read follows behind
// the end that the first one tells, and is whole once that is read too.
struct Reload {
  std::map<std::string, Record> newest;
  std::optional<uint64_t> next;
  bool has_all_pages = false;
};

}  // namespace

class TopicFollower::Private : public std::enable_shared_from_this<Private> {
 public:
  Private(const FollowerSettings& settings,
          KeyedLog& log,
          const Clock& clock,
          OnRecord on_record,
          OnReload on_reload)
      : settings_(settings),
        log_(log),
        clock_(clock),
        on_record_(std::move(on_record)),
        on_reload_(std::move(on_reload)) {}

  void CatchUp(Done done) {
    waiting_.push_back(std::move(done));
    if (!is_reading_) {
      Begin();
    }
  }

  void Wait(milliseconds wait, Done done) {
    if (!is_loaded_) {
      CatchUp(std::move(done));
      return;
    }
    const Instant begun_at = clock_.Now();
    log_.Read(
        settings_.topic, next_, wait, begun_at + wait + settings_.answer_limit,
        [weak = weak_from_this(), begun_at,
         done = std::move(done)](const ReadResult& result) {
          const auto self = weak.lock();
          if (!self) {
            return;
          }
          if (std::holds_alternative<TooOld>(result) || !self->is_loaded_) {
            self->is_loaded_ = false;
            self->CatchUp(done);
            return;
          }
          done(self->Take(result, begun_at));
        });
  }

  void Stop() {
    on_record_ = nullptr;
    on_reload_ = nullptr;
  }
  uint64_t next() const { return next_; }
  bool is_loaded() const { return is_loaded_; }
  Instant caught_up_at() const { return caught_up_at_; }

 private:
  void Begin() {
    is_reading_ = true;
    served_ = std::exchange(waiting_, {});
    begun_at_ = clock_.Now();
    if (is_loaded_ || (reload_ && reload_->has_all_pages)) {
      ReadOn();
    } else {
      BeginReload();
    }
  }

  void BeginReload() {
    is_loaded_ = false;
    reload_.emplace();
    LoadPage({});
  }

  void EndReload() {
    const Reload reload = *std::exchange(reload_, std::nullopt);
    next_ = *reload.next;
    is_loaded_ = true;
    if (on_reload_) {
      on_reload_();
    }
    for (const Record& record : reload.newest | std::views::values) {
      on_record_(record);
    }
  }

  void End(bool is_caught_up) {
    is_reading_ = false;
    const std::vector<Done> served = std::exchange(served_, {});
    for (const Done& done : served) {
      done(is_caught_up);
    }
    if (!is_reading_ && !waiting_.empty()) {
      Begin();
    }
  }

  void ReadOn() {
    log_.Read(settings_.topic, reload_ ? *reload_->next : next_,
              milliseconds(0), clock_.Now() + settings_.answer_limit,
              [weak = weak_from_this()](const ReadResult& result) {
                if (const auto self = weak.lock()) {
                  self->OnRead(result);
                }
              });
  }

  void OnRead(const ReadResult& result) {
    if (std::holds_alternative<TooOld>(result)) {
      BeginReload();
      return;
    }
    if (reload_) {
      OnReadAfterPages(result);
      return;
    }
    if (!Take(result, begun_at_)) {
      End(false);
      return;
    }
    if (next_ < std::get<Records>(result).end) {
      ReadOn();
      return;
    }
    End(true);
  }

  void OnReadAfterPages(const ReadResult& result) {
    const auto* read = std::get_if<Records>(&result);
    if (read == nullptr || !on_record_) {
      End(false);
      return;
    }
    for (const StoredRecord& stored : read->records) {
      reload_->next = stored.offset + 1;
      reload_->newest.insert_or_assign(stored.record.key, stored.record);
    }
    if (*reload_->next < read->end) {
      ReadOn();
      return;
    }
    EndReload();
    caught_up_at_ = std::max(caught_up_at_, begun_at_);
    End(true);
  }

  // Hands on what is new in `result`; returns false if the read failed.
  bool Take(const ReadResult& result, Instant begun_at) {
    const auto* read = std::get_if<Records>(&result);
    if (read == nullptr || !on_record_) {
      return false;
    }
    for (const StoredRecord& stored : read->records) {
      if (stored.offset >= next_) {
        next_ = stored.offset + 1;
        on_record_(stored.record);
      }
    }
    if (next_ >= read->end) {
      caught_up_at_ = std::max(caught_up_at_, begun_at);
    }
    return true;
  }

  void LoadPage(const std::string& after_key) {
    log_.ReadNewest(settings_.topic, after_key,
                    clock_.Now() + settings_.answer_limit,
                    [weak = weak_from_this()](const ReadResult& result) {
                      if (const auto self = weak.lock()) {
                        self->OnPage(result);
                      }
                    });
  }

  void OnPage(const ReadResult& result) {
    const auto* page = std::get_if<Records>(&result);
    if (page == nullptr || !on_record_) {
      End(false);
      return;
    }
    if (!reload_->next) {
      reload_->next = page->end;
    }
    for (const StoredRecord& stored : page->records) {
      reload_->newest.insert_or_assign(stored.record.key, stored.record);
    }
    if (page->has_more && !page->records.empty()) {
      LoadPage(page->records.back().record.key);
      return;
    }
    reload_->has_all_pages = true;
    ReadOn();
  }

  const FollowerSettings settings_;
  KeyedLog& log_;
  const Clock& clock_;
  OnRecord on_record_;
  OnReload on_reload_;
  std::vector<Done> waiting_;
  std::vector<Done> served_;
  bool is_reading_ = false;
  bool is_loaded_ = false;
  std::optional<Reload> reload_;  // That is under way.
  uint64_t next_ = 0;
  Instant begun_at_;
  Instant caught_up_at_;
};

TopicFollower::TopicFollower(const FollowerSettings& settings,
                             KeyedLog& log,
                             const Clock& clock,
                             OnRecord on_record,
                             OnReload on_reload)
    : private_(std::make_shared<Private>(settings,
                                         log,
                                         clock,
                                         std::move(on_record),
                                         std::move(on_reload))) {}

TopicFollower::~TopicFollower() {
  private_->Stop();
}

void TopicFollower::CatchUp(Done done) {
  private_->CatchUp(std::move(done));
}

void TopicFollower::Wait(milliseconds wait, Done done) {
  private_->Wait(wait, std::move(done));
}

uint64_t TopicFollower::next() const {
  return private_->next();
}

bool TopicFollower::is_loaded() const {
  return private_->is_loaded();
}

Instant TopicFollower::caught_up_at() const {
  return private_->caught_up_at();
}

}  // namespace papayadrift::keyed_log
