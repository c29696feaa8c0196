#pragma once

#include <cstdint>
#include <string_view>

namespace calicodrift::log {

/// Writes whole lines to a descriptor and never waits for its reader: a line that does not fit now
/// is dropped and counted. The descriptor stays in its mode, as other processes may share it.
class PipeWriter {
 public:
  explicit PipeWriter(int descriptor) : descriptor_(descriptor) {}

  /// False where the line was dropped.
  bool write(std::string_view line);
  std::uint64_t dropped() const { return dropped_; }

 private:
  int descriptor_;
  std::uint64_t dropped_ = 0;
};

}  // namespace calicodrift::log
