#include "unframed_fixture.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

BOOST_FIXTURE_TEST_SUITE(platform_cut_heads, UnframedFixture)

/// Guards against a whole answer without a body, or with a short one, for a request whose server
/// closed within the head of its answer.
BOOST_AUTO_TEST_CASE(noCallerGetsASuccessFromAHeadThatWasCut) {
  settings.retryFloor = 1000;
  addTwoOfEachService();
  std::size_t cut = 0;
  std::size_t headSize = 0;
  for (const auto& server : unframed) {
    server->setBody([&](const http::Request& request) -> ScriptedAnswer {
      const std::string id = request.headers.get(platform::kRequestId);
      const std::string head =
          ScriptedServer::head("X-Request-Id: " + id +
                               "\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n");
      headSize = head.size();
      return {{head.substr(0, cut)}, ConnectionEnd::kClose};
    });
  }
  run([&]() -> awaitable<void> {
    for (const std::string path :
         {"/safe/a", "/once/a", "/open/a", "/stream/a", "/stream-once/a"}) {
      headSize = 200;
      // The shortest cut that still is an answer's beginning; a server that sends nothing at all is
      // another case.
      for (cut = 9; cut < headSize; cut += 7) {
        http::Request message = request(path);
        if (isStream(path)) {
          message = modelRequest(path);
        }
        const Result<http::Response> answer = co_await call(std::move(message));
        BOOST_TEST((!answer || answer.value().status >= 500U), path << " cut at " << cut);
        const bool promisesNoRun = answer && answer.value().status == 503U;
        BOOST_TEST((path != "/once/a" || !promisesNoRun),
                   "the request that began to be answered has run: cut at " << cut);
      }
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
