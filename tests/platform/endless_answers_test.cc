// Guards against callers that are kept, and memory that is filled, by a server whose bytes are no
// answer and come without end: in a head or in a body, until the other side closes.

#include <memory>
#include <string>
#include <vector>

#include "forward/cache_moves.h"
#include "gateway/cache_stores.h"
#include "gateway_fixture.h"
#include "support/direct_paths.h"
#include "unframed_fixture.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

/// What a node and the kernels on the way take before the connection closes.
constexpr std::size_t kMostBytesTaken = 12'000'000;
/// Far below the deadline of the requests, 4 s.
constexpr Milliseconds kSoon{1000};
constexpr Milliseconds kDeadline{4000};
constexpr Milliseconds kSlack{1000};
constexpr Milliseconds kDrip{5};
constexpr std::size_t kPieceBytes = 16'384;

std::string repeated(const std::string& text) {
  std::string whole;
  while (whole.size() < kPieceBytes) {
    whole += text;
  }
  return whole;
}

ScriptedAnswer endless(std::string begin, std::string repeatedText,
                       Milliseconds gap = Milliseconds(0)) {
  ScriptedAnswer answer;
  answer.pieces = {std::move(begin)};
  answer.pieceGap = gap;
  answer.endless = std::move(repeatedText);
  return answer;
}

ScriptedAnswer drippingBody() {
  return endless(ScriptedServer::head("Connection: close\r\n"), " ", kDrip);
}

struct Fixture : UnframedFixture {
  static ScriptedAnswer framed(const http::Request& request, const std::string& body,
                               const std::string& type = "text/event-stream") {
    return {{ScriptedServer::head("X-Request-Id: " + request.headers.get(platform::kRequestId) +
                                  "\r\nX-Response-Seal: seal\r\nContent-Type: " + type +
                                  "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n") +
             body}};
  }
  /// The first run, at any server, is answered as given, and all later ones soundly.
  void answerFirst(const UnframedServer::Body& body) {
    const auto first = std::make_shared<bool>(true);
    for (const auto& server : unframed) {
      server->setBody([first, body](const http::Request& request) -> ScriptedAnswer {
        if (std::exchange(*first, false)) {
          return body(request);
        }
        const std::string after = request.headers.get(platform::kLastEventId);
        const unsigned next = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
        return framed(request, isStream(request.path()) ? events(next, 4) : "a whole answer");
      });
    }
  }
  void answerFirst(const ScriptedAnswer& answer) {
    answerFirst([answer](const http::Request&) { return answer; });
  }
  std::size_t runs() const {
    std::size_t sum = 0;
    for (const auto& server : unframed) {
      sum += server->runs();
    }
    return sum;
  }
  std::size_t bytesTaken() const {
    std::size_t sum = 0;
    for (const auto& server : unframed) {
      sum += server->server().endlessBytes();
    }
    return sum;
  }

  /// What a caller saw.
  struct Seen {
    unsigned status = 0;
    std::string body;
    std::size_t runs = 0;
    std::size_t bytesTaken = 0;
    MonotonicTime::duration time{};
  };
  awaitable<Seen> ask(std::string path) {
    const std::size_t runsBefore = runs();
    const std::size_t bytesBefore = bytesTaken();
    const MonotonicTime begin = monotonicNow();
    http::Request message = isStream(path) ? modelRequest(path) : request(path);
    const Result<http::Response> answer = co_await call(std::move(message));
    Seen seen;
    if (answer) {
      seen.status = answer.value().status;
      seen.body = answer.value().body;
    }
    seen.time = monotonicNow() - begin;
    seen.runs = runs() - runsBefore;
    seen.bytesTaken = bytesTaken() - bytesBefore;
    co_return seen;
  }
  /// The other server answers, soon.
  static void checkAnsweredElsewhere(const std::string& path, const Seen& seen) {
    BOOST_TEST_CONTEXT(path) {
      BOOST_TEST(seen.status == 200U);
      BOOST_TEST((seen.body == wholeBody(path)));
      BOOST_TEST(seen.runs == 2U);
      BOOST_CHECK(seen.time < kSoon);
      BOOST_TEST(seen.bytesTaken < kMostBytesTaken);
    }
  }
  /// The request may not be sent again: it is refused, or its answer breaks off (status 0).
  static void checkEnds(const std::string& path, const Seen& seen, unsigned status) {
    BOOST_TEST_CONTEXT(path) {
      BOOST_TEST(seen.status == status);
      BOOST_TEST(seen.runs == 1U);
      BOOST_CHECK(seen.time < kSoon);
      BOOST_TEST(seen.bytesTaken < kMostBytesTaken);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(platform_endless_answers, Fixture)

BOOST_AUTO_TEST_CASE(aHeadWithoutEndIsLeftForAnotherServer) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    for (const std::string path : {"/safe/a", "/open/a", "/stream/a"}) {
      answerFirst(endless("HTTP/1.1 200 OK\r\n", repeated("X-A: a\r\n")));
      checkAnsweredElsewhere(path, co_await ask(path));
    }
    for (const std::string path : {"/once/a", "/stream-once/a"}) {
      answerFirst(endless("HTTP/1.1 200 OK\r\n", repeated("X-A: a\r\n")));
      checkEnds(path, co_await ask(path), 502);
    }
  });
}

/// Guards against interim heads that are read for as long as they come.
BOOST_AUTO_TEST_CASE(interimHeadsWithoutEndAreLeftForAnotherServer) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const std::string path : {"/safe/a", "/open/a", "/stream/a"}) {
      answerFirst(endless(interim, repeated(interim)));
      checkAnsweredElsewhere(path, co_await ask(path));
    }
    for (const std::string path : {"/once/a", "/stream-once/a"}) {
      answerFirst(endless(interim, repeated(interim)));
      checkEnds(path, co_await ask(path), 502);
    }
  });
}

/// Guards against a stream whose bytes never complete an event and are all held.
BOOST_AUTO_TEST_CASE(anEventWithoutEndIsLeftForAnotherServer) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    for (const std::string& begin : {std::string(), events(1, 2)}) {
      answerFirst(endless(begin + "id: 3\ndata: ", repeated("a")));
      checkAnsweredElsewhere("/stream/a", co_await ask("/stream/a"));
      answerFirst(endless(begin + "id: 3\ndata: ", repeated("a")));
      checkEnds("/stream-once/a", co_await ask("/stream-once/a"), 0);
    }
  });
}

/// The bound of an event costs no sound answer.
BOOST_AUTO_TEST_CASE(aVeryLongFirstEventArrives) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    constexpr std::size_t kLength = 900'000;
    const std::string text = "id: 1\ndata: " + std::string(kLength, 'a') + "\n\n" + events(2, 4);
    for (const std::string path : {"/stream/a", "/stream-once/a"}) {
      answerFirst(ScriptedAnswer{{text}, ConnectionEnd::kClose});
      const Seen seen = co_await ask(path);
      BOOST_TEST(seen.status == 200U);
      BOOST_TEST((seen.body == text));
      BOOST_TEST(seen.runs == 1U);
    }
  });
}

/// Nor one that does not consist of events, however long it is.
BOOST_AUTO_TEST_CASE(aLongAnswerWithoutEventsArrives) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    const std::string text(3'000'000, 'a');
    for (const std::string path : {"/stream/a", "/stream-once/a"}) {
      answerFirst([&text](const http::Request& request) {
        return framed(request, text, "application/json");
      });
      const Seen seen = co_await ask(path);
      BOOST_TEST(seen.status == 200U);
      BOOST_TEST((seen.body == text));
      BOOST_TEST(seen.runs == 1U);
    }
  });
}

/// Such an answer may be a long one, which no other server can go on with: it breaks off.
BOOST_AUTO_TEST_CASE(aBodyWithoutEndNeverLooksWhole) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    for (const std::string path : {"/safe/a", "/once/a"}) {
      answerFirst(endless("begin", repeated("a")));
      const Seen seen = co_await ask(path);
      BOOST_TEST(seen.status == 0U);
      BOOST_TEST(seen.runs == 1U);
      BOOST_CHECK(seen.time < kDeadline + kSlack);
    }
    answerFirst(endless("begin", "a", kDrip));
    const Seen dripped = co_await ask("/once/a");
    BOOST_TEST(dripped.status == 504U);
    BOOST_CHECK(dripped.time < kDeadline + kSlack);
  });
}

/// Nor is more of it held than its caller reads.
BOOST_AUTO_TEST_CASE(aBodyWithoutEndStopsWhileItsCallerReadsNothing) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    http::Client slow(context.get_executor());
    answerFirst(endless("begin", repeated("a")));
    http::Request message = request("/safe/a");
    const http::ExchangeOptions options;
    const auto answer = co_await slow.open(node->endpoint(), std::move(message), options);
    BOOST_REQUIRE(answer.has_value());
    co_await pause(Milliseconds(1000));
    const std::size_t before = bytesTaken();
    co_await pause(Milliseconds(1000));
    BOOST_TEST(bytesTaken() == before);
  });
}

/// Guards against a refusal whose body keeps the caller from another server.
BOOST_AUTO_TEST_CASE(aRefusalWhoseBodyDoesNotEndIsLeftForAnotherServer) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<ScriptedAnswer> bodies{
        endless(chunked, "400\r\n" + std::string(0x400, 'a') + "\r\n"),
        endless(chunked + "\r\n5;a=", repeated("a")), endless(chunked + "\r\n5;a=", "a", kDrip),
        ScriptedAnswer{{"Content-Length: 9\r\n"}, ConnectionEnd::kSilence}};
    for (const ScriptedAnswer& body : bodies) {
      answerFirst([&body](const http::Request& request) {
        ScriptedAnswer refusal = body;
        const std::string& begin = body.pieces.front();
        const std::size_t fieldsEnd = begin.find("\r\n") + 2;
        refusal.pieces.front() =
            ScriptedServer::head(
                "X-Not-Executed: 1\r\nX-Request-Id: " + request.headers.get(platform::kRequestId) +
                    "\r\n" + begin.substr(0, fieldsEnd),
                "503 Service Unavailable") +
            (begin.size() > fieldsEnd ? begin.substr(fieldsEnd + 2) : std::string());
        return refusal;
      });
      checkAnsweredElsewhere("/once/a", co_await ask("/once/a"));
    }
  });
}

/// Guards against a caller that waits for a report without end about the server that broke off.
BOOST_AUTO_TEST_CASE(aReportWithoutEndDoesNotKeepTheCallerOfABrokenAnswer) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    for (const auto& server : unframed) {
      server->setQuestions([](const http::Request&) { return drippingBody(); });
    }
    answerFirst(ScriptedAnswer{{"a sho"}, ConnectionEnd::kReset});
    checkEnds("/once/a", co_await ask("/once/a"), 502);
    answerFirst(ScriptedAnswer{{"a sho"}, ConnectionEnd::kReset});
    checkAnsweredElsewhere("/safe/a", co_await ask("/safe/a"));
  });
}

/// Guards against a server that is never used again because a question for its health never ends.
BOOST_AUTO_TEST_CASE(aHealthAnswerWithoutEndDoesNotKeepAServerOutForGood) {
  UnframedServer& app = addUnframed("app-1", "app");
  run([&]() -> awaitable<void> {
    answerFirst(ScriptedAnswer{{"a whole answer"}, ConnectionEnd::kClose});
    app.server().crash();
    const Seen refused = co_await ask("/safe/a");
    BOOST_TEST(refused.status == 503U);
    bool asked = false;
    app.setQuestions([&asked](const http::Request&) {
      asked = true;
      return drippingBody();
    });
    app.server().restart();
    co_await waitUntil([&asked] { return asked; });
    app.setQuestions(nullptr);
    unsigned status = 0;
    const MonotonicTime end = monotonicNow() + std::chrono::seconds(5);
    while (status != 200 && monotonicNow() < end) {
      status = (co_await ask("/safe/a")).status;
      co_await pause(Milliseconds(100));
    }
    BOOST_TEST(status == 200U);
  });
}

/// Guards against a report without end that keeps all other servers from newer weights.
BOOST_AUTO_TEST_CASE(aReportWithoutEndDoesNotKeepOtherServersFromNewWeights) {
  addUnframed("llm-1", "llm").setQuestions([](const http::Request&) { return drippingBody(); });
  ServerStandIn& sound = addServer("llm-2", "llm", "m");
  bool loaded = false;
  sound.onLoaded([this, &sound, &loaded] {
    loaded = true;
    store.put("servers", sound.id(), sound.entry());
  });
  run([&]() -> awaitable<void> {
    store.put("versions", "m", boost::json::object{{"model", "m"}, {"version", 2}});
    co_await waitUntil([&loaded] { return loaded; });
  });
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards against a store of kept cache that counts as alive for as long as its bytes come.
BOOST_AUTO_TEST_CASE(aCacheStoreWhoseAnswerDoesNotEndIsLost) {
  boost::asio::io_context context;
  bool sound = true;
  ScriptedServer server(context, [&sound](const http::Request&) {
    return sound ? ScriptedAnswer{{ScriptedServer::head("Content-Length: 2\r\n") + "{}"}}
                 : drippingBody();
  });
  http::Client client(context.get_executor());
  DirectPaths directPaths(context.get_executor(), client);
  platform::OperatorServers protocol;
  routes::RouteTableContent content;
  content.version = ConfigVersion(1);
  routes::Service service;
  service.name = "kept-cache";
  service.cacheStore = routes::CacheStore{server.endpoint(), ZoneId("z1")};
  content.services.push_back(service);
  auto table = std::make_shared<const routes::RouteTable>(std::move(content));
  std::size_t losses = 0;
  gateway::CacheStores stores(
      context.get_executor(), directPaths.paths, protocol, [&table] { return table; },
      [] { return true; }, [&losses](const Endpoint&) { ++losses; });
  stores.start();
  context.run_for(Milliseconds(200));
  BOOST_TEST(stores.storeFor(1).has_value());
  sound = false;
  context.run_for(std::chrono::seconds(4));
  BOOST_TEST(!stores.storeFor(1).has_value());
  BOOST_TEST(losses == 1U);
}

}  // namespace
}  // namespace calicodrift::testing
