#include "sim/weight_store_server.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace calicodrift::sim {

namespace asio = boost::asio;
using asio::awaitable;

WeightStoreServer::WeightStoreServer(const asio::any_io_executor& executor,
                                     WeightStoreSettings settings)
    : executor_(executor),
      settings_(settings),
      server_(executor, http::ServerLimits{},
              [this](http::Request& request, http::ResponseWriter& writer) {
                return handle(request, writer);
              }) {}

awaitable<void> WeightStoreServer::handle(http::Request& request, http::ResponseWriter& writer) {
  if (request.path() == "/stats") {
    co_await http::respond(writer, stats());
    co_return;
  }
  if (!request.path().starts_with("/weights/")) {
    const Error error = fail(ErrorKind::kUnknownRoute, "use /weights/MODEL/VERSION or /stats");
    co_await http::respond(writer, http::errorResponse(error));
    co_return;
  }
  if (settings_.failLoads > 0) {
    --settings_.failLoads;
    const Error error = fail(ErrorKind::kOverloaded, "the weight store refuses this load");
    co_await http::respond(writer, http::errorResponse(error));
    co_return;
  }
  ++active_;
  peak_ = std::max(peak_, active_);
  co_await serveLoad();
  --active_;
  ++completed_;
  co_await http::respond(writer, http::jsonResponse(200, "{}"));
}

awaitable<void> WeightStoreServer::serveLoad() {
  constexpr Milliseconds kTick{10};
  asio::steady_timer timer(executor_);
  double remaining = toMilliseconds(settings_.loadTime);
  MonotonicTime last = monotonicNow();
  while (remaining > 0) {
    timer.expires_after(kTick);
    co_await timer.async_wait(asio::use_awaitable);
    const MonotonicTime now = monotonicNow();
    const double share =
        static_cast<double>(settings_.fullSpeedLoads) / static_cast<double>(active_);
    remaining -= toMilliseconds(now - last) * std::min(share, 1.0);
    last = now;
  }
}

http::Response WeightStoreServer::stats() const {
  const boost::json::object body{{"active", active_}, {"peak", peak_}, {"completed", completed_}};
  return http::jsonResponse(200, boost::json::serialize(body));
}

}  // namespace calicodrift::sim
