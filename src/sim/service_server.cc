#include "sim/service_server.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace calicodrift::sim {

ServiceServer::ServiceServer(const boost::asio::any_io_executor& executor, BackendId id,
                             Milliseconds workTime)
    : executor_(executor),
      id_(std::move(id)),
      workTime_(workTime),
      server_(executor, http::ServerLimits{},
              [this](http::Request& request, http::ResponseWriter& writer) {
                return handle(request, writer);
              }) {}

boost::asio::awaitable<void> ServiceServer::handle(http::Request& request,
                                                   http::ResponseWriter& writer) {
  if (request.path() == "/stats") {
    co_await http::respond(writer, stats());
    co_return;
  }
  if (request.path() == "/health") {
    http::Response response =
        http::jsonResponse(200, boost::json::serialize(boost::json::object{{"id", id_.value()}}));
    co_await http::respond(writer, std::move(response));
    co_return;
  }
  std::uint64_t runs = 0;
  if (request.method != "GET") {
    runs = ++runsByKey_[request.headers.get(http::kIdempotencyKeyHeader)];
    ++runsByRequest_[request.headers.get(http::kRequestIdHeader)];
  }
  boost::asio::steady_timer timer(executor_, workTime_);
  co_await timer.async_wait(boost::asio::use_awaitable);
  const boost::json::object body{{"service", id_.value()},
                                 {"method", request.method},
                                 {"path", request.target},
                                 {"echo", request.body},
                                 {"runs_of_key", runs}};
  http::Response response = http::jsonResponse(200, boost::json::serialize(body));
  response.headers.set(http::kRequestIdHeader, request.headers.get(http::kRequestIdHeader));
  response.headers.set(http::kAttemptHeader, request.headers.get(http::kAttemptHeader));
  co_await http::respond(writer, std::move(response));
}

http::Response ServiceServer::stats() const {
  const auto toObject = [](const std::unordered_map<std::string, std::uint64_t>& counts) {
    boost::json::object object;
    for (const auto& [name, count] : counts) {
      object[name] = count;
    }
    return object;
  };
  const boost::json::object body{{"runs", toObject(runsByKey_)},
                                 {"runs_by_request", toObject(runsByRequest_)}};
  return http::jsonResponse(200, boost::json::serialize(body));
}

}  // namespace calicodrift::sim
