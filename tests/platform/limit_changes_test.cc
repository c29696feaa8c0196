// Guards against requests that are ended because the limits of the configuration change while they
// are read or answered.

#include "gateway_fixture.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;
using Tcp = boost::asio::ip::tcp;
constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

constexpr Milliseconds kLowTimeout{100};
constexpr std::size_t kLowBytes = 64;
const std::string kHalfBody(500, 'x');

/// The usual configuration with limits that neither the requests below nor the pauses in them keep.
boost::json::value lowLimits(std::uint64_t version) {
  boost::json::value made = GatewayFixture::configuration(version);
  made.at("limits") = boost::json::object{{"idle_timeout_ms", kLowTimeout.count()},
                                          {"header_timeout_ms", kLowTimeout.count()},
                                          {"max_header_bytes", kLowBytes},
                                          {"max_body_bytes", kLowBytes}};
  return made;
}

struct Fixture : GatewayFixture {
  Fixture() {
    addServer("app-1", "app");
    addServer("llm-1", "llm", "m");
    store.put("config", "main", configuration(1));
    store.put("versions", "m", boost::json::object{{"model", "m"}, {"version", 1}});
  }
  awaitable<void> pause(Milliseconds time) {
    boost::asio::steady_timer timer(context, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  /// Lowers all limits, and waits until a new request shows that they are in force.
  awaitable<void> lowerLimits() {
    store.put("config", "main", lowLimits(2));
    bool inForce = false;
    while (!inForce) {
      http::Request probe = request("/safe/probe");
      probe.method = "POST";
      probe.body = kHalfBody;
      const Result<http::Response> answer = co_await call(std::move(probe));
      inForce = answer && answer.value().status != 200;
      co_await pause(Milliseconds(20));
    }
  }
  static std::string bytesOf(const http::Request& message, std::size_t length) {
    std::string bytes = "POST " + message.target + " HTTP/1.1\r\n";
    for (const http::Header& header : message.headers.all()) {
      bytes += header.name + ": " + header.value + "\r\n";
    }
    return bytes + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  awaitable<void> send(Tcp::socket& socket, std::string bytes) {
    auto [code, count] =
        co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), kAwait);
    BOOST_TEST(!code);
  }
  /// What comes until the given end, or until the connection ends.
  awaitable<std::string> readUntil(Tcp::socket& socket, std::string end) {
    std::string received;
    const auto read = co_await boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(received), end, kAwait);
    static_cast<void>(read);
    co_return received;
  }
  awaitable<Tcp::socket> connect() {
    Tcp::socket socket(context);
    const Tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"), node->endpoint().port);
    co_await socket.async_connect(address, boost::asio::use_awaitable);
    co_return socket;
  }
};

BOOST_FIXTURE_TEST_SUITE(platform_limit_changes, Fixture)

BOOST_AUTO_TEST_CASE(aStreamGoesOnThroughLowerLimits) {
  constexpr unsigned kEvents = 15;
  servers[1]->setBehaviour(
      [this](const http::Request& message, http::ResponseWriter& writer) -> awaitable<void> {
        for (unsigned number = 1; number <= kEvents; ++number) {
          co_await ServerStandIn::streamEvents(message, writer, number, number);
          co_await pause(kLowTimeout + kLowTimeout / 2);
        }
        const Result<void> ended = co_await writer.endStream();
        static_cast<void>(ended);
      });
  run([this]() -> awaitable<void> {
    Tcp::socket caller = co_await connect();
    const std::string body = "prompt";
    co_await send(caller, bytesOf(modelRequest("/stream-once/a"), body.size()) + body);
    const std::string begun = co_await readUntil(caller, "data: 1\n");
    BOOST_TEST(begun.find("data: 1\n") != std::string::npos);
    co_await lowerLimits();
    const std::string rest = co_await readUntil(caller, "0\r\n\r\n");
    BOOST_TEST(rest.find("data: " + std::to_string(kEvents) + "\n") != std::string::npos);
    BOOST_TEST(rest.ends_with("0\r\n\r\n"));
  });
}

BOOST_AUTO_TEST_CASE(aRequestThatIsBeingReadKeepsTheLimitsThatItBeganWith) {
  run([this]() -> awaitable<void> {
    Tcp::socket withinHead = co_await connect();
    Tcp::socket withinBody = co_await connect();
    const std::string bytes = bytesOf(request("/once/a"), 2 * kHalfBody.size());
    const std::string otherBytes = bytesOf(request("/once/b"), 2 * kHalfBody.size());
    co_await send(withinHead, bytes.substr(0, bytes.size() / 2));
    co_await send(withinBody, otherBytes + kHalfBody);
    co_await pause(Milliseconds(50));
    co_await lowerLimits();
    co_await pause(3 * kLowTimeout);
    co_await send(withinHead, bytes.substr(bytes.size() / 2) + kHalfBody + kHalfBody);
    co_await send(withinBody, kHalfBody);
    for (Tcp::socket* caller : {&withinHead, &withinBody}) {
      const std::string answer = co_await readUntil(*caller, "done");
      BOOST_TEST(answer.starts_with("HTTP/1.1 200 OK\r\n"));
    }
  });
}

/// A connection that waits for its next request keeps the time that it was given.
BOOST_AUTO_TEST_CASE(anIdleConnectionKeepsItsTime) {
  run([this]() -> awaitable<void> {
    Tcp::socket caller = co_await connect();
    co_await pause(Milliseconds(20));
    co_await lowerLimits();
    co_await pause(3 * kLowTimeout);
    http::Request small;
    small.target = "/open/a";
    small.headers.set("Host", "h");
    co_await send(caller, bytesOf(small, 0));
    const std::string answer = co_await readUntil(caller, "\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 "));
  });
}

/// Guards against requests under way that are ended by a change of their route.
BOOST_AUTO_TEST_CASE(requestsUnderWayKeepTheRouteThatTheyWereGranted) {
  constexpr Milliseconds kWork{1500};
  const auto work = [this, kWork](const http::Request& message,
                                  http::ResponseWriter& writer) -> awaitable<void> {
    co_await pause(kWork);
    co_await http::respond(writer, ServerStandIn::sealed(message, 200, "done"));
  };
  servers[0]->setBehaviour(work);
  run([this]() -> awaitable<void> {
    std::size_t served = 0;
    std::size_t ended = 0;
    for (const std::string path : {"/once/a", "/safe/a", "/open/a"}) {
      boost::asio::co_spawn(
          context,
          [this, path, &served, &ended]() -> awaitable<void> {
            http::Request message = request(path);
            const Result<http::Response> answer = co_await call(std::move(message));
            served += answer && answer.value().body == "done" ? 1 : 0;
            ++ended;
          },
          boost::asio::detached);
    }
    co_await pause(Milliseconds(100));
    boost::json::value lower = configuration(2);
    for (boost::json::value& route : lower.at("routes").as_array()) {
      route.at("timeout_ms") = 300;
    }
    store.put("config", "main", std::move(lower));
    co_await pause(Milliseconds(500));
    boost::json::value without = configuration(3);
    without.at("routes").as_array().resize(1);
    without.at("routes").at(0).at("path_prefix") = "/another/";
    store.put("config", "main", std::move(without));
    co_await waitUntil([&ended] { return ended == 3; });
    BOOST_TEST(served == 3U);
    const Result<http::Response> late = co_await call(request("/safe/b"));
    BOOST_TEST((late && late.value().status == 404U));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
