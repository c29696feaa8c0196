// A configuration whose transfer takes longer than the silence after which a call counts as lost.
#include <time.h>

#include "gateway_fixture.h"
#include "relay/relayed_store.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// The usual routes and `more` that nobody asks for.
json::value largeConfiguration(std::uint64_t version, std::size_t more) {
  json::value made = GatewayFixture::configuration(version);
  json::array& routes = made.at("routes").as_array();
  for (std::size_t number = 0; number < more; ++number) {
    json::object route = routes.front().as_object();
    route["name"] = "idle-" + std::to_string(number);
    route["path_prefix"] = "/idle-" + std::to_string(number) + "/";
    routes.push_back(std::move(route));
  }
  return made;
}

}  // namespace

// A read of the store is given up for silence only. Where it was given up after a fixed time, a
// body that took longer was thrown away and asked for again, and no node ever got it.
BOOST_AUTO_TEST_CASE(aViewThatArrivesSlowlyIsReadToItsEnd) {
  constexpr Milliseconds kSilence{225};
  constexpr std::size_t kBytesPerSecond = 400'000;
  asio::io_context context;
  StoreStandIn stand(context);
  stand.put("config", "main", largeConfiguration(1, 1400));
  http::Client client(context.get_executor());
  platform::OperatorStore direct(client, stand.listenBehindLink(kBytesPerSecond));
  const relay::RelaySettings settings;
  relay::RelayClient relays(client, settings);
  relay::RelayedStore store(context.get_executor(), direct, relays);
  store.readDirectly();
  bool read = false;
  bool refreshed = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        read = static_cast<bool>(co_await store.list("config"));
        stand.put("config", "main", largeConfiguration(2, 1400));
        refreshed = static_cast<bool>(co_await store.refresh("config", kSilence));
        context.stop();
      },
      asio::detached);
  context.run_for(std::chrono::seconds(10));
  BOOST_TEST(read);
  BOOST_TEST(refreshed);
}

// A node to which a newer configuration is on its way, but slowly, must not go on by the older one
// beyond the bound. Only keyed requests were refused, and later.
BOOST_FIXTURE_TEST_CASE(noRequestIsServedByAConfigurationOlderThanTheBound, GatewayFixture) {
  constexpr std::size_t kBytesPerSecond = 40'000;
  addServer("s1", "app");
  addServer("m1", "llm", "m");
  store.put("config", "main", configuration(1));
  store.put("versions", "m", json::object{{"model", "m"}, {"version", 1}});
  settings.store = store.listenBehindLink(kBytesPerSecond);
  settings.configBound = Milliseconds(1500);
  settings.keyProofAge = Milliseconds(3800);
  run([this]() -> asio::awaitable<void> {
    const Result<http::Response> before = co_await call(request("/open/x"));
    BOOST_TEST((before && before.value().status == 200));
    store.put("config", "main", largeConfiguration(2, 1400));
    asio::steady_timer timer(context, settings.configBound);
    co_await timer.async_wait(asio::use_awaitable);
    for (int second = 0; second < 2; ++second) {
      const Result<http::Response> open = co_await call(request("/open/x"));
      const Result<http::Response> keyed = co_await call(request("/safe/x"));
      BOOST_TEST((open && open.value().status == 503));
      BOOST_TEST((keyed && keyed.value().status == 503));
      timer.expires_after(Milliseconds(500));
      co_await timer.async_wait(asio::use_awaitable);
    }
  });
}

// Without a store nobody has a newer configuration: the node serves until the bound of keys.
BOOST_FIXTURE_TEST_CASE(aNodeWithoutAStoreServesBeyondTheBoundOfConfiguration, GatewayFixture) {
  addServer("s1", "app");
  addServer("m1", "llm", "m");
  store.put("config", "main", configuration(1));
  store.put("versions", "m", json::object{{"model", "m"}, {"version", 1}});
  settings.configBound = Milliseconds(1500);
  settings.keyProofAge = Milliseconds(3800);
  run([this]() -> asio::awaitable<void> {
    store.setMode(StoreStandIn::Mode::kSilent);
    asio::steady_timer timer(context, Milliseconds(2500));
    co_await timer.async_wait(asio::use_awaitable);
    const Result<http::Response> open = co_await call(request("/open/x"));
    const Result<http::Response> keyed = co_await call(request("/safe/x"));
    BOOST_TEST((open && open.value().status == 200));
    BOOST_TEST((keyed && keyed.value().status == 200));
  });
}

/// The longest time that one handler of the loop takes of the processor.
class LongestHandler {
 public:
  void run(asio::io_context& context, MonotonicTime end) {
    while (monotonicNow() < end) {
      const Microseconds before = processorTime();
      context.run_one_until(end);
      longest_ = std::max(longest_, processorTime() - before);
    }
  }
  Microseconds longest() const { return longest_; }

 private:
  static Microseconds processorTime() {
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Microseconds>(std::chrono::seconds(time.tv_sec) +
                                                    std::chrono::nanoseconds(time.tv_nsec));
  }

  Microseconds longest_{0};
};

// Callers wait while the loop reads a configuration and builds its table. Changes of one route
// among many must not make them wait for longer than 5 ms.
BOOST_FIXTURE_TEST_CASE(aLargeConfigurationDoesNotHoldTheLoop, GatewayFixture) {
  constexpr Microseconds kLongestHold{5000};
  constexpr std::size_t kRoutes = 10'000;
  addServer("s1", "app");
  addServer("m1", "llm", "m");
  store.put("config", "main", configuration(1));
  store.put("versions", "m", json::object{{"model", "m"}, {"version", 1}});
  std::vector<std::string> changes;
  for (std::uint64_t version = 2; version < 5; ++version) {
    changes.push_back(json::serialize(largeConfiguration(version, kRoutes)));
  }
  start();
  LongestHandler handlers;
  handlers.run(context, monotonicNow() + Milliseconds(500));
  for (std::string& change : changes) {
    store.putRawSpec("config", "main", std::move(change));
    handlers.run(context, monotonicNow() + Milliseconds(1500));
  }
  BOOST_TEST_MESSAGE("longest handler: " << handlers.longest().count() << " us");
  BOOST_TEST(handlers.longest().count() <= kLongestHold.count());
}

}  // namespace calicodrift::testing
