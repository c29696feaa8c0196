#include "log/pipe_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace calicodrift::log {

bool PipeWriter::write(std::string_view line) {
  pollfd state{descriptor_, POLLOUT, 0};
  // A pipe that is writable takes PIPE_BUF bytes at once, so that a write of no more never waits.
  const bool writable = ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
  const std::size_t length = std::min<std::size_t>(line.size(), PIPE_BUF);
  if (!writable || ::write(descriptor_, line.data(), length) < 0) {
    ++dropped_;
    return false;
  }
  return true;
}

}  // namespace calicodrift::log
