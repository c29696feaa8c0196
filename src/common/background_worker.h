#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

namespace calicodrift {

/// A thread for work that would hold the event loop for long, such as decoding large inputs. The
/// thread starts with the first piece of work; pieces run one after the other. The destructor waits
/// for the piece that is running.
class BackgroundWorker {
 public:
  /// Runs `function` on the thread and resumes on the caller's executor with its result. The
  /// function must not touch anything that the caller's thread changes meanwhile. Pass a named
  /// function object: g++ 12 destroys a temporary with captures twice.
  template <typename Function>
  boost::asio::awaitable<std::invoke_result_t<Function>> run(Function function) {
    using Value = std::invoke_result_t<Function>;
    if (!thread_) {
      thread_ = std::make_unique<boost::asio::thread_pool>(1);
    }
    auto result = std::make_shared<std::optional<Value>>();
    co_await boost::asio::co_spawn(thread_->get_executor(), fill(std::move(function), result),
                                   boost::asio::use_awaitable);
    co_return std::move(**result);
  }

 private:
  template <typename Function, typename Value>
  static boost::asio::awaitable<void> fill(Function function,
                                           std::shared_ptr<std::optional<Value>> result) {
    result->emplace(function());
    co_return;
  }

  std::unique_ptr<boost::asio::thread_pool> thread_;
};

}  // namespace calicodrift
