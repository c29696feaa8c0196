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
  /// Where this node is reached as a relay.
  Endpoint endpoint;
  /// Between two reports. The shorter it is, the less several nodes send to the same server at once
  /// without knowing of each other: with 90 model servers 100 ms in place of 250 ms earn 0.011 of a
  /// calm day's worth and 0.018 of days with trouble (mean of five, processor time not charged).
  Milliseconds shortestInterval{100};
  /// Where many servers make reports long.
  Milliseconds longestInterval{250};
  /// What reports to one other node may take; the interval follows from their length.
  double bytesPerSecond = 16'000;
  /// Reports that are not renewed for so long count no longer.
  Milliseconds term{1000};
  Milliseconds callTimeout{400};
};

/// Until the next report where the last one told of so many servers.
Milliseconds intervalFor(const NodeExchangeSettings& settings, std::size_t servers);

/// What the exchange needs of the node; outlives it.
struct NodeExchangeContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  /// The relay that this node follows.
  std::function<std::optional<Endpoint>()> relay;
  /// Whether this node is a relay.
  std::function<bool()> isRelay;
  /// All relays but this node.
  std::function<std::vector<Endpoint>()> otherRelays;
  /// This node's own load.
  std::function<fleet::ServerLoads()> own;
  /// All others' load, as far as it is known. Called in each interval.
  std::function<void(const fleet::ServerLoads&)> onOthers;
  /// What this node's requests have saved since the last call.
  std::function<std::vector<fleet::SavedPart>()> takeSaves;
  /// What others' requests have saved.
  std::function<void(const std::vector<fleet::SavedPart>&)> onSaves;
  /// When weights were named, as this node heard it, and as others did.
  std::function<std::vector<fleet::NamedWeights>()> namings;
  std::function<void(const std::vector<fleet::NamedWeights>&)> onNamings;
  /// How the stores of kept cache stand, which children learn from their parent.
  std::function<std::vector<fleet::CacheStoreReport>()> cacheStores;
  std::function<void(const std::vector<fleet::CacheStoreReport>&)> onCacheStores;
  /// What this node saw of the orders that run, and the sums of what all others did, called in each
  /// interval. Both may be empty.
  std::function<service_rollout::ObservationTable()> ownObservations = {};
  std::function<void(const service_rollout::ObservationTable&)> onObservations = {};
};

/// Tells each node what the others have under way at each server, some hundred milliseconds old,
/// along the tree of relays: a node tells its parent the load of itself and all below it, and gets
/// the sum of all others'; roots swap the sums of their trees. A node sends and receives one report
/// an interval, and one for each child, whatever the number of nodes.
///
/// Observations of running orders travel in the same reports, and while there are any, reports are
/// sent in the shortest interval. A rejection reaches every node as a part of them: from a leaf it
/// takes an interval at most for each step up, across and down.
///
/// Nothing depends on what is told but the choice among servers and of moves of cache, so that any
/// of it may be missing; without observations a candidate is judged later, and its permits end by
/// themselves.
class NodeExchange {
 public:
  NodeExchange(NodeExchangeContext context, NodeExchangeSettings settings);

  void start();
  /// Answers another node's report.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);

 private:
  boost::asio::awaitable<void> run();
  /// Starts the swaps with other relays, and tells this node of the others' load.
  void actAsRelay();
  boost::asio::awaitable<void> reportTo(Endpoint parent);
  boost::asio::awaitable<void> swapWith(Endpoint relay);
  boost::asio::awaitable<Result<ExchangeReport>> send(Endpoint relay, ExchangeReport report);
  /// Own load and the children's, without `except`.
  fleet::ServerLoads group(const std::string& except) const;
  /// The same of observations.
  service_rollout::ObservationTable groupObservations(const std::string& except) const;
  /// Tells this node what all others saw.
  void tellObservations(MonotonicTime now);
  Milliseconds interval(MonotonicTime now) const;
  /// What others have saved, as `teller` tells it.
  void learnSaves(const std::vector<fleet::SavedPart>& saves, bool ownGroup,
                  const std::string& teller);
  /// What this node's requests have saved.
  void collectSaves() { saves_.append(context_.takeSaves(), true, ""); }
  /// What a peer that asks has not been told yet.
  std::vector<fleet::SavedPart> takeSavesFor(const std::string& peer, bool ownGroupOnly);
  /// Whether this relay asks the other one, which then learns in the same call.
  bool mustAsk(const Endpoint& other, MonotonicTime now) const;
  /// This relay's group, for another relay.
  ExchangeReport groupReport(std::vector<fleet::SavedPart> saves) const;
  ExchangeReport answerTo(const ExchangeReport& report);

  NodeExchangeContext context_;
  NodeExchangeSettings settings_;
  LoadTable table_;
  ObservationTable observations_;
  SaveLog saves_;
  /// Servers that the last report or answer told of.
  std::size_t servers_ = 0;
  /// Whether an answer came since the start.
  bool heard_ = false;
  /// When each other relay asked this one last.
  std::map<std::string, MonotonicTime> askedAt_;
};

}  // namespace calicodrift::exchange
