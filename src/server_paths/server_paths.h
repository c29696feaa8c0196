#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "http/client.h"
#include "server_paths/calls_in_flight.h"
#include "server_paths/messages.h"
#include "server_paths/metrics.h"
#include "server_paths/path_table.h"
#include "server_paths/peer_table.h"
#include "server_paths/recent_servers.h"

namespace calicodrift::server_paths {

/// Reason of a failed call that was ended because its path was lost: it says nothing about the
/// server.
inline constexpr std::string_view kPathLost = "path_lost";

/// Reason of a failed call that was ended because its server was silent on all paths.
inline constexpr std::string_view kServerSilent = "server_silent";

/// A sound server may be silent for a second or so and go on; a request whose server is silent for
/// longer goes to another one if it may.
inline constexpr Milliseconds kMaxServerSilence{1600};

struct ServerPathsSettings {
  /// Name of this node, and the endpoint at which other nodes reach it. Without a port the node
  /// knows no others, and all paths are direct.
  std::string node;
  Endpoint endpoint;
  /// A direct connection that takes longer is raced by one through another node.
  Milliseconds hedgeDelay{60};
  /// The same while other direct paths have just been lost.
  Milliseconds suspectHedgeDelay{8};
  /// For a tunnel to be open. Longer than the other node waits for the server.
  Milliseconds tunnelTimeout{200};
  /// Silence of a server after which its direct path is checked; shorter while other paths have
  /// just been lost.
  Milliseconds silenceBeforeCheck{300};
  Milliseconds suspectSilence{100};
  /// A check asks through another node, too, if there is no direct answer after this time.
  Milliseconds witnessDelay{20};
  Milliseconds checkTimeout{200};
  Milliseconds maxServerSilence = kMaxServerSilence;
  Milliseconds tickInterval{50};
  PathTableSettings table;
};

/// Dependencies of ServerPaths; they outlive it and run on its thread.
struct ServerPathsContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  ServerPathMetrics& metrics;
  /// Nodes that this one knows from its place in the relay tree.
  std::function<std::vector<Endpoint>()> neighbours;
  /// Whether the endpoint is that of a listed server or cache store.
  std::function<bool(const Endpoint&)> isListed;
  /// A cheap query to the server at the endpoint, whose answer shows that the path works. Empty: a
  /// connection is enough.
  std::function<std::optional<http::Request>(const Endpoint&)> pathQuery;
  /// Called when a direct path is lost.
  std::function<void(const Endpoint&)> onLost;
  /// Called when a server that is connected to is silent on all paths.
  std::function<void(const Endpoint&)> onSilent;
};

/// Whether a call may pass through another node.
enum class RelayUse { kAllowed, kNever };

struct PathOptions {
  http::ConnectionUse use = http::ConnectionUse::kPooled;
  RelayUse relay = RelayUse::kAllowed;
  Milliseconds connectTimeout{300};
  Milliseconds unacknowledgedTimeout{0};
  /// Round-trip time to the server; 0 if unknown.
  double rttMs = 0;
  /// See http::ConnectOptions::request.
  http::RequestKey request;
  http::ExchangeCanceller* canceller = nullptr;
};

/// Finds for each call to a server a connection on a path that works: directly, or through a tunnel
/// of another node. What is sent, and whether it may be sent again, remains with the caller.
///
/// A direct path counts as lost once it fails while another node reaches the server; it is probed
/// until it works again. A server that no other node reaches either is left to the caller's view of
/// its health. Paths are often lost together: after a loss the paths to all recently used servers
/// are checked, so that calls need not find out one by one.
///
/// Two observations at different moments do not compare, as a sound server may stand still for a
/// second and go on. Silence proves a loss only if a direct question stays unanswered that was
/// begun after another node had reached the server, while one that was begun later through another
/// node is answered. A refusal of a direct connection needs only the second witness.
///
/// Invariant: another node passes a call on over its own direct connection only (TunnelService), so
/// no call passes through two nodes.
class ServerPaths {
 public:
  ServerPaths(ServerPathsContext context, ServerPathsSettings settings, std::uint64_t seed);

  void start();
  /// Fails with kConnectFailed: nothing was sent. The reason is http::kConnectionRefused only if
  /// another node was refused, too, or none is known.
  boost::asio::awaitable<Result<http::ClientConnection>> connect(Endpoint server,
                                                                 PathOptions options);
  /// connect(), and Client::send() of the request.
  boost::asio::awaitable<Result<std::unique_ptr<http::ResponseStream>>> open(
      Endpoint server, http::Request request, PathOptions path, http::ExchangeOptions options);

  /// Registers a call that is about to be sent on the connection.
  std::shared_ptr<CallInFlight> beginCall(const http::ConnectionPath& path, MovePermission mayMove,
                                          http::ExchangeCanceller* canceller);
  void recordBytes(CallInFlight& call) { calls_.recordBytes(call, monotonicNow()); }
  /// Returns the error with the reason for which the call was ended, or with kPathLost if its
  /// direct path has been lost since it was sent; checks a direct path on which an answer broke
  /// off.
  Error explainFailure(const CallInFlight& call, Error error);

  /// Asks the node that carried the tunnel whether the server has ended it. Empty without an answer
  /// in time; false if that node has ended, or does not know how its tunnels end.
  boost::asio::awaitable<std::optional<bool>> serverEndedTunnel(http::Tunnel tunnel);

  bool isLost(const Endpoint& server) const { return table_.isLost(server); }
  std::size_t lostCount() const { return table_.lostCount(); }

 private:
  struct Race;
  struct PathInquiry;
  enum class PathState { kWorks, kLost, kSilent };
  /// What the caller of a check already knows.
  enum class Witness { kNone, kOtherNodeReachedServer };
  struct PathCheck {
    bool underWay = false;
    MonotonicTime nextAt{};
    Milliseconds pause{0};
  };

  bool mayRelay(const PathOptions& options) const;
  http::ConnectOptions directOptions(const PathOptions& options) const;
  Milliseconds hedgeDelay(const PathOptions& options, MonotonicTime now) const;

  boost::asio::awaitable<Result<http::ClientConnection>> connectLost(Endpoint server,
                                                                     PathOptions options);
  boost::asio::awaitable<Result<http::ClientConnection>> race(Endpoint server, PathOptions options);
  boost::asio::awaitable<void> runDirect(std::shared_ptr<Race> race, Endpoint server,
                                         http::ConnectOptions options);
  boost::asio::awaitable<void> runRelayed(std::shared_ptr<Race> race, Endpoint server,
                                          PathOptions options);
  Result<http::ClientConnection> judge(Race& race, const Endpoint& server);
  /// Opens a tunnel through one of a few other nodes, or takes an idle one.
  boost::asio::awaitable<Result<http::ClientConnection>> connectRelayed(Endpoint server,
                                                                        PathOptions options);
  void recordPeerTry(const Endpoint& peer, const Result<http::ClientConnection>& tried);

  void loseDirectPath(const Endpoint& server, std::string_view cause);
  void regainDirectPath(const Endpoint& server);

  boost::asio::awaitable<void> tick();
  void checkSilentServers(MonotonicTime now);
  void startCheck(const Endpoint& server, MonotonicTime now, Witness witness = Witness::kNone);
  /// Schedules checks of the paths to recently used servers, unless that was done just now.
  void beginSweep(MonotonicTime now);
  /// Starts the next checks of a sweep.
  void continueSweep(MonotonicTime now);
  boost::asio::awaitable<void> checkPath(Endpoint server, Witness witness);
  boost::asio::awaitable<PathState> findPathState(Endpoint server, Witness witness);
  /// Asks directly and, without an answer soon, through another node. Returns once the server has
  /// answered on either path, or has answered on none in time.
  boost::asio::awaitable<void> askOnBothPaths(std::shared_ptr<PathInquiry> inquiry,
                                              std::size_t round, Endpoint server);
  /// Waits until the direct question of the round has had its time.
  boost::asio::awaitable<void> awaitDirectAnswer(std::shared_ptr<PathInquiry> inquiry,
                                                 std::size_t round);
  boost::asio::awaitable<void> askDirectly(std::shared_ptr<PathInquiry> inquiry, std::size_t round,
                                           Endpoint server);
  boost::asio::awaitable<void> askThroughPeer(std::shared_ptr<PathInquiry> inquiry,
                                              std::size_t round, Endpoint server);
  boost::asio::awaitable<void> probeDirect(Endpoint server);
  boost::asio::awaitable<Result<http::ClientConnection>> connectFresh(Endpoint server,
                                                                      Milliseconds timeout);
  /// Whether the server answers the path query on this connection.
  boost::asio::awaitable<bool> answersOn(http::ClientConnection connection, Milliseconds timeout);

  boost::asio::awaitable<void> learnPeers();
  boost::asio::awaitable<void> askForPeers(Endpoint peer);
  /// Watches a node that has opened tunnels for this one, until it is no longer used.
  boost::asio::awaitable<void> watchPeer(Endpoint peer);
  void startWatching(const Endpoint& peer);
  /// Ends silent movable calls on the paths that satisfy `onPath`; see CallsInFlight::endSilent().
  void moveSilentCalls(const std::function<bool(const http::ConnectionPath&)>& onPath,
                       Milliseconds silence, std::string_view reason);
  void losePeer(const Endpoint& peer, std::string_view cause);
  boost::asio::awaitable<Result<TunnelStatus>> askStatus(Endpoint peer);

  ServerPathsContext context_;
  ServerPathsSettings settings_;
  PathTable table_;
  /// Shared with calls, which a stopped event loop destroys after this object.
  std::shared_ptr<PeerTable> peers_;
  CallsInFlight calls_;
  std::map<Endpoint, PathCheck> checks_;
  RecentServers recentServers_;
  /// Servers that the current sweep has not checked yet.
  std::deque<Endpoint> sweep_;
  MonotonicTime sweptAt_{};
  std::set<Endpoint> probing_;
  std::set<Endpoint> watched_;
  /// A known node could not be reached since others were last asked for theirs.
  bool peersStale_ = false;
  std::mt19937_64 random_;
};

}  // namespace calicodrift::server_paths
