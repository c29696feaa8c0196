#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "http/client.h"
#include "relay/listing_snapshot.h"
#include "relay/messages.h"
#include "relay/relay_settings.h"

namespace calicodrift::relay {

/// Reads the kinds of the store from a relay.
///
/// View ages need no synchronized clocks. A reply states how long after the arrival of the query
/// its state was current. The query arrived after it was sent, so the state was also current that
/// long after the sending.
class RelayClient {
 public:
  RelayClient(http::Client& client, const RelaySettings& settings)
      : client_(client), settings_(settings) {}

  /// Fails with kStoreUnavailable if the relay does not answer or does not serve this node.
  /// @param held the large specs that this node has; the relay sends what changed of them.
  boost::asio::awaitable<Result<store::Listing>> list(Endpoint relay, std::string kind,
                                                      HeldTexts held);
  /// A listing as a snapshot with the changes since. Fails as list(), with reason
  /// peer::kUnknownPath if the relay is of a build without snapshots.
  boost::asio::awaitable<Result<SnapshotReply>> snapshot(Endpoint relay, std::string kind);
  /// Also fails with kVersionConflict, as ObjectStore::watch() does.
  boost::asio::awaitable<Result<store::ChangeBatch>> watch(Endpoint relay, std::string kind,
                                                           store::Revision since, Milliseconds wait,
                                                           HeldTexts held);
  /// Asks for a place as a child or renews it. With `probeOnly`, only asks for the relay's state.
  /// Fails as peer::callPeer() does.
  boost::asio::awaitable<Result<JoinReply>> join(Endpoint relay, bool probeOnly);
  /// Sends the newest list of roots to a root. Returns whether the root knows this list or a newer
  /// one, or its process is gone (connection refused).
  boost::asio::awaitable<bool> sendRoots(Endpoint root, RelayList list);

 private:
  boost::asio::awaitable<Result<ViewReply>> ask(Endpoint relay, ViewQuery query, HeldTexts held);
  /// Asks a relay of a build that knows kPatchedViewPath.
  boost::asio::awaitable<Result<ViewReply>> askForPatches(Endpoint relay, ViewQuery query,
                                                          HeldTexts held,
                                                          Milliseconds headerTimeout);
  /// Whether the relay may answer calls of the path.
  bool knowsPath(const Endpoint& relay, std::string_view path) const;
  /// The relay is of an earlier build, or its answers of the path can't be used.
  void avoidPath(const Endpoint& relay, std::string_view path);

  http::Client& client_;
  const RelaySettings& settings_;
  /// Paths that relays don't answer, with the time at which they are asked again, as they may have
  /// been replaced.
  std::map<std::pair<Endpoint, std::string_view>, MonotonicTime> avoidedPaths_;
};

}  // namespace calicodrift::relay
