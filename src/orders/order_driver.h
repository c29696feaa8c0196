#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "bundle/bundle.h"
#include "http/client.h"
#include "lease/lease_keeper.h"
#include "object_api/machine.h"
#include "orders/order_metrics.h"
#include "orders/rollout_planner.h"

namespace calicodrift::orders {

/// An engine as the node's own tables know it.
struct KnownEngine {
  object_api::Machine machine;
  /// From the last probe; 0 where none was answered.
  WeightsVersion weights;
};

/// What the driver asks the node for.
struct OrderSources {
  std::function<std::shared_ptr<const bundle::Bundle>()> bundle;
  std::function<std::vector<KnownEngine>()> engines;
};

/// Rolls out weights while this node holds the order lease: surveys the engines, lets the planner
/// decide, and sends the orders. While every engine is at the bundle's version it does nothing.
/// Invariant: no order leaves without a look at the own clock right before it, and every order
/// carries the lease's token, by which engines refuse one that was late on its way.
class OrderDriver {
 public:
  OrderDriver(boost::asio::any_io_executor executor, http::Client& client,
              lease::LeaseKeeper& lease, OrderSources sources, OrderMetrics& metrics,
              RolloutSettings rollout, Milliseconds interval);

  void start();
  /// JSON for operators: who holds the lease, and the roll-out's progress where this node does.
  std::string statusJson() const;

 private:
  struct Survey;

  boost::asio::awaitable<void> run();
  /// @return how many engines were asked.
  boost::asio::awaitable<std::size_t> round();
  boost::asio::awaitable<std::vector<SurveyedEngine>> survey(
      std::shared_ptr<const bundle::Bundle> bundle, std::vector<KnownEngine> engines);
  boost::asio::awaitable<void> surveyOne(std::shared_ptr<Survey> survey, std::size_t index,
                                         Endpoint endpoint, BundleVersion bundle);
  boost::asio::awaitable<void> sendLoad(LoadOrder order, Endpoint endpoint, BundleVersion bundle);
  /// Fails with kFenced where the lease is not held or the engine refuses the token.
  boost::asio::awaitable<Result<EngineReport>> send(Endpoint endpoint, EngineOrder order);
  void noteRefusal(const http::Response& response, const EngineOrder& order);

  boost::asio::any_io_executor executor_;
  http::Client& client_;
  lease::LeaseKeeper& lease_;
  OrderSources sources_;
  OrderMetrics& metrics_;
  RolloutPlanner planner_;
  Milliseconds interval_;
  /// Token of the tenure that the planner's memory belongs to.
  FencingToken tenure_;
};

}  // namespace calicodrift::orders
