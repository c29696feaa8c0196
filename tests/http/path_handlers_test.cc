#include "http/path_handlers.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;

BOOST_AUTO_TEST_CASE(eachPathHasItsHandler) {
  asio::io_context context;
  PathHandlers paths;
  paths.add("/a", [](Request& request, ResponseWriter& writer) -> asio::awaitable<void> {
    co_await respond(writer, textResponse(200, "a" + request.queryValue("x")));
  });
  Server server(context.get_executor(), {}, [&](Request& request, ResponseWriter& writer) {
    return paths.handle(request, writer);
  });
  const Endpoint endpoint = server.listen({"127.0.0.1", 0}).value();
  Client client(context.get_executor());
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        Request known;
        known.target = "/a?x=1";
        const Result<Response> answer = co_await client.exchange(endpoint, known);
        BOOST_TEST(answer.value().body == "a1");
        Request unknown;
        unknown.target = "/b";
        const Result<Response> refusal = co_await client.exchange(endpoint, unknown);
        BOOST_TEST(refusal.value().status == 404U);
        context.stop();
      },
      asio::detached);
  context.run_for(std::chrono::seconds(10));
}

}  // namespace
}  // namespace calicodrift::http
