#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

#include "bundle/signature.h"
#include "http/client.h"
#include "object_api/object_api.h"
#include "sim/object_api_server.h"

namespace calicodrift::bench {

/// Size of the bundle that is published.
struct ScaleBundle {
  std::size_t tenants = 0;
  std::size_t models = 0;
};

/// The object API's stand-in on a thread of its own, and an operator who publishes signed bundles.
class ScaleStore {
 public:
  explicit ScaleStore(ScaleBundle size);
  ~ScaleStore();
  ScaleStore(const ScaleStore&) = delete;
  ScaleStore& operator=(const ScaleStore&) = delete;

  /// Fails with kSettingsInvalid where no port or key can be had.
  Result<Endpoint> start();
  /// Who must sign; valid after start().
  bundle::SigningRule signingRule() const;
  /// Stores the next version. @return when the write was begun, and the store's errors.
  Result<MonotonicTime> publishNext();
  BundleVersion version() const { return version_; }
  std::size_t bundleBytes() const { return bundleBytes_; }

 private:
  std::string bundleText() const;
  Result<object_api::StoredObject> write(object_api::StoredObject object);

  ScaleBundle size_;
  boost::asio::io_context context_{1};
  sim::ObjectApiServer server_;
  http::Client client_;
  Endpoint endpoint_;
  bundle::KeyPair first_;
  bundle::KeyPair second_;
  BundleVersion version_;
  object_api::ResourceVersion stored_;
  std::size_t bundleBytes_ = 0;
  std::thread thread_;
};

}  // namespace calicodrift::bench
