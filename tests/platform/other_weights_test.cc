#include "gateway_fixture.h"
#include "http/status.h"

namespace calicodrift::testing {
namespace {

namespace json = boost::json;
using boost::asio::awaitable;

/// Refuses requests that expect other weights than `weights`, and says which it has.
/// @param instance that it names where it refuses; empty: none.
ServerStandIn::Behaviour onlyWith(const std::string& weights, bool tells,
                                  const std::string& instance = "") {
  return [weights, tells, instance](const http::Request& request,
                                    http::ResponseWriter& writer) -> awaitable<void> {
    if (request.headers.get(platform::kExpectVersion) == weights) {
      co_await ServerStandIn::streamEvents(request, writer, 1, 1);
      const Result<void> ended = co_await writer.endStream();
      static_cast<void>(ended);
      co_return;
    }
    http::Response refusal = http::textResponse(http::kStatusMisdirected, "");
    refusal.headers.set(platform::kRequestId, request.headers.get(platform::kRequestId));
    refusal.headers.set(platform::kNotExecuted, "1");
    if (tells) {
      refusal.headers.set(platform::kWeightVersions, weights);
    }
    if (!instance.empty()) {
      refusal.headers.set(platform::kInstance, instance);
    }
    co_await http::respond(writer, std::move(refusal));
  };
}

struct OtherWeightsFixture : GatewayFixture {
  OtherWeightsFixture() {
    store.put("config", "main", configuration(1));
    settings.retryFloor = 20;
    for (const char* id : {"i-1", "i-2", "i-3"}) {
      addServer(id, "llm", "m");
    }
  }
  std::size_t arrivals() const {
    std::size_t count = 0;
    for (const auto& server : servers) {
      count += server->arrivals().size();
    }
    return count;
  }
};

BOOST_FIXTURE_TEST_SUITE(other_weights, OtherWeightsFixture)

/// The list still shows the weights that the servers had before.
BOOST_AUTO_TEST_CASE(anAnswerThatTellsTheWeightsCorrectsWhatIsKnown) {
  for (const auto& server : servers) {
    server->setBehaviour(onlyWith("2", true));
  }
  run([&]() -> awaitable<void> {
    const Result<http::Response> first = co_await call(modelRequest("/stream/a"));
    BOOST_TEST(first.value().status == 200U);
    // The same server again, under the weights that it told.
    BOOST_TEST(arrivals() == 2U);
    const Result<http::Response> second = co_await call(modelRequest("/stream/a"));
    BOOST_TEST(second.value().status == 200U);
    BOOST_TEST(arrivals() == 3U);
  });
}

BOOST_AUTO_TEST_CASE(anAnswerThatTellsNothingMeansTheNewestWeightsWhileTheyAreLoaded) {
  for (const auto& server : servers) {
    server->ignoresOrders = true;
    server->setBehaviour(onlyWith("2", false));
  }
  store.put("versions", "m", json::object{{"model", "m"}, {"version", 2}});
  run([&]() -> awaitable<void> {
    const Result<http::Response> answer = co_await call(modelRequest("/stream/a"));
    BOOST_TEST(answer.value().status == 200U);
    BOOST_TEST(arrivals() == 2U);
  });
}

BOOST_AUTO_TEST_CASE(anAnswerThatTellsNothingMeansAnotherServerWhereNoWeightsAreLoaded) {
  for (const auto& server : servers) {
    server->setBehaviour(onlyWith(server->id() == "i-3" ? "1" : "2", false));
  }
  run([&]() -> awaitable<void> {
    const Result<http::Response> answer = co_await call(modelRequest("/stream/a"));
    BOOST_TEST(answer.value().status == 200U);
    // Each of the two others was asked once.
    BOOST_TEST(arrivals() <= 3U);
  });
}

BOOST_AUTO_TEST_CASE(aServerWithOlderWeightsThanKnownIsPassedOver) {
  for (const auto& server : servers) {
    server->setBehaviour(onlyWith(server->id() == "i-3" ? "1" : "0", true));
  }
  run([&]() -> awaitable<void> {
    const Result<http::Response> answer = co_await call(modelRequest("/stream/a"));
    BOOST_TEST(answer.value().status == 200U);
    BOOST_TEST(arrivals() <= 3U);
  });
}

BOOST_AUTO_TEST_CASE(anAnswerThatNamesThisServerCorrectsWhatIsKnown) {
  for (const auto& server : servers) {
    server->setBehaviour(onlyWith("2", true, server->id()));
  }
  run([&]() -> awaitable<void> {
    const Result<http::Response> answer = co_await call(modelRequest("/stream/a"));
    BOOST_TEST(answer.value().status == 200U);
    BOOST_TEST(arrivals() == 2U);
  });
}

/// Another instance took over the addresses; under the weights that it tells it would run the
/// request.
BOOST_AUTO_TEST_CASE(anotherInstanceGetsNoSecondTryUnderOtherWeights) {
  for (const auto& server : servers) {
    server->healthy = false;
    server->setBehaviour(onlyWith("2", true, "i-9"));
  }
  run([&]() -> awaitable<void> {
    for (int number = 0; number < 5; ++number) {
      const Result<http::Response> answer = co_await call(modelRequest("/stream/a"));
      BOOST_TEST(answer.value().status != 200U);
    }
    for (const auto& server : servers) {
      BOOST_TEST(server->arrivals().size() <= 1U);
    }
  });
}

BOOST_AUTO_TEST_CASE(aServerThatTellsOlderWeightsIsNotTheOneThatWasMeant) {
  for (const auto& server : servers) {
    server->healthy = false;
    server->setBehaviour(onlyWith("0", true));
  }
  run([&]() -> awaitable<void> {
    for (int number = 0; number < 5; ++number) {
      const Result<http::Response> answer = co_await call(modelRequest("/stream/a"));
      BOOST_TEST(answer.value().status != 200U);
    }
    for (const auto& server : servers) {
      BOOST_TEST(server->arrivals().size() <= 1U);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
