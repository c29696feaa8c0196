#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "http/client.h"
#include "relay/messages.h"
#include "relay/relay_settings.h"

namespace calicodrift::relay {

/// Reads the store's kinds from a relay.
///
/// Ages hold without a common clock: the reply says how long after the query's arrival its state
/// was the newest, and the query arrived after it was asked, so that the same time after the asking
/// is proven too.
class RelayClient {
 public:
  RelayClient(http::Client& client, const RelaySettings& settings)
      : client_(client), settings_(settings) {}

  /// Fails with kStoreUnavailable where the relay is silent or does not serve this node.
  boost::asio::awaitable<Result<store::Listing>> list(Endpoint relay, std::string kind);
  /// Also fails with kVersionConflict, as ObjectStore::watch() does.
  boost::asio::awaitable<Result<store::ChangeBatch>> watch(Endpoint relay, std::string kind,
                                                           store::Revision since,
                                                           Milliseconds wait);
  /// Asks for a place as a child, renews it, or only looks how the relay stands. Fails as
  /// peer::callPeer() does.
  boost::asio::awaitable<Result<JoinReply>> join(Endpoint relay, bool looksOnly);
  /// Tells a root of the newest list of roots. Gives whether it has taken note, or its process is
  /// gone.
  boost::asio::awaitable<bool> tellRoots(Endpoint root, RelayList list);

 private:
  boost::asio::awaitable<Result<ViewReply>> ask(Endpoint relay, ViewQuery query);

  http::Client& client_;
  const RelaySettings& settings_;
};

}  // namespace calicodrift::relay
