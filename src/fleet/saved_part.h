#pragma once

#include <cstdint>

namespace calicodrift::fleet {

/// A cached prompt part (with its cache scope) that is saved in a KV cache store; both are
/// identified by their hashes. Exchanged between nodes.
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
