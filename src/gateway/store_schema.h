#pragma once

#include "common/error.h"
#include "fleet/server.h"
#include "routes/route_table.h"
#include "service_rollout/order.h"
#include "store/object_store.h"

namespace calicodrift::gateway {

/// Which objects of the store mean what, and how they are read.
class StoreSchema {
 public:
  virtual ~StoreSchema() = default;
  virtual std::string configurationKind() const = 0;
  virtual std::string serverKind() const = 0;
  virtual std::string weightsKind() const = 0;
  /// Orders to move a service's traffic to another software version.
  virtual std::string rolloutKind() const = 0;
  /// Whether an object of the configuration's kind is the one in force.
  virtual bool isConfiguration(const store::Object& object) const = 0;
  /// All fail with kProtocolViolation.
  virtual Result<routes::RouteTableContent> readConfiguration(
      const store::Object& object) const = 0;
  virtual Result<fleet::Server> readServer(const store::Object& object) const = 0;
  virtual Result<fleet::LoadedModel> readWeights(const store::Object& object) const = 0;
  virtual Result<service_rollout::Order> readRollout(const store::Object& object) const = 0;
  /// The status that tells the operator what became of an order for `target`.
  virtual boost::json::value rolloutStatus(service_rollout::OrderState state,
                                           const SoftwareVersion& target) const = 0;
};

}  // namespace calicodrift::gateway
