#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "support/scripted_server.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using testing::ConnectionEnd;
using testing::ScriptedAnswer;
using testing::ScriptedServer;

const std::string kInterim = "HTTP/1.1 100 Continue\r\n\r\n";

struct Fixture {
  awaitable<Result<Response>> exchange(std::string method) {
    ExchangeOptions options;
    options.unframedBody = UnframedBody::kAccept;
    Request request;
    request.method = std::move(method);
    co_return co_await client.exchange(server.endpoint(), std::move(request), options);
  }
  /// Answers a request with the first `count` bytes, and closes.
  awaitable<Result<Response>> cutAt(std::string bytes, std::size_t count, std::string method,
                                    ConnectionEnd end) {
    answers = {{{bytes.substr(0, count)}, end}};
    co_return co_await exchange(std::move(method));
  }
  /// The same on a connection that has served a request before.
  awaitable<Result<Response>> cutAfterWholeAnswer(std::string bytes, std::size_t count) {
    answers = {{{ScriptedServer::head("Content-Length: 0\r\n")}},
               {{bytes.substr(0, count)}, ConnectionEnd::kClose}};
    const Result<Response> first = co_await exchange("GET");
    BOOST_TEST(first.has_value());
    co_return co_await exchange("GET");
  }
  ScriptedAnswer next() {
    ScriptedAnswer answer = answers.front();
    answers.erase(answers.begin());
    return answer;
  }
  void run(awaitable<void> body) {
    bool finished = false;
    asio::co_spawn(context, std::move(body), [&](const std::exception_ptr& failure) {
      finished = failure == nullptr;
      context.stop();
    });
    context.run_for(std::chrono::seconds(60));
    BOOST_TEST(finished);
  }

  asio::io_context context;
  std::vector<ScriptedAnswer> answers;
  ScriptedServer server{context, [this](const Request&) { return next(); }};
  Client client{context.get_executor()};
};

BOOST_FIXTURE_TEST_SUITE(cut_heads, Fixture)

/// Guards against an answer whose server closed within its head and that passes for one without a
/// body.
BOOST_AUTO_TEST_CASE(headThatIsCutAtAnyByteIsNoAnswer) {
  run([](Fixture& fixture) -> awaitable<void> {
    for (const std::string& framing :
         {std::string("Content-Length: 12\r\n"), std::string("Content-Length: 0\r\n"),
          std::string("Transfer-Encoding: chunked\r\n"), std::string("Connection: close\r\n"),
          std::string("Keep-Alive: timeout=5\r\n")}) {
      for (const std::string& before : {std::string(), kInterim}) {
        std::string head = before;
        head += ScriptedServer::head("X-Response-Seal: seal\r\n" + framing);
        for (std::size_t count = 0; count < head.size(); ++count) {
          for (const ConnectionEnd end : {ConnectionEnd::kClose, ConnectionEnd::kReset}) {
            for (const char* method : {"GET", "HEAD"}) {
              const Result<Response> answer = co_await fixture.cutAt(head, count, method, end);
              BOOST_TEST(!answer, "cut at byte " << count << " of: " << head);
            }
          }
          const Result<Response> answer = co_await fixture.cutAfterWholeAnswer(head, count);
          BOOST_TEST(!answer, "cut on a kept connection at byte " << count << " of: " << head);
        }
      }
    }
  }(*this));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::http
