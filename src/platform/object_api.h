#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "common/endpoint.h"
#include "common/error.h"
#include "common/strong_type.h"
#include "http/client.h"

namespace calicodrift::platform {

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

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace calicodrift::platform
