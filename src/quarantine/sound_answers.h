#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/clock.h"
#include "common/hashing.h"
#include "common/strong_type.h"
#include "fleet/server.h"

namespace calicodrift::quarantine {

/// Compact identifier of one software version of a service.
using ServiceVersion = StrongType<struct ServiceVersionTag, std::uint64_t>;
inline ServiceVersion serviceVersionOf(const fleet::Server& server) {
  return ServiceVersion(hashPair(hashBytes(server.service), hashBytes(server.version.value())));
}

/// When this node last got a sound answer from a server of each service's version: servers that
/// crash under all requests give none.
class SoundAnswers {
 public:
  static constexpr std::size_t kMaxVersions = 1024;

  void record(ServiceVersion version, MonotonicTime now) {
    if (last_.size() >= kMaxVersions && !last_.contains(version)) {
      // Versions that are still in use are recorded again with their next answer.
      last_.clear();
    }
    last_[version] = now;
  }
  /// Empty if there was none.
  std::optional<MonotonicTime> last(ServiceVersion version) const {
    const auto found = last_.find(version);
    return found == last_.end() ? std::nullopt : std::optional(found->second);
  }

 private:
  std::map<ServiceVersion, MonotonicTime> last_;
};

}  // namespace calicodrift::quarantine
