#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "common/ids.h"
#include "service_rollout/plan.h"
#include "service_rollout/write_pacing.h"

namespace calicodrift::service_rollout {

struct RolloutControllerSettings {
  PlanSettings plan;
  /// Between two looks at all services: a fiftieth of the 5 s within which a bad version has to be
  /// stopped.
  Milliseconds interval{100};
  WritePacingSettings pacing;
  /// Of the jitter of pauses.
  std::uint64_t seed = 0;
};

/// What the controller asks of its node.
struct RolloutPorts {
  using Written = boost::asio::awaitable<Result<store::Revision>>;

  /// The lease's token while this node holds it. Asked right before each write.
  std::function<std::optional<FencingToken>()> token;
  /// By service; empty until the views of orders and records were read.
  std::function<std::map<std::string, PlanInput>()> inputs;
  /// Both write under the condition of the revision that they are given.
  std::function<Written(ServiceRecord)> writeRecord;
  std::function<Written(Order, OrderState)> writeState;
};

/// Carries out the plan of all services while this node holds the lease: one write at a time for
/// each service, and what came of it is read from the views before the next. Logs each write, each
/// change of a verdict and what an order waits for. Runs on one thread; outlives its coroutines'
/// last step, as the node's parts do.
///
/// Invariants:
/// - no write is begun without the lease being held, with the same token as when it was decided;
/// - no decision rests on views that are known to lack a write of this node.
class RolloutController {
 public:
  RolloutController(boost::asio::any_io_executor executor, RolloutPorts ports,
                    RolloutControllerSettings settings);

  void start();

 private:
  /// What this tenure has seen of one service, and its writes.
  struct ServiceState;

  boost::asio::awaitable<void> run();
  void lookAtAll();
  void lookAt(const std::string& service, PlanInput input);
  boost::asio::awaitable<void> write(std::shared_ptr<ServiceState> state, std::string service,
                                     PlanInput input, PlanAction action, FencingToken token);
  RolloutPorts::Written carryOut(const PlanInput& input, const PlanAction& action) const;
  void forgetOthers(const std::map<std::string, PlanInput>& inputs);

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  RolloutPorts ports_;
  RolloutControllerSettings settings_;
  std::mt19937_64 random_;
  std::map<std::string, std::shared_ptr<ServiceState>> services_;
  /// Nothing while the lease is not held.
  std::optional<FencingToken> tenure_;
};

}  // namespace calicodrift::service_rollout
