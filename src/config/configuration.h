#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "config/bundle_holder.h"
#include "config/freshness_tracker.h"
#include "config/metrics.h"
#include "config/relay.h"
#include "config/roster.h"
#include "config/store_watcher.h"
#include "http/client.h"
#include "http/message.h"
#include "peer/directory.h"

namespace calicodrift::config {

/// Behavior while the active version is not confirmed to be the newest accepted one.
enum class UnconfirmedAction { kServe, kRefuse };
/// Parses "serve" or "refuse". Fails with kSettingsInvalid for any other text.
Result<UnconfirmedAction> parseUnconfirmedAction(std::string_view text);

struct ConfigurationSettings {
  StoreWatcherSettings store;
  RelaySettings relay;
  std::size_t watchersPerZone = 2;
  /// Maximum age of the latest confirmation by the store.
  Milliseconds confirmationTerm{7000};
  UnconfirmedAction unconfirmedAction = UnconfirmedAction::kServe;
};

/// Configuration of one node: the active bundle, its updates through the store and the peers, and
/// whether it is confirmed to be current. Runs on the single thread of the executor.
class Configuration {
 public:
  Configuration(boost::asio::any_io_executor executor, const ConfigurationSettings& settings,
                bundle::SigningRule rule, peer::Transport& transport,
                const peer::PeerDirectory& directory, http::Client& client,
                prometheus::Registry& registry, BundleHolder::Listener listener);

  void start();
  /// Returns null until a first bundle was adopted.
  std::shared_ptr<const bundle::Bundle> current() const { return holder_.current(); }
  bool confirmed() const { return freshness_.confirmed(monotonicNow()); }
  /// Error with which requests must be answered now, or nullopt if they can be served.
  std::optional<Error> refusal() const;
  /// Response body of /admin/bundle, as JSON.
  std::string statusJson(const std::string& node, const std::string& zone) const;
  /// Sets the configuration version headers that every response carries.
  void mark(http::Response& response) const;

 private:
  boost::asio::awaitable<void> runTicks();

  boost::asio::any_io_executor executor_;
  ConfigurationSettings settings_;
  peer::Transport& transport_;
  ConfigMetrics metrics_;
  BundleHolder holder_;
  FreshnessTracker freshness_;
  Roster roster_;
  Relay relay_;
  StoreWatcher watcher_;
};

}  // namespace calicodrift::config
