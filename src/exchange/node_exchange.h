#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/endpoint.h"
#include "exchange/load_table.h"
#include "exchange/messages.h"
#include "exchange/observation_table.h"
#include "exchange/save_log.h"
#include "fleet/cache_store_report.h"
#include "http/client.h"
#include "http/server.h"

namespace calicodrift::exchange {

inline constexpr std::string_view kExchangePath = "/exchange";

struct NodeExchangeSettings {
  std::string node;
  /// Endpoint at which this node is reachable as a relay.
  Endpoint endpoint;
  /// Minimum interval between two reports. A shorter interval means that fewer nodes send requests
  /// to the same server without knowing of each other: with 90 model servers, 100 ms instead of 250
  /// ms gained 0.011 of the total value of a calm day and 0.018 of that of days with failures (mean
  /// of five runs, processor time not charged).
  Milliseconds minInterval{100};
  /// Maximum interval between two reports, reached if many servers make reports long.
  Milliseconds maxInterval{250};
  /// Bandwidth limit of the reports to one other node. The interval is derived from their length.
  double bytesPerSecond = 16'000;
  /// Lifetime of a report that is not renewed.
  Milliseconds term{1000};
  Milliseconds callTimeout{400};
};

/// Interval until the next report, given the number of servers in the last one.
Milliseconds intervalFor(const NodeExchangeSettings& settings, std::size_t servers);
/// Number of servers in the longest report that keeps within the bandwidth limit.
std::size_t maxReportedServers(const NodeExchangeSettings& settings);

/// Dependencies of the exchange on its node; must outlive it.
struct NodeExchangeContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  /// Relay that this node follows, if any.
  std::function<std::optional<Endpoint>()> relay;
  /// True if this node is a relay.
  std::function<bool()> isRelay;
  /// All relays except this node.
  std::function<std::vector<Endpoint>()> otherRelays;
  /// Load of this node itself.
  std::function<fleet::ServerLoads()> ownLoad;
  /// Receives the load of all other nodes as far as it is known. Called in every interval.
  std::function<void(const fleet::ServerLoads&)> onOtherLoads;
  /// Returns the cache parts that requests of this node have saved since the last call.
  std::function<std::vector<fleet::SavedPart>()> takeSaves;
  /// Receives the cache parts that requests of other nodes have saved.
  std::function<void(const std::vector<fleet::SavedPart>&)> onSaves;
  /// Times at which weights were named, as known to this node and as reported by others.
  std::function<std::vector<fleet::NamedWeights>()> namings;
  std::function<void(const std::vector<fleet::NamedWeights>&)> onNamings;
  /// State of the cache stores, which children receive from their parent.
  std::function<std::vector<fleet::CacheStoreReport>()> cacheStores;
  std::function<void(const std::vector<fleet::CacheStoreReport>&)> onCacheStores;
  /// Observations of running orders by this node, and the receiver of the sums over all other
  /// nodes, called in every interval. Both may be empty.
  std::function<service_rollout::ObservationTable()> ownObservations = {};
  std::function<void(const service_rollout::ObservationTable&)> onObservations = {};
};

/// Distributes to each node the load that all other nodes have on each server, a few hundred
/// milliseconds old, along the tree of relays. A node reports the load of its subtree to its parent
/// and receives the sum over all other nodes; roots exchange the sums of their trees. A node sends
/// and receives one report per interval plus one for each child, whatever the number of nodes. What
/// it receives has a bounded length, whatever the number of servers with load: the heaviest loads.
///
/// Observations of running orders are sent in the same reports, which are sent at the minimum
/// interval while an order runs. A rejection reaches every node as part of the observations: from a
/// leaf it takes at most one interval for each step up, across and down.
///
/// The data only affects the choice of servers and of cache moves, so any of it may be missing.
/// Without observations a candidate is judged later, and its permits expire by themselves.
class NodeExchange {
 public:
  NodeExchange(NodeExchangeContext context, NodeExchangeSettings settings);

  void start();
  /// HTTP handler for the reports of other nodes.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);

 private:
  boost::asio::awaitable<void> run();
  /// Starts the exchanges with other relays and passes the load of all other nodes to this node.
  void runRelayInterval();
  boost::asio::awaitable<void> reportTo(Endpoint parent);
  boost::asio::awaitable<void> exchangeWith(Endpoint relay);
  boost::asio::awaitable<Result<ExchangeReport>> send(Endpoint relay, ExchangeReport report);
  /// Load of this node and its children, excluding `except`.
  fleet::ServerLoads group(const std::string& except) const;
  /// Observations of this node and its children, excluding `except`.
  service_rollout::ObservationTable groupObservations(const std::string& except) const;
  /// Passes the observations of all other nodes to this node.
  void publishObservations(MonotonicTime now);
  Milliseconds interval(MonotonicTime now) const;
  /// Records the saves received from the peer `source`.
  void recordSaves(const std::vector<fleet::SavedPart>& saves, bool ownGroup,
                   const std::string& source);
  /// Records the saves of this node's requests.
  void collectSaves() { saves_.append(context_.takeSaves(), true, ""); }
  /// Returns the saves that the peer has not been sent yet and marks them as sent.
  std::vector<fleet::SavedPart> takeSavesFor(const std::string& peer, bool ownGroupOnly);
  /// True if this relay initiates the exchange with the other one, which receives this relay's
  /// report in the same call.
  bool shouldInitiate(const Endpoint& other, MonotonicTime now) const;
  /// Report of this relay's group for another relay.
  ExchangeReport groupReport(std::vector<fleet::SavedPart> saves) const;
  ExchangeReport handleReport(const ExchangeReport& report);

  NodeExchangeContext context_;
  NodeExchangeSettings settings_;
  LoadTable table_;
  ObservationTable observations_;
  SaveLog saves_;
  /// Number of servers in the last report or answer.
  std::size_t servers_ = 0;
  /// True once an answer was received since startup.
  bool answerReceived_ = false;
  /// Time of the last report from each other relay.
  std::map<std::string, MonotonicTime> lastReportAt_;
};

}  // namespace calicodrift::exchange
