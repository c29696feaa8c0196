// Streams whose handler ends without their end.
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <stdexcept>
#include <thread>

#include "http/server.h"
#include "log/log.h"
#include "support/raw_connection.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
using testing::RawConnection;

const std::string kLastChunk = "0\r\n\r\n";
constexpr Milliseconds kSoon{1000};

/// A server on a thread of its own that sends the head and one chunk of a stream, and then does as
/// the path says.
class ServerFixture {
 public:
  ServerFixture() {
    log::silence();
    server_ = std::make_unique<Server>(
        context_.get_executor(), ServerLimits{},
        [](Request& request, ResponseWriter& writer) { return handle(request, writer); });
    endpoint = server_->listen({"127.0.0.1", 0}).value();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~ServerFixture() {
    context_.stop();
    thread_.join();
  }

  static std::string get(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  std::size_t failedHandlers() {
    std::promise<std::size_t> failed;
    asio::post(context_, [&] { failed.set_value(server_->failedHandlers()); });
    return failed.get_future().get();
  }
  /// What a caller of the path gets until its connection ends.
  void expectCutOff(const std::string& path) {
    RawConnection caller(endpoint);
    BOOST_REQUIRE(caller.send(get(path)));
    const MonotonicTime begin = monotonicNow();
    const std::string received = caller.readAll();
    BOOST_TEST((monotonicNow() - begin < kSoon), "the caller of " << path << " waits for an end");
    BOOST_TEST(received.starts_with("HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(received.find("begun") != std::string::npos);
    BOOST_TEST(received.find(kLastChunk) == std::string::npos);
  }

  Endpoint endpoint;

 private:
  static asio::awaitable<void> handle(Request& request, ResponseWriter& writer) {
    if (request.path() == "/unwritable") {
      // This status has no body.
      Response unwritable = textResponse(204, "body");
      co_await respond(writer, std::move(unwritable));
      co_return;
    }
    Response head;
    Result<void> sent = co_await writer.startStream(std::move(head));
    if (sent) {
      sent = co_await writer.writeChunk("begun");
    }
    if (request.path() == "/throws") {
      throw std::runtime_error("thrown by the test");
    }
    if (request.path() == "/ends" && sent) {
      sent = co_await writer.endStream();
    }
  }

  asio::io_context context_;
  std::unique_ptr<Server> server_;
  std::thread thread_;
};

BOOST_FIXTURE_TEST_SUITE(unfinished_streams, ServerFixture)

// The connection stayed open without an end, and its caller waited for the rest.
BOOST_AUTO_TEST_CASE(aStreamWhoseHandlerThrowsIsCutOff) {
  expectCutOff("/throws");
  BOOST_TEST(failedHandlers() == 1U);
}

// The same without an exception.
BOOST_AUTO_TEST_CASE(aStreamWhoseHandlerReturnsWithoutItsEndIsCutOff) {
  expectCutOff("/returns");
  BOOST_TEST(failedHandlers() == 0U);
}

BOOST_AUTO_TEST_CASE(aStreamThatWasEndedLeavesItsConnectionToTheNextRequest) {
  RawConnection caller(endpoint);
  BOOST_REQUIRE(caller.send(get("/ends") + get("/throws")));
  const std::string& received = caller.readAll();
  const std::size_t end = received.find(kLastChunk);
  BOOST_REQUIRE(end != std::string::npos);
  BOOST_TEST(received.find("begun", end) != std::string::npos);
}

// The same before anything was sent: the caller waited for an answer that nobody made.
BOOST_AUTO_TEST_CASE(anAnswerThatCannotBeWrittenIsReplacedByAnError) {
  RawConnection caller(endpoint);
  BOOST_REQUIRE(caller.send(get("/unwritable")));
  const MonotonicTime begin = monotonicNow();
  BOOST_TEST(caller.readUntil("\r\n").starts_with("HTTP/1.1 500 "));
  BOOST_TEST((monotonicNow() - begin < kSoon), "the caller waits for an answer");
  BOOST_TEST(failedHandlers() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::http
