#include "config/configuration.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "log/log.h"

namespace calicodrift::config {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
constexpr Milliseconds kTickInterval{100};

}  // namespace

Result<UnconfirmedAction> parseUnconfirmedAction(std::string_view text) {
  if (text == "serve") {
    return UnconfirmedAction::kServe;
  }
  if (text == "refuse") {
    return UnconfirmedAction::kRefuse;
  }
  return fail(ErrorKind::kSettingsInvalid,
              "config-unvouched-action: '" + std::string(text) + "' is neither serve nor refuse");
}

Configuration::Configuration(asio::any_io_executor executor, const ConfigurationSettings& settings,
                             bundle::SigningRule rule, peer::Transport& transport,
                             const peer::PeerDirectory& directory, http::Client& client,
                             prometheus::Registry& registry, BundleHolder::Listener listener)
    : executor_(std::move(executor)),
      settings_(settings),
      transport_(transport),
      metrics_(registry),
      holder_(std::move(rule), std::move(listener)),
      freshness_(settings.confirmationTerm, holder_),
      roster_(directory, settings.watchersPerZone),
      relay_(settings.relay, transport, roster_, holder_, freshness_, metrics_,
             settings.store.seed),
      watcher_(executor_, settings.store, client, roster_, holder_, freshness_, metrics_,
               [this] { relay_.announceIfNew(monotonicNow()); }) {}

void Configuration::start() {
  transport_.setReceiver(peer::Channel::kConfig,
                         [this](const Endpoint& from, std::string_view payload) {
                           relay_.receive(from, payload, monotonicNow());
                         });
  watcher_.start();
  asio::co_spawn(executor_, runTicks(), asio::detached);
}

asio::awaitable<void> Configuration::runTicks() {
  asio::steady_timer timer(executor_);
  bool wasConfirmed = false;
  for (;;) {
    const MonotonicTime now = monotonicNow();
    relay_.tick(now);
    const bool isConfirmed = freshness_.confirmed(now);
    const std::optional<Milliseconds> age = freshness_.age(now);
    metrics_.setConfirmed(isConfirmed);
    metrics_.setConfirmationAge(age ? std::chrono::duration<double>(*age).count() : -1);
    if (isConfirmed != wasConfirmed) {
      log::write(isConfirmed ? log::Level::kInfo : log::Level::kWarning,
                 isConfirmed ? "config_vouched" : "config_unvouched",
                 {{"version", std::to_string(holder_.version().value())}});
      wasConfirmed = isConfirmed;
    }
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::optional<Error> Configuration::refusal() const {
  if (!holder_.current()) {
    return fail(ErrorKind::kNoConfiguration, "no signed bundle has been received yet");
  }
  if (settings_.unconfirmedAction == UnconfirmedAction::kRefuse && !confirmed()) {
    return fail(ErrorKind::kNoConfiguration,
                "the configuration has not been confirmed within config-vouch-term-ms");
  }
  return std::nullopt;
}

std::string Configuration::statusJson(const std::string& node, const std::string& zone) const {
  const MonotonicTime now = monotonicNow();
  json::object status{{"node", node},
                      {"zone", zone},
                      {"bundle_version", holder_.version().value()},
                      {"vouched", freshness_.confirmed(now)},
                      {"watcher", roster_.isWatcher()}};
  if (const std::optional<Milliseconds> age = freshness_.age(now)) {
    status["confirmation_age_ms"] = age->count();
  }
  return json::serialize(status);
}

void Configuration::mark(http::Response& response) const {
  response.headers.set(http::kConfigVersionHeader, std::to_string(holder_.version().value()));
  if (!confirmed()) {
    response.headers.set(http::kConfigVouchedHeader, "false");
  }
}

}  // namespace calicodrift::config
