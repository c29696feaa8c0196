#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/error.h"
#include "quarantine/metrics.h"
#include "store/object_store.h"

namespace calicodrift::quarantine {

/// One suspect as it stands in the store.
struct Record {
  std::string name;
  boost::json::value content;
  bool operator==(const Record&) const = default;
};

/// Evidence that Records persists. One implementation for each ledger.
class RecordSource {
 public:
  virtual ~RecordSource() = default;
  /// Suspects that are to be in the store.
  virtual std::vector<Record> wanted() const = 0;
  /// Present state of the suspect with this name; empty if it is not tracked.
  virtual std::optional<Record> find(const std::string& name) const = 0;
  /// Merges a stored record and returns it as toJson() would write it. Fails with
  /// kProtocolViolation if the object was written by another program.
  virtual Result<Record> merge(const store::Object& object) = 0;
};

/// Persists suspects that are barred or close to it, since no node's memory survives a restart of
/// all nodes: one object per suspect. Reading costs one listing for each starting root, writing one
/// or two calls for each further crash.
class Records {
 public:
  using UnreadableListener = std::function<void(const store::Object&, const Error&)>;

  /// @param kind kind of the stored objects; set by the product.
  Records(store::ObjectStore& store, std::string kind, RecordSource& source,
          QuarantineMetrics& metrics, UnreadableListener onUnreadable);

  /// Whether the stored records have been read since the start.
  bool read() const { return read_; }
  /// Synchronizes source and store as far as the store answers. One call at a time.
  boost::asio::awaitable<void> synchronize();

 private:
  struct Stored {
    store::Revision revision;
    Record record;
  };

  boost::asio::awaitable<void> readAll();
  boost::asio::awaitable<bool> write(Record record);
  void take(const store::Object& object);
  /// Suspects that have no record in the store, or that changed since it was written.
  std::vector<Record> unsaved() const;

  store::ObjectStore& store_;
  std::string kind_;
  RecordSource& source_;
  QuarantineMetrics& metrics_;
  UnreadableListener onUnreadable_;
  std::map<std::string, Stored> stored_;
  bool read_ = false;
  /// Whether the records were read in the present era of the store.
  bool recordsAreCurrent_ = false;
  /// Era of the store in which the records were read.
  store::Era era_;
  bool busy_ = false;
  /// End of the pause after a failed call.
  MonotonicTime pausedUntil_{};
  Milliseconds pause_{0};
};

}  // namespace calicodrift::quarantine
