#include "forward/answer_relay.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

namespace calicodrift::forward {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

std::string event(unsigned number) {
  return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

/// Keeps what the caller got.
class TextWriter : public http::ResponseWriter {
 public:
  awaitable<Result<void>> send(http::Response /*response*/) override {
    co_return boost::outcome_v2::success();
  }
  awaitable<Result<void>> startStream(http::Response /*response*/) override {
    co_return boost::outcome_v2::success();
  }
  awaitable<Result<void>> writeChunk(std::string_view bytes) override {
    text += bytes;
    co_return boost::outcome_v2::success();
  }
  awaitable<Result<void>> endStream() override { co_return boost::outcome_v2::success(); }
  void abort() override {}
  void onCallerGone(std::function<void()> /*callback*/) override {}
  bool callerGone() const override { return false; }
  bool streamStarted() const override { return true; }

  std::string text;
};

struct Fixture {
  bool relayed(const std::string& bytes) {
    std::optional<Result<void>> outcome;
    asio::co_spawn(
        context, [&]() -> awaitable<void> { outcome = co_await relay.relayBytes(bytes); },
        asio::detached);
    context.restart();
    context.run();
    return outcome && outcome->has_value();
  }

  asio::io_context context;
  TextWriter writer;
  AnswerRelay relay{writer, std::nullopt};
};

BOOST_FIXTURE_TEST_SUITE(answer_relay, Fixture)

/// Guards against a stream that breaks off, or goes on at a wrong event, because the server before
/// had sent events out of order.
BOOST_AUTO_TEST_CASE(nextServerGoesOnAfterEventsOutOfOrder) {
  BOOST_TEST(relayed(event(1) + event(2)));
  BOOST_TEST(!relayed(event(3) + event(1)));
  BOOST_TEST((relay.lastEvent() == EventNumber(2)));
  BOOST_TEST(relayed(event(3)));
  BOOST_TEST(relayed(event(4)));
  BOOST_TEST(writer.text == event(1) + event(2) + event(3) + event(4));
}

BOOST_AUTO_TEST_CASE(partOfAnEventIsDroppedWithItsServer) {
  BOOST_TEST(relayed(event(1) + "id: 2\nda"));
  BOOST_TEST(relay.insideEvent());
  relay.dropPartialEvent();
  BOOST_TEST(!relay.insideEvent());
  BOOST_TEST(relayed(event(2)));
  BOOST_TEST(writer.text == event(1) + event(2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
