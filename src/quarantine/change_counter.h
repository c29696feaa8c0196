#pragma once

#include <cstdint>

namespace calicodrift::quarantine {

/// Numbers the changes of all of a node's evidence, so that one number says what a neighbour has
/// been told.
class ChangeCounter {
 public:
  std::uint64_t value() const { return value_; }
  std::uint64_t next() { return ++value_; }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace calicodrift::quarantine
