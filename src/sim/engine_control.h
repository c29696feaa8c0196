#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

#include "common/clock.h"
#include "http/client.h"
#include "http/message.h"
#include "orders/engine_order.h"

namespace calicodrift::sim {

struct EngineControlSettings {
  BackendId id;
  ModelId model;
  WeightsVersion weights{1};
  Incarnation incarnation;
  /// Weights are fetched from here; where absent, a load takes `loadTime`.
  std::optional<Endpoint> weightStore;
  Milliseconds loadTime{500};
};

/// Identity and orders of the engine stand-in. Loading goes in three steps, as one accelerator has
/// no room for two sets of weights: new requests are refused and running ones end on the old
/// weights; the weights are fetched, while nothing is served; the version changes and the cache is
/// cleared. So no answer mixes two versions. A load that fails leaves the old version in service.
class EngineControl {
 public:
  struct Hooks {
    std::function<std::size_t()> runningRequests;
    std::function<void()> clearCache;
  };

  EngineControl(boost::asio::io_context& context, EngineControlSettings settings, Hooks hooks);

  WeightsVersion weights() const { return report_.weights; }
  Incarnation incarnation() const { return report_.incarnation; }
  const ModelId& model() const { return report_.model; }
  const BackendId& id() const { return report_.id; }
  bool accepting() const { return report_.accepting; }
  const orders::EngineReport& report() const { return report_; }
  /// Orders refused for a token, bundle version or incarnation, and loads completed and failed.
  std::uint64_t refusedOrders() const { return refusedOrders_; }
  std::uint64_t completedLoads() const { return completedLoads_; }
  std::uint64_t failedLoads() const { return failedLoads_; }

  /// Answers POST /admin/orders with the engine's report.
  http::Response handleOrder(const std::string& body);

 private:
  /// Invariant: an order that any receiver should take from the present lease holder only is
  /// refused once a higher token was seen here.
  bool fenced(const orders::EngineOrder& order) const;
  bool apply(const orders::EngineOrder& order);
  boost::asio::awaitable<void> load(WeightsVersion version);
  boost::asio::awaitable<bool> fetch(WeightsVersion version);

  boost::asio::io_context& context_;
  EngineControlSettings settings_;
  Hooks hooks_;
  http::Client client_;
  orders::EngineReport report_;
  std::uint64_t refusedOrders_ = 0;
  std::uint64_t completedLoads_ = 0;
  std::uint64_t failedLoads_ = 0;
};

}  // namespace calicodrift::sim
