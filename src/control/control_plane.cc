#include "control/control_plane.h"

#include <boost/asio.hpp>

namespace calicodrift::control {

namespace asio = boost::asio;

ControlPlane::ControlPlane(ControlPlaneSettings settings,
                           const ControlPlaneEnvironment& environment,
                           config::BundleHolder::Listener onBundle)
    : executor_(environment.executor),
      transport_(environment.transport),
      membership_(std::move(settings.membership), settings.self, transport_, settings.seed),
      configuration_(executor_, settings.configuration, std::move(settings.signingRule), transport_,
                     membership_, environment.client, environment.registry, std::move(onBundle)) {}

void ControlPlane::start() {
  transport_.setReceiver(peer::Channel::kMembership,
                         [this](const Endpoint& from, std::string_view payload) {
                           membership_.receive(monotonicNow(), from, payload);
                         });
  asio::co_spawn(executor_, tickForever(), asio::detached);
  configuration_.start();
}

asio::awaitable<void> ControlPlane::tickForever() {
  asio::steady_timer timer(executor_);
  for (;;) {
    membership_.tick(monotonicNow());
    timer.expires_after(membership_.settings().tickInterval());
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void ControlPlane::leave() {
  membership_.leave(monotonicNow());
}

}  // namespace calicodrift::control
