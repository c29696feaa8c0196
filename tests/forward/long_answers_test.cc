// Answers that are too long to be held until they are whole, and callers that read slowly.
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "forwarding_fixture.h"

namespace calicodrift::forward {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr std::size_t kLong = 300'000;
constexpr std::size_t kMostHeld = 20'000;
constexpr const char* kTarget = "/safe/x";

/// Takes an answer as a caller does, and can be slow about it.
class CollectingWriter : public http::ResponseWriter {
 public:
  awaitable<Result<void>> send(http::Response response) override {
    status = response.status;
    body = response.body;
    complete = true;
    co_return boost::outcome_v2::success();
  }
  awaitable<Result<void>> startStream(http::Response response) override {
    status = response.status;
    streamed = true;
    co_return boost::outcome_v2::success();
  }
  awaitable<Result<void>> writeChunk(std::string_view bytes) override {
    longestChunk = std::max(longestChunk, bytes.size());
    body += bytes;
    if (pause > Milliseconds(0) && body.size() - pausedAt_ >= kPausesEach) {
      pausedAt_ = body.size();
      asio::steady_timer timer(co_await asio::this_coro::executor, pause);
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_return boost::outcome_v2::success();
  }
  awaitable<Result<void>> endStream() override {
    complete = true;
    co_return boost::outcome_v2::success();
  }
  void abort() override { aborted = true; }
  void onCallerGone(std::function<void()> /*callback*/) override {}
  bool callerGone() const override { return false; }
  bool streamStarted() const override { return streamed; }

  unsigned status = 0;
  std::string body;
  std::size_t longestChunk = 0;
  bool streamed = false;
  bool complete = false;
  bool aborted = false;
  /// After each kPausesEach bytes.
  Milliseconds pause{0};

 private:
  static constexpr std::size_t kPausesEach = 64'000;
  std::size_t pausedAt_ = 0;
};

struct LongAnswers : ForwardingFixture {
  LongAnswers() {
    settings.maxHeldAnswerBytes = kMostHeld;
    rule = {};
  }

  void request(CollectingWriter& writer) { callWith(writer, kTarget); }

  /// Sends bytes of a long answer, and then ends it or breaks it off.
  static VersionServer::Behaviour answer(unsigned status, std::size_t sent, bool whole) {
    return [status, sent, whole](http::ResponseWriter& writer) -> awaitable<void> {
      http::Response head = VersionServer::sealed(status);
      static_cast<void>(co_await writer.startStream(std::move(head)));
      constexpr std::size_t kPiece = 5000;
      for (std::size_t at = 0; at < sent; at += kPiece) {
        const std::string piece(std::min(kPiece, sent - at), 'x');
        static_cast<void>(co_await writer.writeChunk(piece));
      }
      if (whole) {
        static_cast<void>(co_await writer.endStream());
      } else {
        writer.abort();
      }
    };
  }

  /// Requests of callers; questions about the servers' own state are left out.
  std::size_t arrivals() const {
    std::size_t count = 0;
    for (const auto& server : servers) {
      count += static_cast<std::size_t>(
          std::count_if(server->requests.begin(), server->requests.end(),
                        [](const http::Request& sent) { return sent.target == kTarget; }));
    }
    return count;
  }
};

BOOST_FIXTURE_TEST_SUITE(long_answers, LongAnswers)

BOOST_AUTO_TEST_CASE(aLongAnswerIsPassedOnAsItArrives) {
  addServer("a", kOld).behaviour = answer(200, kLong, true);
  CollectingWriter writer;
  request(writer);
  BOOST_TEST(writer.status == 200U);
  BOOST_TEST(writer.streamed);
  BOOST_TEST(writer.complete);
  BOOST_TEST(writer.body == std::string(kLong, 'x'));
  // What was held, and the piece that made it too long.
  BOOST_TEST(writer.longestChunk <= 2 * kMostHeld);
}

// A short answer must not look whole: what was sent of it can't be taken back, and another server's
// answer can't follow it.
BOOST_AUTO_TEST_CASE(aLongAnswerThatBreaksOffIsNeitherEndedNorAskedForAgain) {
  addServer("a", kOld).behaviour = answer(200, kLong, false);
  addServer("b", kOld).behaviour = answer(200, kLong, false);
  CollectingWriter writer;
  request(writer);
  BOOST_TEST(writer.streamed);
  BOOST_TEST(writer.aborted);
  BOOST_TEST(!writer.complete);
  BOOST_TEST(arrivals() == 1U);
}

BOOST_AUTO_TEST_CASE(anAnswerThatBreaksOffWhileItIsHeldIsGivenByAnotherServer) {
  addServer("a", kOld).behaviour = answer(200, kMostHeld / 2, false);
  addServer("b", kOld).behaviour = answer(200, kMostHeld / 2, false);
  CollectingWriter writer;
  request(writer);
  BOOST_TEST(!writer.streamed);
  BOOST_TEST(writer.status == 502U);
  BOOST_TEST(arrivals() == 2U);
}

BOOST_AUTO_TEST_CASE(aServerErrorThatIsTooLongToBeKeptIsReplaced) {
  addServer("a", kOld).behaviour = answer(500, kLong, true);
  addServer("b", kOld).behaviour = answer(500, kLong, true);
  CollectingWriter writer;
  request(writer);
  // The route allows two servers, and the second one's error is delivered.
  BOOST_TEST(arrivals() == 2U);
  BOOST_TEST(writer.status == 500U);
  BOOST_TEST(writer.body.size() == kLong);
}

// The server is slowed down by its caller, so that what is held does not grow.
BOOST_AUTO_TEST_CASE(aCallerThatReadsSlowlySlowsItsServerDown) {
  std::size_t sent = 0;
  std::size_t taken = 0;
  std::size_t mostAhead = 0;
  CollectingWriter writer;
  writer.pause = Milliseconds(10);
  addServer("a", kOld).behaviour = [&](http::ResponseWriter& out) -> awaitable<void> {
    constexpr std::size_t kPiece = 64'000;
    constexpr std::size_t kPieces = 190;
    http::Response head = VersionServer::sealed(200);
    static_cast<void>(co_await out.startStream(std::move(head)));
    const std::string piece(kPiece, 'y');
    for (std::size_t number = 0; number < kPieces; ++number) {
      static_cast<void>(co_await out.writeChunk(piece));
      sent += kPiece;
      taken = writer.body.size();
      mostAhead = std::max(mostAhead, sent - std::min(sent, taken));
    }
    static_cast<void>(co_await out.endStream());
  };
  request(writer);
  BOOST_TEST(writer.complete);
  BOOST_TEST(writer.body.size() == sent);
  // The system's buffers of a loopback connection hold some megabytes.
  constexpr std::size_t kSystemBuffers = 8'000'000;
  BOOST_TEST(mostAhead < kSystemBuffers, mostAhead << " bytes ahead");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
