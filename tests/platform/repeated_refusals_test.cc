#include <map>
#include <optional>
#include <utility>

#include "unframed_fixture.h"

namespace calicodrift::testing {
namespace {

namespace json = boost::json;
using boost::asio::awaitable;

std::string refusal(const http::Request& request) {
  return ScriptedServer::head(
      "Content-Length: 0\r\nX-Not-Executed: 1\r\nX-Weight-Versions: 2\r\n"
      "X-Request-Id: " +
          request.headers.get(platform::kRequestId) + "\r\n",
      "421 Misdirected Request");
}

std::string success(const http::Request& request) {
  const std::string body = events(1, 4);
  return ScriptedServer::head(
             "Content-Type: text/event-stream\r\nX-Response-Seal: seal\r\n"
             "Content-Length: " +
             std::to_string(body.size()) +
             "\r\nX-Request-Id: " + request.headers.get(platform::kRequestId) + "\r\n") +
         body;
}

BOOST_FIXTURE_TEST_SUITE(platform_repeated_refusals, UnframedFixture)

/// Guards against a request that runs twice, as a late second copy of its refusal passes for the
/// answer to its next sending to the same server.
BOOST_AUTO_TEST_CASE(aLateCopyOfARefusalIsNoAnswerToTheNextSending) {
  settings.retryFloor = 1000;
  constexpr unsigned kRequests = 20;
  std::map<std::string, std::size_t> runs;
  unsigned served = 0;
  for (const char* id : {"llm-1", "llm-2"}) {
    addUnframed(id, "llm").setBody([&runs](const http::Request& request) -> ScriptedAnswer {
      if (request.headers.get(platform::kExpectVersion) != "2") {
        // The copy comes when the next request is on its way or there.
        return {{refusal(request), refusal(request)}, ConnectionEnd::kKeep, Milliseconds(3)};
      }
      ++runs[request.headers.get(platform::kRequestId)];
      return {{success(request)}};
    });
  }
  run([&]() -> awaitable<void> {
    for (unsigned number = 0; number < kRequests; ++number) {
      // The list shows the servers' former weights again.
      for (const auto& server : unframed) {
        json::value entry = server->entry();
        entry.as_object()["cold_remaining_ms"] = number + 1;
        store.put("servers", server->id(), entry);
      }
      co_await pause(Milliseconds(120));
      http::Request message = modelRequest("/stream-once/a");
      const Result<http::Response> answer = co_await call(std::move(message));
      served += answer && answer.value().status == 200U ? 1 : 0;
    }
    BOOST_TEST(served > 0U);
    for (const auto& [request, count] : runs) {
      BOOST_TEST(count == 1U, request << " ran " << count << " times");
    }
  });
}

/// Guards against a request that ends with 502, as a late copy of another request's answer comes in
/// the place of its own, although the ids tell the two apart.
BOOST_AUTO_TEST_CASE(aLateCopyOfAnotherRequestsAnswerIsSkipped) {
  constexpr unsigned kRequests = 40;
  std::map<std::string, std::size_t> runs;
  unsigned served = 0;
  unsigned copies = 0;
  std::map<std::string, std::optional<std::string>> lastAnswers;
  for (const char* id : {"llm-1", "llm-2"}) {
    addUnframed(id, "llm").setBody([&, id](const http::Request& request) -> ScriptedAnswer {
      ++runs[request.headers.get(platform::kRequestId)];
      // Each second answer on a connection has a copy of the first one before it.
      std::optional<std::string>& last = lastAnswers[id];
      if (!last) {
        last = success(request);
        return {{*last}};
      }
      ++copies;
      return {{*std::exchange(last, std::nullopt), success(request)}};
    });
  }
  run([&]() -> awaitable<void> {
    for (unsigned number = 0; number < kRequests; ++number) {
      http::Request message = modelRequest("/stream-once/a");
      const Result<http::Response> answer = co_await call(std::move(message));
      served += answer && answer.value().status == 200U && answer.value().body == events(1, 4);
    }
    BOOST_TEST(copies >= kRequests / 4);
    BOOST_TEST(served == kRequests);
    for (const auto& [request, count] : runs) {
      BOOST_TEST(count == 1U, request << " ran " << count << " times");
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
