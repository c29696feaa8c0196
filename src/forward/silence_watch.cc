#include "forward/silence_watch.h"

#include <boost/asio.hpp>
#include <optional>
#include <utility>

namespace calicodrift::forward {

namespace asio = boost::asio;

/// Shared with the timer's handler, which may run after the watch has been destroyed.
struct SilenceWatch::State : std::enable_shared_from_this<State> {
  State(const asio::any_io_executor& executor, Permission givenMayMove,
        std::function<void()> givenOnMove)
      : mayMove(std::move(givenMayMove)), onMove(std::move(givenOnMove)), timer(executor) {}

  /// The timer is set once for many waits: each wait only moves the time that it is compared with.
  void arm(MonotonicTime at) {
    armed = true;
    timer.expires_at(at);
    timer.async_wait([self = shared_from_this()](boost::system::error_code code) {
      if (code) {
        return;
      }
      self->armed = false;
      if (self->silentUntil) {
        self->onTimer();
      }
    });
  }
  void onTimer() {
    const MonotonicTime now = monotonicNow();
    if (now < *silentUntil) {
      arm(*silentUntil);
    } else if (mayMove()) {
      moved = true;
      silentUntil.reset();
      onMove();
    } else {
      arm(now + kAskInterval);
    }
  }

  const Permission mayMove;
  const std::function<void()> onMove;
  asio::steady_timer timer;
  bool armed = false;
  bool moved = false;
  /// Empty while nothing is expected of the server.
  std::optional<MonotonicTime> silentUntil;
};

SilenceWatch::SilenceWatch(const asio::any_io_executor& executor, Permission mayMove,
                           std::function<void()> onMove)
    : state_(std::make_shared<State>(executor, std::move(mayMove), std::move(onMove))) {}

SilenceWatch::~SilenceWatch() {
  state_->silentUntil.reset();
  state_->timer.cancel();
}

void SilenceWatch::begin(Milliseconds patience) {
  if (!state_->mayMove || state_->moved) {
    return;
  }
  state_->silentUntil = monotonicNow() + patience;
  const bool late = state_->armed && state_->timer.expiry() > *state_->silentUntil;
  if (!state_->armed || late) {
    state_->arm(*state_->silentUntil);
  }
}

void SilenceWatch::end() {
  state_->silentUntil.reset();
}

bool SilenceWatch::moved() const {
  return state_->moved;
}

}  // namespace calicodrift::forward
