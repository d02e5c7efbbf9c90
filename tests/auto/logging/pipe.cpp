#include "pipe.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string_view>
#include <utility>

namespace papayadrift::logging {

Pipe::Pipe() {
  std::array<int, 2> ends{};
  if (pipe(ends.data()) != 0) {
    std::abort();
  }
  read_end_ = ends[0];
  write_end_ = ends[1];
}

Pipe::~Pipe() {
  for (const int end : {read_end_, write_end_}) {
    if (end >= 0) {
      close(end);
    }
  }
}

void Pipe::CloseReadEnd() {
  close(std::exchange(read_end_, -1));
}

size_t Pipe::Fill() const {
  // Divides the size of every pipe, so that no line is cut.
  constexpr std::string_view kFiller = "filler \n";
  const int flags = fcntl(write_end_, F_GETFL);
  fcntl(write_end_, F_SETFL, flags | O_NONBLOCK);
  size_t count = 0;
  while (write(write_end_, kFiller.data(), kFiller.size()) > 0) {
    ++count;
  }
  fcntl(write_end_, F_SETFL, flags);
  return count;
}

std::vector<std::string> Pipe::TakeLines() {
  close(std::exchange(write_end_, -1));
  return ReadLines(SIZE_MAX);
}

std::vector<std::string> Pipe::ReadLines(size_t count) const {
  std::string text;
  std::array<char, 4096> buf{};
  ssize_t n = 1;
  for (size_t ends = 0; ends < count && n > 0;) {
    n = read(read_end_, buf.data(), buf.size());
    const std::string_view part(buf.data(),
                                static_cast<size_t>(std::max<ssize_t>(n, 0)));
    ends += static_cast<size_t>(std::ranges::count(part, '\n'));
    text += part;
  }
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

}  // namespace papayadrift::logging
