// Guards against a stand-in network that does what no network does: bytes that arrive behind lost
// ones make a stream that lacks its middle look whole.

#include "sim/fault_proxy.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "support/scripted_server.h"

namespace calicodrift::sim {
namespace {

namespace asio = boost::asio;
using testing::ScriptedAnswer;
using testing::ScriptedServer;

BOOST_AUTO_TEST_SUITE(fault_proxy)

BOOST_AUTO_TEST_CASE(aStreamWhoseMiddleIsSwallowedDoesNotEndWhole) {
  asio::io_context context;
  ScriptedServer server(context, [](const http::Request&) {
    ScriptedAnswer answer;
    answer.pieces = {ScriptedServer::head("Transfer-Encoding: chunked\r\n") + "5\r\nfirst\r\n",
                     "6\r\nmiddle\r\n", "4\r\nlast\r\n", "0\r\n\r\n"};
    answer.pieceGap = Milliseconds(30);
    return answer;
  });
  FaultProxy proxy(context, server.endpoint());
  const Endpoint endpoint = proxy.listen({"127.0.0.1", 0}).value();
  http::Client client(context.get_executor());
  bool finished = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        http::Request request;
        const http::ExchangeOptions options;
        auto opened = co_await client.open(endpoint, std::move(request), options);
        BOOST_REQUIRE(opened.has_value());
        std::string body;
        std::optional<http::BodyEnd> end;
        while (!end) {
          Result<http::BodyPiece> piece = co_await opened.value()->read();
          if (!piece) {
            break;
          }
          ProxyFaults faults;
          // From the first piece until the middle has been lost.
          faults.swallowAnswers = body.empty();
          proxy.apply(faults);
          body += piece.value().bytes;
          end = piece.value().end;
          if (faults.swallowAnswers) {
            asio::steady_timer timer(context, Milliseconds(45));
            co_await timer.async_wait(asio::use_awaitable);
            proxy.apply(ProxyFaults());
          }
        }
        BOOST_TEST(body == "first");
        BOOST_TEST(!end.has_value());
        finished = true;
        context.stop();
      },
      asio::detached);
  context.run_for(std::chrono::seconds(10));
  BOOST_TEST(finished);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::sim
