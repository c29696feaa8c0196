#pragma once

#include <cstdint>

namespace calicodrift::fleet {

/// A cached prompt part (with its cache scope) that lies in a store of kept cache; both by their
/// hashes. Nodes tell each other of them.
struct SavedPart {
  std::uint64_t part = 0;
  std::uint64_t store = 0;

  bool operator==(const SavedPart&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(part, store);
  }
};

}  // namespace calicodrift::fleet
