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

  /// Fails with kOverloaded (it serves as many as it may) or kStoreUnavailable (any other reason to
  /// go elsewhere).
  boost::asio::awaitable<Result<store::Listing>> list(Endpoint relay, std::string kind);
  /// Also fails with kVersionConflict, as ObjectStore::watch() does.
  boost::asio::awaitable<Result<store::ChangeBatch>> watch(Endpoint relay, std::string kind,
                                                           store::Revision since,
                                                           Milliseconds wait);

 private:
  boost::asio::awaitable<Result<ViewReply>> ask(Endpoint relay, ViewQuery query);

  http::Client& client_;
  const RelaySettings& settings_;
};

}  // namespace calicodrift::relay
