#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/error.h"
#include "common/strong_type.h"

/// The store that outlives every node: objects by kind and name, with one counter of revisions.
/// An interface, as each platform has a store of its own.
namespace calicodrift::store {

/// Position in the store's history; each change gets a higher one.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;

struct Object {
  std::string name;
  /// Revision of its last change; 0 for an object that does not exist yet.
  Revision revision;
  /// Marked for removal, but still there.
  bool deleting = false;
  boost::json::value spec;
  /// What the system reports of an object that the operator owns; null where nothing was written.
  boost::json::value status;
};

/// All objects of a kind at one revision of the store.
struct Listing {
  std::vector<Object> objects;
  Revision revision;
  /// It was the newest state so long after it was asked for; below 0 where another node read it
  /// from the store before.
  Milliseconds provenAfterAsked{0};
};

struct Change {
  Object object;
  bool removed = false;
};

/// Changes of a kind after the revision asked for, and the revision they lead to.
struct ChangeBatch {
  std::vector<Change> changes;
  Revision revision;
  /// As of a listing, where the source knows it better than provenAt() does.
  std::optional<Milliseconds> provenAfterAsked;
};

/// When the state that `batch` leads to was the newest for certain. A watch that returned nothing
/// proves the end of its wait, as the store would have returned earlier otherwise; one that
/// returned changes proves only the moment at which it was asked for, as its answer may have been
/// under way for long.
MonotonicTime provenAt(const ChangeBatch& batch, MonotonicTime asked, Milliseconds wait,
                       MonotonicTime now);

/// Errors of all calls: kStoreUnavailable (nothing was done), kOutcomeUnknown (a write may have
/// been done, or may be done later) and kProtocolViolation; others are named at the call.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  /// The newest state, over all pages.
  virtual boost::asio::awaitable<Result<Listing>> list(std::string kind) = 0;
  /// Returns as soon as there is a change after `since`, or without one after `wait`.
  /// Fails with kVersionConflict where the store has forgotten the history after `since`.
  virtual boost::asio::awaitable<Result<ChangeBatch>> watch(std::string kind, Revision since,
                                                            Milliseconds wait) = 0;
  /// Fails with kNotFound.
  virtual boost::asio::awaitable<Result<Object>> get(std::string kind, std::string name) = 0;
  /// Writes `object.spec` if the stored revision is still `object.revision` (0: creates it), and
  /// gives the new revision. Fails with kVersionConflict.
  virtual boost::asio::awaitable<Result<Revision>> put(std::string kind, Object object) = 0;
  /// Writes `object.status` if the stored revision is still `object.revision`, and gives the new
  /// revision. Fails with kVersionConflict, or kNotFound where the object is gone.
  virtual boost::asio::awaitable<Result<Revision>> putStatus(std::string kind, Object object) = 0;
};

}  // namespace calicodrift::store
