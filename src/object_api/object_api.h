#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/strong_type.h"
#include "http/client.h"

namespace calicodrift::object_api {

/// Version of an object in the platform's store; 0 names an object that does not exist.
using ResourceVersion = StrongType<struct ResourceVersionTag, std::uint64_t>;

/// One object of the store. `spec` is JSON text that the store does not look into.
struct StoredObject {
  std::string kind;
  std::string name;
  ResourceVersion version;
  std::string spec;
};

std::string toJson(const StoredObject& object);
/// Fails with kProtocolViolation.
Result<StoredObject> storedObjectFromJson(std::string_view text);

/// One line of a watch.
struct WatchEvent {
  enum class Kind {
    /// The object was written; `object` is its newest state.
    kModified,
    /// Every change up to `object.version` has been delivered; `object.spec` is empty. The first
    /// bookmark of a watch follows the changes that were missed, and was made after the request.
    kBookmark,
  };
  Kind kind = Kind::kBookmark;
  StoredObject object;
};

std::string toJson(const WatchEvent& event);
/// Fails with kProtocolViolation.
Result<WatchEvent> watchEventFromJson(std::string_view text);

/// An open watch: JSON lines as they arrive.
class ObjectWatch {
 public:
  explicit ObjectWatch(std::unique_ptr<http::ResponseStream> stream) : stream_(std::move(stream)) {}

  /// The next event, or nothing once the watch has run its time. Fails with kStoreUnavailable where
  /// the connection breaks, and with kProtocolViolation.
  boost::asio::awaitable<Result<std::optional<WatchEvent>>> next();

 private:
  std::unique_ptr<http::ResponseStream> stream_;
  std::string buffer_;
};

/// Client of the object API's published protocol.
class ObjectApiClient {
 public:
  ObjectApiClient(http::Client& client, Endpoint endpoint);

  /// Fails with kNotFound, kStoreUnavailable or kProtocolViolation.
  boost::asio::awaitable<Result<StoredObject>> get(std::string kind, std::string name);
  /// Writes if the stored version is still `object.version` (0: the object must not exist).
  /// Fails with kVersionConflict, kStoreUnavailable (no effect) or kOutcomeUnknown (the write may
  /// have taken effect: settle it by reading back).
  boost::asio::awaitable<Result<StoredObject>> put(StoredObject object);
  /// Opens a watch for the object's changes after `since`, which ends by itself after `duration`.
  /// A `since` of 0 delivers the object as it is now, where it exists.
  /// Fails with kVersionConflict where `since` is older than the store's history (410: read the
  /// object anew), and with kStoreUnavailable.
  boost::asio::awaitable<Result<std::unique_ptr<ObjectWatch>>> watch(std::string kind,
                                                                     std::string name,
                                                                     ResourceVersion since,
                                                                     Milliseconds duration);

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace calicodrift::object_api
