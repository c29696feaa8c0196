#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/error.h"
#include "common/ids.h"
#include "common/priority.h"

/// The versioned configuration bundle that operators review, sign and roll out. A bundle is
/// immutable; a node swaps it as a whole.
namespace calicodrift::bundle {

struct Tenant {
  TenantId id;
  /// SHA-256 of each accepted API key, in hexadecimal; keys themselves are never stored.
  std::vector<std::string> apiKeyHashes;
  /// Share under overload, relative to the other tenants.
  std::int64_t weight = 1;
  /// Over all routers together; 0 is unlimited.
  std::int64_t requestsPerSecond = 0;
};

struct Model {
  ModelId id;
  /// The version that new requests go to.
  WeightsVersion weights{1};
  /// Bytes of prompt text in one cached block, as the engine's block hash counts them.
  std::int64_t blockBytes = 2048;
  std::int64_t maxPromptBytes = 4'194'304;
  /// A first token counts as late after firstTokenTarget + prompt tokens x
  /// firstTokenPerPromptToken; routers admit less when many come late.
  Milliseconds firstTokenTarget{880};
  Microseconds firstTokenPerPromptToken{250};
  /// Share of the model's engines, in percent, that stays usable while others load other weights;
  /// also the share that is enough to carry the model's traffic.
  std::int64_t minUsablePercent = 50;
};

/// An ordinary HTTP service whose requests pass through.
struct Service {
  std::string name;
  /// Requests whose path starts with this go to the service, as "/registry/".
  std::string pathPrefix;
};

struct PolicyArm {
  /// Class name of a routing policy.
  std::string policy;
  /// In percent; the shares of one rule add up to 100.
  std::int64_t share = 100;
};

/// Which policy routes which requests; the first rule that matches counts.
struct PolicyRule {
  std::optional<TenantId> tenant;
  std::optional<ModelId> model;
  std::optional<Priority> priority;
  std::vector<PolicyArm> arms;
};

struct Bundle {
  BundleVersion version;
  std::vector<Tenant> tenants;
  std::vector<Model> models;
  std::vector<Service> services;
  std::vector<PolicyRule> policies;
  /// Engines that load weights at once, over all models: what the weight store bears.
  std::int64_t maxConcurrentLoads = 2;

  const Tenant* findTenantByKeyHash(std::string_view keyHash) const;
  const Model* findModel(const ModelId& id) const;
  const Service* findService(std::string_view path) const;
};

/// Parses and checks the JSON text of a bundle. Fails with kBundleInvalid; the detail names every
/// wrong place by its JSON path, one a line, with what belongs there.
Result<Bundle> parseBundle(std::string_view text);

}  // namespace calicodrift::bundle
