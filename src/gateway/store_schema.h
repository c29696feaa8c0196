#pragma once

#include "common/error.h"
#include "fleet/server.h"
#include "routes/route_table.h"
#include "service_rollout/order.h"
#include "store/object_store.h"

namespace calicodrift::gateway {

/// The weights that an operator named for a model.
struct NamedVersion {
  fleet::LoadedModel named;
  /// What nodes have written beside it: no request may be sent to versions below this one any more.
  /// Outlives every node, so that none uses again what ran out before it started. 0: none was
  /// written, or it can't be read.
  WeightsVersion floor;
};

/// The named weights of a model as the store holds them.
struct StoredWeights {
  std::string object;
  store::Revision revision;
  WeightsVersion floor;
};

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
  virtual Result<NamedVersion> readWeights(const store::Object& object) const = 0;
  /// The status of a model's named weights that keeps their floor.
  virtual boost::json::value weightsStatus(WeightsVersion floor) const = 0;
  virtual Result<service_rollout::Order> readRollout(const store::Object& object) const = 0;
  /// The status that tells the operator what became of an order for `target`.
  virtual boost::json::value rolloutStatus(service_rollout::OrderState state,
                                           const SoftwareVersion& target) const = 0;
};

}  // namespace calicodrift::gateway
