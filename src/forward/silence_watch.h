#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "common/clock.h"

namespace calicodrift::forward {

/// Ends the wait for a silent server once another one may take its request over. Without that
/// permission the wait goes on, and the permission is asked for again: a silent server may be sound
/// and go on, and an answer that was given up without a successor is lost.
class SilenceWatch {
 public:
  /// Whether another server may take the request over now.
  using Permission = std::function<bool()>;

  /// @param mayMove empty: the watch does nothing.
  /// @param onMove called at most once, after a permission.
  SilenceWatch(const boost::asio::any_io_executor& executor, Permission mayMove,
               std::function<void()> onMove);
  ~SilenceWatch();
  SilenceWatch(const SilenceWatch&) = delete;
  SilenceWatch& operator=(const SilenceWatch&) = delete;

  /// Begins to wait for the server, which may be silent for `patience` from now on.
  void begin(Milliseconds patience);
  /// The server was heard, or nothing is expected of it now.
  void end();
  /// Whether the request was given up here.
  bool moved() const;

  /// Time between two questions for a permission.
  static constexpr Milliseconds kAskInterval{50};

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace calicodrift::forward
