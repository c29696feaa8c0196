// A store that returns from a copy some seconds old, beside all other faults. The operator and the
// servers write again what they wrote, in any order and late. The configuration is large.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

constexpr std::size_t kIdleRoutes = 1400;
/// What was written is written again within this time after the return.
constexpr int kLatestWriteMs = 1500;

}  // namespace

void GatewaySoak::addIdleRoutes(json::array& routes) {
  for (std::size_t number = 0; number < kIdleRoutes; ++number) {
    json::object route = routes.front().as_object();
    const std::string name = "idle-" + std::to_string(number);
    route["name"] = name;
    route["path_prefix"] = "/" + name + "/";
    routes.push_back(std::move(route));
  }
}

awaitable<void> GatewaySoak::stormWithReturns() {
  const MonotonicTime end = monotonicNow() + length_;
  asio::co_spawn(context_, returnsInSeries(end, schedule_.split()), asio::detached);
  co_await stormAndCalm();
}

awaitable<void> GatewaySoak::returnsInSeries(MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    const bool withdrawnBefore = withdrawnAt_.has_value();
    store_.copy();
    co_await pause(draws.between(300, 3000));
    // A node that starts before the operator has written again can't know of the withdrawal.
    if (withdrawnAt_.has_value() == withdrawnBefore && !unheard_) {
      co_await returnFromCopy(draws.split());
    }
    co_await pause(draws.between(500, 3000));
  }
}

awaitable<void> GatewaySoak::returnFromCopy(Draws draws) {
  countFault("store returns from a copy");
  const FaultSpan span(storeFaults_);
  rolloutCheck_.onStoreFault(monotonicNow());
  store_.setMode(StoreStandIn::Mode::kBusy);
  co_await pause(draws.between(50, 600));
  store_.restoreCopy();
  store_.setMode(StoreStandIn::Mode::kUp);
  const MonotonicTime returned = monotonicNow();
  for (const std::unique_ptr<Server>& server : servers_) {
    asio::co_spawn(context_, publishLate(*server, draws.between(0, kLatestWriteMs)),
                   asio::detached);
  }
  co_await pause(draws.between(0, kLatestWriteMs / 2));
  store_.put("config", "main", configuration());
  co_await pause(draws.between(0, kLatestWriteMs / 2));
  putNaming();
  asio::steady_timer all(context_, returned + Milliseconds(kLatestWriteMs));
  co_await all.async_wait(asio::use_awaitable);
}

awaitable<void> GatewaySoak::publishLate(const Server& server, Milliseconds delay) {
  co_await pause(delay);
  publish(server);
}

}  // namespace calicodrift::testing
