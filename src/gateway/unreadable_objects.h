#pragma once

#include <map>
#include <string>
#include <utility>

#include "common/error.h"
#include "gateway/metrics.h"
#include "store/object_store.h"

namespace calicodrift::gateway {

/// Tells of objects of the store that can't be read: one log line and one count for each change of
/// such an object, however often it is read, and one line when it can be read again. Keeps no more
/// entries than the store holds such objects.
class UnreadableObjects {
 public:
  explicit UnreadableObjects(GatewayMetrics& metrics) : metrics_(metrics) {}

  /// The object as it was read can't be used.
  void note(const std::string& kind, const store::Object& object, const Error& error);
  /// It can be read, or is gone.
  void clear(const std::string& kind, const std::string& name);
  /// A listing tells which objects of the kind there are.
  void keepListed(const std::string& kind, const store::Listing& listing);

 private:
  using Key = std::pair<std::string, std::string>;
  /// What was told last of an object.
  struct Told {
    store::Revision revision;
    std::string reason;
    bool operator==(const Told&) const = default;
  };

  GatewayMetrics& metrics_;
  std::map<Key, Told> told_;
};

}  // namespace calicodrift::gateway
