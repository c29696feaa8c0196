#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "common/clock.h"

namespace calicodrift::forward {

/// Lets a request stop waiting when it ends, for whatever it waits at that time.
class WaitInterrupter {
 public:
  /// Wakes the present wait, which looks again whether it is still wanted.
  void interrupt() {
    if (wake_) {
      wake_();
    }
  }
  void onInterrupt(std::function<void()> wake) { wake_ = std::move(wake); }

 private:
  std::function<void()> wake_;
};

/// Waits for the operation, but no longer than its result is wanted. The operation goes on without
/// the waiter and must not refer to anything that ends with it.
/// @param isOver asked after each interrupt: whether nobody wants the result any more.
/// @param onLate called with a result that came after that, to return what was granted.
/// @return the result; empty if it came too late.
template <typename Value>
boost::asio::awaitable<std::optional<Value>> waitUnlessOver(
    boost::asio::any_io_executor executor, WaitInterrupter& interrupter,
    std::function<boost::asio::awaitable<Value>()> operation, std::function<bool()> isOver,
    std::function<void(Value)> onLate) {
  struct State {
    explicit State(const boost::asio::any_io_executor& executor) : ended(executor) {}

    boost::asio::steady_timer ended;
    std::optional<Value> value;
    std::exception_ptr failure;
    bool abandoned = false;
  };
  auto state = std::make_shared<State>(executor);
  boost::asio::co_spawn(
      executor,
      [state, operation = std::move(operation),
       onLate = std::move(onLate)]() -> boost::asio::awaitable<void> {
        Value value = co_await operation();
        if (state->abandoned) {
          onLate(std::move(value));
        } else {
          state->value.emplace(std::move(value));
        }
      },
      [state](const std::exception_ptr& failure) {
        state->failure = failure;
        state->ended.cancel();
      });
  interrupter.onInterrupt([state] { state->ended.cancel(); });
  while (!state->value && !state->failure && !isOver()) {
    state->ended.expires_at(MonotonicTime::max());
    co_await state->ended.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  interrupter.onInterrupt(nullptr);
  if (state->failure) {
    std::rethrow_exception(state->failure);
  }
  state->abandoned = !state->value.has_value();
  co_return std::move(state->value);
}

}  // namespace calicodrift::forward
