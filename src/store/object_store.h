#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/error.h"
#include "store/position.h"

/// The store that outlives every node: objects by kind and name, with one revision counter. An
/// interface, because each platform has its own store.
namespace calicodrift::store {

struct Object {
  std::string name;
  /// Revision of the last change; 0 for an object that does not exist yet.
  Revision revision;
  /// Marked for deletion but still present.
  bool deleting = false;
  /// Null if the spec is in `specText`.
  boost::json::value spec;
  /// The JSON of the spec as it was received, so that nodes which only pass it on don't parse it;
  /// null if the spec is in `spec`. Large specs always come as texts. parsed() reads it.
  std::shared_ptr<const std::string> specText;
  /// Status that the system reports for an object owned by the operator; null if none was written.
  boost::json::value status;
};

/// Length in bytes from which a spec is large.
inline constexpr std::size_t kLargeSpecBytes = 16'384;

inline bool hasLargeSpec(const Object& object) {
  return object.specText && object.specText->size() >= kLargeSpecBytes;
}

/// The object with its spec as a value; null if a text is not JSON.
Object parsed(const Object& object);

/// All objects of a kind at one revision of the store.
struct Listing {
  std::vector<Object> objects;
  Revision revision;
  /// When the listing was known to be current, relative to the time of the request. Negative if
  /// another node read it from the store before that.
  Milliseconds provenAfterAsked{0};
};

struct Change {
  Object object;
  bool removed = false;
};

/// Changes of a kind after the requested revision, and the revision to which they lead.
struct ChangeBatch {
  std::vector<Change> changes;
  Revision revision;
  /// As in Listing; set if the source knows it more precisely than provenAt().
  std::optional<Milliseconds> provenAfterAsked;
  /// False if changes may be missing, as where the store no longer has the history in between:
  /// objects may have come and gone unseen.
  bool complete = true;
};

/// Latest time at which the state reached by `batch` was known to be current. A watch without
/// changes proves the end of its wait, since the store would otherwise have returned earlier. A
/// watch with changes proves only the time of the request, since its reply may have been in transit
/// for long. Never later than `now`.
MonotonicTime provenAt(const ChangeBatch& batch, MonotonicTime asked, Milliseconds wait,
                       MonotonicTime now);

/// Errors of all calls: kStoreUnavailable (nothing was done), kOutcomeUnknown (a write may have
/// been applied or may be applied later) and kProtocolViolation. Further errors are listed at each
/// call.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  /// Returns the newest state, across all pages.
  virtual boost::asio::awaitable<Result<Listing>> list(std::string kind) = 0;
  /// Returns as soon as there is a change after `since`, or without changes after `wait`. Fails
  /// with kVersionConflict if the store no longer has the history after `since`.
  virtual boost::asio::awaitable<Result<ChangeBatch>> watch(std::string kind, Revision since,
                                                            Milliseconds wait) = 0;
  /// Fails with kNotFound.
  virtual boost::asio::awaitable<Result<Object>> get(std::string kind, std::string name) = 0;
  /// As get(), at less cost to the store: the object may be seconds old, and one that has been
  /// created meanwhile may be missing.
  virtual boost::asio::awaitable<Result<Object>> getStale(std::string kind, std::string name) {
    return get(std::move(kind), std::move(name));
  }
  /// Writes `object.spec` if the stored revision is still `object.revision` (0: creates the
  /// object), and returns the new revision. Fails with kVersionConflict.
  virtual boost::asio::awaitable<Result<Revision>> put(std::string kind, Object object) = 0;
  /// Writes `object.status` if the stored revision is still `object.revision`, and returns the new
  /// revision. Fails with kVersionConflict, or with kNotFound if the object no longer exists.
  virtual boost::asio::awaitable<Result<Revision>> putStatus(std::string kind, Object object) = 0;
  /// When bytes of a successful answer to a list() or watch() of the kind last arrived: a large
  /// answer takes long to arrive, and this shows that it does. The clock's epoch if none has
  /// arrived, or if the store does not tell.
  virtual MonotonicTime lastBytesAt(const std::string& /*kind*/) const { return {}; }
  /// The newest era that the store has told, or that observeEra() was given; 0 if none is known.
  virtual Era era() const { return {}; }
  /// When this process first knew of that era.
  virtual MonotonicTime eraSeenAt() const { return {}; }
  /// Another node has told of this era.
  virtual void observeEra(Era /*era*/) {}
  /// Sets the listener for each new era after the first one.
  virtual void onNewEra(const std::function<void()>& /*listener*/) {}
};

}  // namespace calicodrift::store
