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
  /// Interval between two passes over all services: a fiftieth of the 5 s within which a bad
  /// version must be stopped.
  Milliseconds interval{100};
  WritePacingSettings pacing;
  /// Seed for the jitter of pauses.
  std::uint64_t seed = 0;
};

/// Callbacks into the node.
struct RolloutPorts {
  using Written = boost::asio::awaitable<Result<store::Revision>>;

  /// The lease's token while this node holds it. Checked immediately before each write.
  std::function<std::optional<FencingToken>()> token;
  /// Inputs by service; empty until the views of orders and records have been read.
  std::function<std::map<std::string, PlanInput>()> inputs;
  /// Both write on condition that the object has the given revision.
  std::function<Written(ServiceRecord)> writeRecord;
  std::function<Written(Order, OrderState)> writeState;
};

/// Executes the plans of all services while this node holds the lease: one write at a time for each
/// service, whose result is read from the views before the next one. Logs each write, each change
/// of a verdict, and what an order waits for. Single-threaded; must outlive its coroutines, like
/// the node's other components.
///
/// Invariants:
/// - no write is begun unless the lease is held with the same token as when it was decided;
/// - no decision is based on views that are known to lack a write of this node.
class RolloutController {
 public:
  RolloutController(boost::asio::any_io_executor executor, RolloutPorts ports,
                    RolloutControllerSettings settings);

  void start();

 private:
  /// Observations of one service in this tenure, and its writes.
  struct ServiceState;

  boost::asio::awaitable<void> run();
  void planAll();
  void planService(const std::string& service, PlanInput input);
  boost::asio::awaitable<void> write(std::shared_ptr<ServiceState> state, std::string service,
                                     PlanInput input, PlanAction action, FencingToken token);
  RolloutPorts::Written executeAction(const PlanInput& input, const PlanAction& action) const;
  void removeOtherServices(const std::map<std::string, PlanInput>& inputs);

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  RolloutPorts ports_;
  RolloutControllerSettings settings_;
  std::mt19937_64 random_;
  std::map<std::string, std::shared_ptr<ServiceState>> services_;
  /// Empty while the lease is not held.
  std::optional<FencingToken> tenureToken_;
};

}  // namespace calicodrift::service_rollout
