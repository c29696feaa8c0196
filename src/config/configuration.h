#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "config/bundle_holder.h"
#include "config/metrics.h"
#include "config/relay.h"
#include "config/roster.h"
#include "config/store_watcher.h"
#include "config/vouching.h"
#include "http/client.h"
#include "http/message.h"
#include "peer/directory.h"

namespace calicodrift::config {

/// What a node does while it can't vouch that its version is the newest accepted one.
enum class UnvouchedAction { kServe, kRefuse };
/// Fails with kSettingsInvalid.
Result<UnvouchedAction> parseUnvouchedAction(std::string_view text);

struct ConfigurationSettings {
  StoreWatcherSettings store;
  RelaySettings relay;
  std::size_t watchersPerZone = 2;
  /// How old the store's newest confirmation may be.
  Milliseconds vouchTerm{7000};
  UnvouchedAction unvouchedAction = UnvouchedAction::kServe;
};

/// The configuration of one node: the bundle in force, how it is kept up to date through the store
/// and the peers, and whether this node vouches for it. Runs on the executor's one thread.
class Configuration {
 public:
  Configuration(boost::asio::any_io_executor executor, const ConfigurationSettings& settings,
                bundle::SigningRule rule, peer::Transport& transport,
                const peer::PeerDirectory& directory, http::Client& client,
                prometheus::Registry& registry, BundleHolder::Listener listener);

  void start();
  /// Null until a first bundle was adopted.
  std::shared_ptr<const bundle::Bundle> current() const { return holder_.current(); }
  bool vouched() const { return vouching_.vouched(monotonicNow()); }
  /// Why no request can be served now, as an error to answer; nothing where requests are served.
  std::optional<Error> refusal() const;
  /// JSON of /admin/bundle.
  std::string statusJson(const std::string& node, const std::string& zone) const;
  /// Sets the version headers that every answer carries.
  void mark(http::Response& response) const;

 private:
  boost::asio::awaitable<void> tickForever();

  boost::asio::any_io_executor executor_;
  ConfigurationSettings settings_;
  peer::Transport& transport_;
  ConfigMetrics metrics_;
  BundleHolder holder_;
  Vouching vouching_;
  Roster roster_;
  Relay relay_;
  StoreWatcher watcher_;
};

}  // namespace calicodrift::config
