#include "control/control_plane.h"

namespace calicodrift::control {

ControlPlane::ControlPlane(ControlPlaneSettings settings, peer::Transport& transport, Clock clock)
    : clock_(std::move(clock)),
      membership_(std::move(settings.membership), settings.self, transport, settings.seed) {
  transport.setReceiver(peer::Channel::kMembership,
                        [this](const Endpoint& from, std::string_view payload) {
                          membership_.receive(clock_(), from, payload);
                        });
}

void ControlPlane::tick() {
  membership_.tick(clock_());
}

}  // namespace calicodrift::control
