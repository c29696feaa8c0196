// Guards against short answers that a client takes for whole: answers in all framings are cut at
// drawn bytes, by an end, a reset or a silence of their connection.

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

#include "http/client.h"
#include "support/scripted_server.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using testing::ConnectionEnd;
using testing::ScriptedAnswer;
using testing::ScriptedServer;

enum class Framing { kLength, kChunks, kConnection };

constexpr std::string_view kBody = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// Draws answers to one request after the other.
class Draws {
 public:
  explicit Draws(std::uint64_t seed) : random_(seed) {}

  /// The bytes of a whole answer.
  std::string answer(Framing framing) {
    const std::string body(kBody);
    switch (framing) {
      case Framing::kLength:
        return ScriptedServer::head("Content-Length: " + std::to_string(body.size()) + "\r\n") +
               body;
      case Framing::kChunks:
        return ScriptedServer::head("Transfer-Encoding: chunked\r\n") + chunked(body);
      case Framing::kConnection:
        break;
    }
    return ScriptedServer::head(pick(2) == 0 ? "Connection: close\r\n" : "") + body;
  }
  std::size_t pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }

 private:
  std::string chunked(const std::string& body) {
    const std::size_t middle = 1 + pick(body.size() - 1);
    return chunk(body.substr(0, middle)) + chunk(body.substr(middle)) + "0\r\n\r\n";
  }
  static std::string chunk(const std::string& bytes) {
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
  }

  std::mt19937_64 random_;
};

/// What a reader has got of one answer.
struct Read {
  std::string body;
  /// Empty: an error.
  std::optional<BodyEnd> end;
};

struct Fixture {
  asio::io_context context;
  ScriptedAnswer next;
  ScriptedServer server{context, [this](const Request&) { return next; }};
  Client client{context.get_executor()};

  awaitable<Read> read() {
    ExchangeOptions options;
    options.headerTimeout = Milliseconds(20);
    options.bodyTimeout = Milliseconds(20);
    Request request;
    auto opened = co_await client.open(server.endpoint(), std::move(request), options);
    Read result;
    while (opened && !result.end) {
      Result<BodyPiece> piece = co_await opened.value()->read();
      if (!piece) {
        break;
      }
      result.body += piece.value().bytes;
      result.end = piece.value().end;
    }
    co_return result;
  }
  awaitable<Result<Response>> exchange(UnframedBody unframed, std::string method = "GET") {
    ExchangeOptions options;
    options.unframedBody = unframed;
    Request request;
    request.method = std::move(method);
    co_return co_await client.exchange(server.endpoint(), std::move(request), options);
  }
  void run(awaitable<void> body) {
    bool finished = false;
    asio::co_spawn(context, std::move(body), [&](const std::exception_ptr& failure) {
      finished = failure == nullptr;
      context.stop();
    });
    context.run_for(std::chrono::seconds(120));
    BOOST_TEST(finished);
  }
};

BOOST_FIXTURE_TEST_SUITE(body_ends, Fixture)

BOOST_AUTO_TEST_CASE(noDrawnCutMakesAShortAnswerWhole) {
  run([](Fixture& fixture) -> awaitable<void> {
    constexpr int kSchedules = 4000;
    Draws draws(20261203);
    int cutsWithinUnframedBodies = 0;
    for (int schedule = 0; schedule < kSchedules; ++schedule) {
      const auto framing = static_cast<Framing>(draws.pick(3));
      const std::string whole = draws.answer(framing);
      const std::size_t cut = draws.pick(whole.size() + 1);
      const std::size_t split = draws.pick(cut + 1);
      const std::vector<ConnectionEnd> ends{ConnectionEnd::kClose, ConnectionEnd::kReset,
                                            ConnectionEnd::kClose, ConnectionEnd::kReset,
                                            ConnectionEnd::kClose, ConnectionEnd::kSilence};
      const ConnectionEnd end = ends[draws.pick(ends.size())];
      fixture.next = {{whole.substr(0, split), whole.substr(split, cut - split)}, end};
      const Read got = co_await fixture.read();
      const bool complete = got.body == kBody;
      if (got.end == BodyEnd::kFramed) {
        // A frame proves the whole body, and nothing else does.
        BOOST_REQUIRE(framing != Framing::kConnection);
        BOOST_REQUIRE(complete);
      }
      if (framing != Framing::kConnection && cut == whole.size() && end != ConnectionEnd::kReset) {
        BOOST_REQUIRE((got.end == BodyEnd::kFramed && complete));
      }
      if (framing == Framing::kConnection && end != ConnectionEnd::kClose) {
        BOOST_REQUIRE(!got.end);
      }
      cutsWithinUnframedBodies += got.end == BodyEnd::kConnection && !complete ? 1 : 0;
    }
    BOOST_TEST(cutsWithinUnframedBodies > 100);
  }(*this));
}

/// Readers that do not say what they do with such a body must not get it.
BOOST_AUTO_TEST_CASE(wholeBodiesWithoutAFrameAreReturnedOnlyToThoseThatAcceptThem) {
  run([](Fixture& fixture) -> awaitable<void> {
    fixture.next = {{ScriptedServer::head("") + "half"}, ConnectionEnd::kClose};
    const Result<Response> rejected = co_await fixture.exchange(UnframedBody::kReject);
    BOOST_TEST((!rejected && rejected.error().kind == ErrorKind::kStreamBroken));
    const Result<Response> accepted = co_await fixture.exchange(UnframedBody::kAccept);
    BOOST_TEST((accepted && accepted.value().body == "half"));
  }(*this));
}

/// Guards against sound answers that are lost because they cannot have a body.
BOOST_AUTO_TEST_CASE(answersWithoutABodyAreWholeWithTheirHead) {
  run([](Fixture& fixture) -> awaitable<void> {
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
      fixture.next = {{ScriptedServer::head("", status)}, ConnectionEnd::kKeep};
      const Result<Response> answer = co_await fixture.exchange(UnframedBody::kReject);
      BOOST_TEST(answer.has_value());
    }
    fixture.next = {{ScriptedServer::head("Content-Length: 9\r\n")}, ConnectionEnd::kKeep};
    const Result<Response> head = co_await fixture.exchange(UnframedBody::kReject, "HEAD");
    BOOST_TEST(head.has_value());
    fixture.next = {{ScriptedServer::head("")}, ConnectionEnd::kKeep};
    const Result<Response> unframed = co_await fixture.exchange(UnframedBody::kReject, "HEAD");
    BOOST_TEST(unframed.has_value());
  }(*this));
}

/// Guards against an interim head that is taken for the answer.
BOOST_AUTO_TEST_CASE(interimHeadsAreSkipped) {
  run([](Fixture& fixture) -> awaitable<void> {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    fixture.next = {{interim + interim + ScriptedServer::head("Content-Length: 4\r\n") + "done"},
                    ConnectionEnd::kKeep};
    const Result<Response> answer = co_await fixture.exchange(UnframedBody::kReject);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer.value().status == 200U);
    BOOST_TEST(answer.value().body == "done");
  }(*this));
}

/// A connection on which an answer has ended with the connection serves nobody else.
BOOST_AUTO_TEST_CASE(connectionsOfUnframedAnswersAreNotUsedAgain) {
  run([](Fixture& fixture) -> awaitable<void> {
    for (int number = 0; number < 3; ++number) {
      fixture.next = {{ScriptedServer::head("Keep-Alive: timeout=60\r\n") + "whole"},
                      ConnectionEnd::kClose};
      const Result<Response> answer = co_await fixture.exchange(UnframedBody::kAccept);
      BOOST_REQUIRE(answer.has_value());
      BOOST_TEST(answer.value().body == "whole");
    }
    BOOST_TEST(fixture.server.requests().size() == 3U);
  }(*this));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::http
