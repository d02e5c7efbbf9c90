#ifndef PAPAYADRIFT_TESTS_AUTO_LOGGING_PIPE_H_
#define PAPAYADRIFT_TESTS_AUTO_LOGGING_PIPE_H_

#include <cstddef>
#include <string>
#include <vector>

namespace papayadrift::logging {

// Both ends of a pipe.
class Pipe {
 public:
  Pipe();
  ~Pipe();
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int write_end() const { return write_end_; }
  void CloseReadEnd();

  // Writes lines until nothing more fits; returns how many.
  size_t Fill() const;

  // Closes the end for writing and returns the lines that were written.
  std::vector<std::string> TakeLines();
  // Waits for so many lines.
  std::vector<std::string> ReadLines(size_t count) const;

 private:
  int read_end_ = -1;
  int write_end_ = -1;
};

}  // namespace papayadrift::logging

#endif  // PAPAYADRIFT_TESTS_AUTO_LOGGING_PIPE_H_
