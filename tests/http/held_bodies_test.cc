// Bodies of requests that a server holds at a time, over all connections.
#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <thread>

#include "http/server.h"
#include "support/raw_connection.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
using testing::RawConnection;

constexpr std::size_t kMostHeld = 1000;

/// A server whose handler answers at once, on a thread of its own.
class ServerFixture {
 public:
  ServerFixture() {
    ServerLimits limits;
    limits.maxHeldBodyBytes = kMostHeld;
    server_ = std::make_unique<Server>(
        context_.get_executor(), limits,
        [this](Request& request, ResponseWriter& writer) -> asio::awaitable<void> {
          handled += 1;
          Response response = textResponse(200, std::to_string(request.body.size()));
          co_await respond(writer, std::move(response));
        });
    endpoint = server_->listen({"127.0.0.1", 0}).value();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~ServerFixture() {
    context_.stop();
    thread_.join();
  }

  static std::string head(std::size_t length) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  /// Waits until the server holds as much.
  bool holds(std::size_t bytes) {
    constexpr int kLooks = 400;
    for (int look = 0; look < kLooks; ++look) {
      std::promise<std::size_t> held;
      asio::post(context_, [&] { held.set_value(server_->heldBodyBytes()); });
      if (held.get_future().get() == bytes) {
        return true;
      }
      std::this_thread::sleep_for(Milliseconds(5));
    }
    return false;
  }

  std::atomic<int> handled = 0;
  Endpoint endpoint;

 private:
  asio::io_context context_;
  std::unique_ptr<Server> server_;
  std::thread thread_;
};

BOOST_FIXTURE_TEST_SUITE(held_bodies, ServerFixture)

// Callers that send the beginning of a long body, and then nothing, filled the memory of a node.
BOOST_AUTO_TEST_CASE(aRequestThatWouldExceedTheBytesHeldIsRefusedAsNotRun) {
  RawConnection first(endpoint);
  BOOST_REQUIRE(first.send(head(800) + std::string(10, 'a')));
  BOOST_REQUIRE(holds(800));
  RawConnection second(endpoint);
  BOOST_REQUIRE(second.send(head(400)));
  const std::string refusal = second.readAll();
  BOOST_TEST(refusal.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(refusal.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(handled == 0);
  RawConnection third(endpoint);
  BOOST_REQUIRE(third.send(head(200) + std::string(200, 'b')));
  BOOST_TEST(third.readUntil("\r\n\r\n200").starts_with("HTTP/1.1 200 "));
  BOOST_TEST(holds(800));
  BOOST_REQUIRE(first.send(std::string(790, 'a')));
  BOOST_TEST(first.readUntil("\r\n\r\n800").starts_with("HTTP/1.1 200 "));
  BOOST_TEST(holds(0));
}

BOOST_AUTO_TEST_CASE(aBodyInChunksCountsAsItComes) {
  RawConnection caller(endpoint);
  BOOST_REQUIRE(caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"));
  const std::string chunk = "190\r\n" + std::string(400, 'c') + "\r\n";
  BOOST_REQUIRE(caller.send(chunk + chunk));
  BOOST_TEST(holds(800));
  BOOST_REQUIRE(caller.send(chunk));
  BOOST_TEST(caller.readAll().starts_with("HTTP/1.1 503 "));
  BOOST_TEST(handled == 0);
  BOOST_TEST(holds(0));
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesGivesItsBytesBack) {
  {
    RawConnection caller(endpoint);
    BOOST_REQUIRE(caller.send(head(900) + "x"));
    BOOST_REQUIRE(holds(900));
  }
  BOOST_TEST(holds(0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::http
