#ifndef PAPAYADRIFT_TESTS_AUTO_PROPOSALS_FAKE_LOG_H_
#define PAPAYADRIFT_TESTS_AUTO_PROPOSALS_FAKE_LOG_H_

#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "log/log_port.h"

namespace papayadrift::test {

// One stream in memory. While faults are enabled, appends are refused, lost
// before or after they took effect, stored late or twice, and reads fail.
// Answers are held until one of the Deliver functions is called.
class FakeLog : public log::LogPort {
 public:
  explicit FakeLog(uint64_t seed) : random_(seed) {}

  void Append(const log::StreamId& stream,
              std::string bytes,
              std::function<void(log::AppendResult)> done) override;
  void Read(const log::StreamId& stream,
            Offset from,
            uint32_t limit,
            uint32_t wait_milliseconds,
            std::function<void(log::ReadResult)> done) override;

  // Every record ever stored, including those that reads no longer return.
  const std::vector<std::string>& records() const { return records_; }
  Offset next() const { return Offset(records_.size() + 1); }
  log::ReadResult ReadNow(Offset from, uint32_t limit) const;

  void SetFaulty(bool is_faulty) { is_faulty_ = is_faulty; }
  void SetDown(bool is_down) { is_down_ = is_down; }
  // Drops the records below `oldest` from what reads return.
  void Drop(Offset oldest);
  // Delivers one of the held answers, chosen at random.
  void DeliverRandom();
  void DeliverAll();
  // Stores one of the delayed appends, chosen at random, if there is one.
  void StoreRandomDelayed();
  void StoreAllDelayed();

 private:
  log::AppendResult AppendFaulty(const std::string& bytes);
  Offset Store(const std::string& bytes);

  pcg32 random_;
  bool is_faulty_ = true;
  bool is_down_ = false;
  Offset oldest_{1};
  std::vector<std::string> records_;
  std::vector<std::string> delayed_;
  std::vector<std::function<void()>> answers_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_AUTO_PROPOSALS_FAKE_LOG_H_
