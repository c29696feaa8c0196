#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <string>

#include "quarantine/crash_ledger.h"
#include "quarantine/metrics.h"
#include "store/object_store.h"

namespace calicodrift::quarantine {

/// Fails with kProtocolViolation if the object was written by another program.
Result<Suspect> suspectFrom(const store::Object& object);
boost::json::value toJson(const Suspect& suspect);

/// Persists the requests that are barred or close to it, since no node's memory survives a restart
/// of all nodes: one object per request, from its second crashed server on. Reading costs one
/// listing for each starting root, writing one or two calls for each further server.
class Records {
 public:
  using UnreadableListener = std::function<void(const store::Object&, const Error&)>;

  /// @param kind kind of the stored objects; set by the product.
  Records(store::ObjectStore& store, std::string kind, CrashLedger& ledger,
          QuarantineMetrics& metrics, UnreadableListener onUnreadable);

  /// Whether the stored records have been read since the start.
  bool read() const { return read_; }
  /// Synchronizes ledger and store as far as the store answers. One call at a time.
  boost::asio::awaitable<void> synchronize();

  /// Few bystanders reach two runs, and one more bars the request.
  static constexpr std::size_t kMinRecordedCrashes = 2;

 private:
  struct Stored {
    store::Revision revision;
    Suspect suspect;
  };

  boost::asio::awaitable<void> readAll();
  boost::asio::awaitable<bool> write(Suspect suspect);
  void take(const store::Object& object);
  /// Suspects that have no record in the store, or that changed since it was written.
  std::vector<Suspect> unsavedSuspects() const;

  store::ObjectStore& store_;
  std::string kind_;
  CrashLedger& ledger_;
  QuarantineMetrics& metrics_;
  UnreadableListener onUnreadable_;
  std::map<RequestFingerprint, Stored> stored_;
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
