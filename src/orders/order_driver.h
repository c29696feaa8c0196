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

/// An engine as listed in the node's own tables.
struct KnownEngine {
  object_api::Machine machine;
  /// Weights reported by the last probe; 0 if no probe was answered.
  WeightsVersion weights;
};

/// Callbacks that provide the node's current bundle and engines.
struct OrderSources {
  std::function<std::shared_ptr<const bundle::Bundle>()> bundle;
  std::function<std::vector<KnownEngine>()> engines;
};

/// Rolls out weights while this node holds the order lease: surveys the engines, lets the planner
/// decide, and sends the orders. Does nothing while every engine is at the bundle's version.
/// Invariant: the lease is checked against the local clock immediately before each order is sent,
/// and every order carries the lease's token, by which engines refuse a delayed order.
class OrderDriver {
 public:
  OrderDriver(boost::asio::any_io_executor executor, http::Client& client,
              lease::LeaseKeeper& lease, OrderSources sources, OrderMetrics& metrics,
              RolloutSettings rollout, Milliseconds interval);

  void start();
  /// JSON status for operators: the lease holder, and the roll-out's progress if this node is the
  /// holder.
  std::string statusJson() const;

 private:
  struct Survey;

  boost::asio::awaitable<void> run();
  /// @return number of engines polled.
  boost::asio::awaitable<std::size_t> round();
  boost::asio::awaitable<std::vector<SurveyedEngine>> survey(
      std::shared_ptr<const bundle::Bundle> bundle, std::vector<KnownEngine> engines);
  boost::asio::awaitable<void> surveyEngine(std::shared_ptr<Survey> survey, std::size_t index,
                                            Endpoint endpoint, BundleVersion bundle);
  boost::asio::awaitable<void> sendLoad(LoadOrder order, Endpoint endpoint, BundleVersion bundle);
  /// Fails with kFenced if the lease is not held or the engine refuses the order, kConnectFailed if
  /// the order was not sent, kOutcomeUnknown if the answer was lost, and kProtocolViolation if the
  /// report can't be read.
  boost::asio::awaitable<Result<EngineReport>> send(Endpoint endpoint, EngineOrder order);
  void onRefusal(const http::Response& response, const EngineOrder& order);

  boost::asio::any_io_executor executor_;
  http::Client& client_;
  lease::LeaseKeeper& lease_;
  OrderSources sources_;
  OrderMetrics& metrics_;
  RolloutPlanner planner_;
  Milliseconds interval_;
  /// Token of the lease tenure to which the planner's state belongs.
  FencingToken tenureToken_;
};

}  // namespace calicodrift::orders
