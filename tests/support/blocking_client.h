#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "http/client.h"

namespace calicodrift::testing {

/// Runs one coroutine on a context of its own and waits for its value.
template <typename Value>
Value runBlocking(const std::function<boost::asio::awaitable<Value>(http::Client&)>& body) {
  boost::asio::io_context context(1);
  http::Client client(context.get_executor());
  std::optional<Value> value;
  boost::asio::co_spawn(
      context, [&]() -> boost::asio::awaitable<void> { value = co_await body(client); },
      [&context](const std::exception_ptr&) { context.stop(); });
  context.run();
  return std::move(value.value());
}

/// One HTTP exchange from a test.
inline Result<http::Response> exchange(const Endpoint& endpoint, http::Request request,
                                       http::ExchangeOptions options = {}) {
  return runBlocking<Result<http::Response>>(
      [&](http::Client& client) { return client.exchange(endpoint, request, options); });
}

inline Result<http::Response> get(const Endpoint& endpoint, const std::string& target) {
  http::Request request;
  request.target = target;
  return exchange(endpoint, request);
}

inline Result<http::Response> post(const Endpoint& endpoint, const std::string& target,
                                   const std::string& body) {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return exchange(endpoint, request);
}

/// Asks `condition` again and again until it holds; false after a generous bound.
inline bool eventually(const std::function<bool()>& condition,
                       std::chrono::seconds bound = std::chrono::seconds(20)) {
  const auto end = std::chrono::steady_clock::now() + bound;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

}  // namespace calicodrift::testing
