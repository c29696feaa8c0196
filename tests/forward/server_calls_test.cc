// Guards against calls that begin on a server after this node was told that it is leaving or wants
// a rest, although it was chosen before, and against notices that are lost with the rest of an
// answer.

#include "forward/server_calls.h"

#include "forwarding_fixture.h"

namespace calicodrift::forward {
namespace {

using boost::asio::awaitable;

struct CallsFixture : ForwardingFixture {
  CallsFixture() {
    addServer("a", kOld);
    server = *pool.find(BackendId("a"));
  }

  /// Starts a call; `outcome` holds its answer once the context has run.
  void begin(CallPurpose purpose, SendCheck mayBeSent = {}) {
    outcome.reset();
    boost::asio::co_spawn(
        context,
        [this, purpose, mayBeSent = std::move(mayBeSent)]() -> awaitable<void> {
          const http::ExchangeOptions options;
          http::Request request;
          outcome =
              co_await calls().exchange(server, std::move(request), options, purpose, mayBeSent);
        },
        boost::asio::detached);
  }
  void finish() {
    context.restart();
    while (!outcome && context.run_one_for(std::chrono::seconds(5)) > 0) {
    }
    BOOST_REQUIRE(outcome.has_value());
  }
  void call(CallPurpose purpose) {
    begin(purpose);
    finish();
  }
  bool isCandidate() { return !pool.candidates("app", ModelId(), monotonicNow()).empty(); }
  bool wasWithdrawn() const {
    return !*outcome && outcome->error().kind == ErrorKind::kServerWithdrawn;
  }
  std::size_t requestsReceived() const { return servers.front()->requests.size(); }
  void answersWith(unsigned status, std::string_view header, const std::string& value) {
    servers.front()->behaviour = [status, header,
                                  value](http::ResponseWriter& writer) -> awaitable<void> {
      http::Response answer = VersionServer::sealed(status);
      answer.headers.set(header, value);
      co_await http::respond(writer, std::move(answer));
    };
  }

  fleet::Server server;
  std::optional<Result<http::Response>> outcome;
};

BOOST_FIXTURE_TEST_SUITE(server_calls, CallsFixture)

BOOST_AUTO_TEST_CASE(callThatWaitsForItsConnectionIsNotSentToAServerThatLeaves) {
  begin(CallPurpose::kRequest);
  // The call has begun to connect, and the notice arrives before the connection is made.
  context.restart();
  context.poll_one();
  pool.recordLeaving(fleet::keyOf(server), monotonicNow());
  finish();
  BOOST_TEST(wasWithdrawn());
  BOOST_TEST(requestsReceived() == 0U);
}

BOOST_AUTO_TEST_CASE(callThatWaitsForItsConnectionIsNotSentWithinARest) {
  begin(CallPurpose::kQuery);
  context.restart();
  context.poll_one();
  pool.recordBackoff(server.id, monotonicNow() + std::chrono::seconds(1), monotonicNow());
  finish();
  BOOST_TEST(wasWithdrawn());
  BOOST_TEST(requestsReceived() == 0U);
}

BOOST_AUTO_TEST_CASE(callThatWaitsForItsConnectionIsNotSentToAServerThatLeftTheList) {
  begin(CallPurpose::kOrder);
  context.restart();
  context.poll_one();
  pool.remove(server.id);
  finish();
  BOOST_TEST(wasWithdrawn());
  BOOST_TEST(requestsReceived() == 0U);
}

/// Guards against an order that is sent although its lease ended while it waited for its
/// connection.
BOOST_AUTO_TEST_CASE(callWhoseOwnCheckFailsAfterTheWaitForItsConnectionIsNotSent) {
  bool holdsLease = true;
  begin(CallPurpose::kOrder, [&holdsLease](http::Request&) -> Result<void> {
    if (!holdsLease) {
      return fail(ErrorKind::kServerWithdrawn, "the lease has ended");
    }
    return boost::outcome_v2::success();
  });
  context.restart();
  context.poll_one();
  holdsLease = false;
  finish();
  BOOST_TEST(wasWithdrawn());
  BOOST_TEST(requestsReceived() == 0U);
  // The connection, on which nothing was sent, serves the next call.
  call(CallPurpose::kOrder);
  BOOST_TEST(requestsReceived() == 1U);
  BOOST_TEST(servers.front()->http->openConnections() == 1U);
}

BOOST_AUTO_TEST_CASE(leavingNoticeIsReadFromAnswersOfAnyStatusAndPurpose) {
  for (const unsigned status : {200U, 404U, 500U, 503U}) {
    for (const CallPurpose purpose :
         {CallPurpose::kRequest, CallPurpose::kOrder, CallPurpose::kQuery}) {
      CallsFixture fresh;
      fresh.answersWith(status, TestServerProtocol::kLeaving, "1");
      fresh.call(purpose);
      BOOST_TEST(!fresh.isCandidate());
      fresh.call(CallPurpose::kRequest);
      BOOST_TEST(fresh.wasWithdrawn());
      fresh.call(CallPurpose::kOrder);
      BOOST_TEST(fresh.wasWithdrawn());
      BOOST_TEST(fresh.requestsReceived() == 1U);
      // Queries are still sent to a leaving server.
      fresh.call(CallPurpose::kQuery);
      BOOST_TEST(fresh.requestsReceived() == 2U);
    }
  }
}

BOOST_AUTO_TEST_CASE(leavingNoticeIsReadFromTheHeadOfABrokenAnswer) {
  servers.front()->behaviour = [](http::ResponseWriter& writer) -> awaitable<void> {
    http::Response head = VersionServer::sealed(200);
    head.headers.set(TestServerProtocol::kLeaving, "1");
    static_cast<void>(co_await writer.startStream(std::move(head)));
    writer.abort();
  };
  call(CallPurpose::kRequest);
  BOOST_TEST(!outcome->has_value());
  BOOST_TEST(!isCandidate());
}

BOOST_AUTO_TEST_CASE(nothingIsSentWithinARest) {
  answersWith(503, TestServerProtocol::kRest, "60000");
  call(CallPurpose::kRequest);
  BOOST_TEST(!isCandidate());
  for (const CallPurpose purpose : {CallPurpose::kRequest, CallPurpose::kRequestWithUnit,
                                    CallPurpose::kOrder, CallPurpose::kQuery}) {
    call(purpose);
    BOOST_TEST(wasWithdrawn());
  }
  BOOST_TEST(requestsReceived() == 1U);
}

/// The first request is refused by the server, which asks for the rest, and the second one by this
/// node.
BOOST_AUTO_TEST_CASE(requestsAreRefusedWithinARest) {
  answersWith(503, TestServerProtocol::kRest, "60000");
  BOOST_TEST(ForwardingFixture::call("/safe/x") == 503U);
  BOOST_TEST(ForwardingFixture::call("/safe/x") == 503U);
  BOOST_TEST(requestsReceived() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
