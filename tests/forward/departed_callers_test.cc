#include <sys/socket.h>

#include <boost/test/data/test_case.hpp>
#include <random>

#include "forwarding_fixture.h"
#include "peer/http_call.h"
#include "server_limits/messages.h"

namespace calicodrift::forward {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using Tcp = asio::ip::tcp;

/// A request reaches no server later than this after its caller's close has reached the node.
constexpr Milliseconds kMaxSendAfterClose{50};
/// Servers stop working on it, and it holds nothing any more, after this time.
constexpr Milliseconds kMaxWorkAfterClose{100};
constexpr std::string_view kNumber = "X-Number";
constexpr Milliseconds kLongestUnitDelay{100};

/// How a caller ends its connection.
enum class Close { kEnd, kReset };

/// A node with one server, callers on real connections, and a root that gives out the units of the
/// server's limit after a delay.
struct Fixture : ForwardingFixture {
  struct Arrival {
    MonotonicTime at;
    std::optional<MonotonicTime> endedAt;
  };

  Fixture()
      : server(addServer("s1", kOld)),
        root(context.get_executor(), {},
             [this](http::Request& request, http::ResponseWriter& writer) {
               return answerUnit(request, writer);
             }) {
    settings.retryFloorBurst = 1000;
    rule = {kOld, {}, service_rollout::CandidateUse::kNothing, {}};
    rootEndpoint = root.listen({"127.0.0.1", 0}).value();
    server.behaviour = [this](http::ResponseWriter& writer) { return work(writer); };
  }

  awaitable<void> pause(Milliseconds time) {
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  awaitable<void> answerUnit(http::Request& request, http::ResponseWriter& writer) {
    co_await peer::answerPeer<server_limits::UnitRequest, server_limits::UnitReply>(
        request, writer,
        [this](server_limits::UnitRequest asked) -> awaitable<server_limits::UnitReply> {
          server_limits::UnitReply reply;
          reply.decided = true;
          reply.limit = asked.limit;
          if (asked.isReturn) {
            ++unitsReturned;
            co_return reply;
          }
          ++unitsAsked;
          co_await pause(unitDelay());
          reply.granted = true;
          co_return reply;
        });
    // The node reads the answer when the loop goes on.
    const MonotonicTime end = monotonicNow() + std::exchange(stallAfterUnit, Milliseconds(0));
    while (monotonicNow() < end) {
    }
  }

  /// Works until its caller closes, or for some time.
  awaitable<void> work(http::ResponseWriter& writer) {
    const std::string number = server.requests.back().headers.get(kNumber);
    arrivals[number] = {monotonicNow(), std::nullopt};
    auto timer = std::make_shared<asio::steady_timer>(context, workTime);
    writer.onCallerGone([this, number, timer] {
      arrivals[number].endedAt = monotonicNow();
      timer->cancel();
    });
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    http::Response answer = VersionServer::sealed(200);
    if (namesLimit) {
      answer.headers.set(TestServerProtocol::kLimit, "1000");
    }
    co_await http::respond(writer, std::move(answer));
  }

  /// Accepts callers, and makes the node learn the server's limit and connect to it.
  void listen() {
    makeForwarder();
    front = std::make_unique<http::Server>(
        context.get_executor(), http::ServerLimits{},
        [this](http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
          ++held;
          if (onRead) {
            onRead();
          }
          co_await forwarder->handle(request, writer);
          --held;
        });
    frontEndpoint = front->listen({"127.0.0.1", 0}).value();
  }
  void learnLimit() {
    namesLimit = true;
    workTime = Milliseconds(1);
    BOOST_TEST(call() == 200U);
    limitRoots = {rootEndpoint};
    workTime = Milliseconds(400);
  }
  void run(const std::function<awaitable<void>()>& body) {
    bool done = false;
    asio::co_spawn(context, body(), [&done](const std::exception_ptr& failure) {
      BOOST_TEST((failure == nullptr));
      done = true;
    });
    context.restart();
    while (!done && context.run_one_for(std::chrono::seconds(20)) > 0) {
    }
    BOOST_TEST(done);
  }

  static std::string requestText(const std::string& number, const std::string& target = "/safe/x") {
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + std::string(kNumber) + ": " + number +
           "\r\n\r\n";
  }
  Tcp::socket connect() {
    Tcp::socket socket(context);
    socket.connect({asio::ip::make_address(frontEndpoint.address), frontEndpoint.port});
    return socket;
  }
  static void write(Tcp::socket& socket, const std::string& bytes) {
    asio::write(socket, asio::buffer(bytes));
  }
  static void close(Tcp::socket& socket, Close how) {
    if (how == Close::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0));
    }
    socket.close();
  }
  bool reached(const std::string& number) const { return arrivals.contains(number); }

  VersionServer& server;
  http::Server root;
  Endpoint rootEndpoint;
  std::unique_ptr<http::Server> front;
  Endpoint frontEndpoint;
  std::function<Milliseconds()> unitDelay = [] { return Milliseconds(100); };
  /// How long the loop stands still after the next unit was given out.
  Milliseconds stallAfterUnit{0};
  Milliseconds workTime{400};
  bool namesLimit = false;
  std::size_t unitsAsked = 0;
  std::size_t unitsReturned = 0;
  /// Called when the node has read a request.
  std::function<void()> onRead;
  /// Requests that the node holds.
  std::size_t held = 0;
  std::map<std::string, Arrival> arrivals;
};

BOOST_FIXTURE_TEST_SUITE(departed_callers, Fixture)

/// Guards against a request that is sent for a caller who left while it waited for a unit of the
/// server's limit, and runs to its end as nobody cancels it.
BOOST_DATA_TEST_CASE_F(Fixture, callerWhoLeavesDuringTheWaitForAUnitGetsNoServer,
                       boost::unit_test::data::make({0, 1}), how) {
  learnLimit();
  listen();
  run([&]() -> awaitable<void> {
    Tcp::socket caller = connect();
    write(caller, requestText("1"));
    co_await pause(Milliseconds(30));
    BOOST_TEST(unitsAsked == 1U);
    close(caller, how == 0 ? Close::kEnd : Close::kReset);
    co_await pause(kMaxWorkAfterClose);
    BOOST_TEST(held == 0U, "the node still holds the request");
    co_await pause(Milliseconds(200));
    BOOST_TEST(!reached("1"));
    BOOST_TEST(unitsReturned == 1U, "the unit was not given back");
  });
}

/// Guards against a request that is sent after its deadline, which passed in the same wait.
BOOST_AUTO_TEST_CASE(requestWhoseDeadlinePassesDuringTheWaitForAUnitGetsNoServer) {
  learnLimit();
  listen();
  run([&]() -> awaitable<void> {
    http::Request message;
    message.target = "/safe/x";
    message.headers.set(kNumber, "1");
    message.headers.set(TestCallerProtocol::kPatience, "50");
    http::Client client(context.get_executor());
    const MonotonicTime begin = monotonicNow();
    const Result<http::Response> answer = co_await client.exchange(frontEndpoint, message);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer.value().status == 503U);
    BOOST_CHECK(monotonicNow() - begin < Milliseconds(50) + kMaxWorkAfterClose);
    co_await pause(Milliseconds(200));
    BOOST_TEST(!reached("1"));
    BOOST_TEST(unitsReturned == 1U);
  });
}

/// Guards against a request that a node sends although it has decided to stop meanwhile.
BOOST_AUTO_TEST_CASE(requestThatAStopEndsDuringTheWaitForAUnitGetsNoServer) {
  learnLimit();
  listen();
  run([&]() -> awaitable<void> {
    Tcp::socket caller = connect();
    write(caller, requestText("1"));
    co_await pause(Milliseconds(30));
    BOOST_TEST(forwarder->answerBeforeStop() == 1U);
    co_await pause(kMaxWorkAfterClose);
    BOOST_TEST(held == 0U);
    co_await pause(Milliseconds(200));
    BOOST_TEST(!reached("1"));
    BOOST_TEST(unitsReturned == 1U);
  });
}

/// Guards against a request that is sent with a key that was revoked while it waited.
BOOST_AUTO_TEST_CASE(requestWhoseKeyIsRevokedDuringTheWaitForAUnitGetsNoServer) {
  const auto tableWithKey = [](const std::string& key) {
    routes::RouteTableContent content;
    content.version = ConfigVersion(2);
    content.routes = {route("safe", routes::RouteKind::kSafe, "app")};
    content.routes.front().isPublic = false;
    routes::Tenant tenant;
    tenant.id = TenantId("t");
    tenant.apiKeys = {key};
    content.tenants = {tenant};
    return std::make_shared<const routes::RouteTable>(std::move(content));
  };
  learnLimit();
  configuration = tableWithKey("key");
  listen();
  run([&]() -> awaitable<void> {
    http::Request message;
    message.target = "/safe/x";
    message.headers.set(kNumber, "1");
    message.headers.set(TestCallerProtocol::kApiKey, "key");
    asio::steady_timer timer(context, Milliseconds(30));
    timer.async_wait([&](boost::system::error_code) { configuration = tableWithKey("another"); });
    http::Client client(context.get_executor());
    const Result<http::Response> answer = co_await client.exchange(frontEndpoint, message);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer.value().status == 401U);
    BOOST_TEST(!reached("1"));
    co_await pause(kMaxWorkAfterClose);
    BOOST_TEST(unitsReturned == 1U);
  });
}

/// Guards against a request that begins on weights that ran out while it waited.
BOOST_AUTO_TEST_CASE(requestWhoseWeightsRunOutDuringTheWaitForAUnitDoesNotBeginOnThem) {
  learnLimit();
  // The limit is known of the server's other entry.
  workTime = Milliseconds(1);
  limitRoots.clear();
  BOOST_TEST(call("/model/x") == 200U);
  limitRoots = {rootEndpoint};
  listen();
  const std::size_t before = server.requests.size();
  run([&]() -> awaitable<void> {
    asio::steady_timer timer(context, Milliseconds(30));
    timer.async_wait([&](boost::system::error_code) {
      removeExpiredWeights = [this] {
        pool.applyWeights(BackendId("s1-model"), kModel, WeightsVersion(2), monotonicNow());
      };
    });
    http::Request message;
    message.target = "/model/x";
    http::Client client(context.get_executor());
    const Result<http::Response> answer = co_await client.exchange(frontEndpoint, message);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer.value().status == 200U);
    BOOST_REQUIRE(server.requests.size() == before + 1);
    BOOST_TEST(server.requests.back().headers.get(TestServerProtocol::kWeights) == "2");
  });
}

/// Guards against a unit that is used long after it was given out, so that the units of several
/// seconds reach the server in one.
BOOST_AUTO_TEST_CASE(unitThatHasBecomeOldIsNotUsed) {
  learnLimit();
  listen();
  unitDelay = [] { return Milliseconds(0); };
  stallAfterUnit = Milliseconds(600);
  run([&]() -> awaitable<void> {
    Tcp::socket caller = connect();
    write(caller, requestText("1"));
    co_await pause(Milliseconds(1000));
    BOOST_TEST(reached("1"));
    BOOST_TEST(unitsAsked == 2U, "an old unit was used");
    BOOST_TEST(unitsReturned == 1U);
  });
}

/// Guards against a server that is given more time than its caller has left: the connection took
/// some of it.
BOOST_AUTO_TEST_CASE(timeThatTheConnectionTookIsNotGivenToTheServer) {
  workTime = Milliseconds(1);
  listen();
  run([&]() -> awaitable<void> {
    http::Request message;
    message.target = "/safe/x";
    message.headers.set(kNumber, "1");
    message.headers.set(TestCallerProtocol::kPatience, "2000");
    // The node has begun to connect when the loop stands still.
    onRead = [this] {
      asio::post(context, [] {
        const MonotonicTime end = monotonicNow() + Milliseconds(200);
        while (monotonicNow() < end) {
        }
      });
    };
    http::Client client(context.get_executor());
    const Result<http::Response> answer = co_await client.exchange(frontEndpoint, message);
    BOOST_REQUIRE(answer.has_value());
    BOOST_REQUIRE(reached("1"));
    const std::string told = server.requests.back().headers.get(TestServerProtocol::kTimeLeft);
    BOOST_TEST(std::stoi(told) <= 1800);
  });
}

/// Guards against a request that is sent although its caller's close lies behind it in the socket,
/// as the loop was late.
BOOST_DATA_TEST_CASE_F(Fixture, closeThatCameBeforeTheRequestWasReadIsSeen,
                       boost::unit_test::data::make({0, 1, 2}), kind) {
  workTime = Milliseconds(1);
  BOOST_TEST(call() == 200U);
  listen();
  run([&]() -> awaitable<void> {
    // The connection is accepted, and the node waits for its first byte.
    Tcp::socket caller = connect();
    co_await pause(Milliseconds(20));
    // Beside bytes of a further request, which a look at the next byte alone finds.
    write(caller, requestText("1") + (kind == 2 ? requestText("2") : ""));
    close(caller, kind == 1 ? Close::kReset : Close::kEnd);
    co_await pause(Milliseconds(100));
    BOOST_TEST(!reached("1"));
    BOOST_TEST(!reached("2"));
  });
}

/// Guards against a caller whose close nobody sees as it has sent more than a head may have behind
/// its request.
BOOST_DATA_TEST_CASE_F(Fixture, closeBehindManyEarlyBytesIsSeen,
                       boost::unit_test::data::make({0, 1}), how) {
  BOOST_TEST(call() == 200U);
  listen();
  run([&]() -> awaitable<void> {
    Tcp::socket caller = connect();
    write(caller, requestText("1"));
    co_await pause(Milliseconds(20));
    write(caller, std::string(40'000, 'x'));
    co_await pause(Milliseconds(50));
    BOOST_TEST(reached("1"));
    const MonotonicTime closed = monotonicNow();
    close(caller, how == 0 ? Close::kEnd : Close::kReset);
    co_await pause(kMaxWorkAfterClose);
    BOOST_TEST(held == 0U);
    const std::optional<MonotonicTime> ended = arrivals["1"].endedAt;
    BOOST_TEST((ended && *ended - closed <= kMaxWorkAfterClose));
  });
}

BOOST_AUTO_TEST_SUITE_END()

/// Callers that leave at drawn moments: before and while their requests are read, wait for a unit,
/// and run.
struct DrawnCallers : Fixture {
  struct Draw {
    std::string number;
    Milliseconds leavesAfter{0};
    Close how = Close::kEnd;
    bool sendsOn = false;
    bool atOnce = false;
  };

  Draw draw(std::size_t number) {
    const auto upTo = [this](int most) { return std::uniform_int_distribution(0, most)(random); };
    Draw made;
    made.number = std::to_string(number);
    made.atOnce = upTo(4) == 0;
    made.leavesAfter = Milliseconds(upTo(220));
    made.how = upTo(1) == 0 ? Close::kEnd : Close::kReset;
    made.sendsOn = upTo(4) == 0;
    return made;
  }

  awaitable<void> callOnce(Draw drawn) {
    ++underWay;
    Tcp::socket socket(context);
    const Tcp::endpoint address(asio::ip::make_address(frontEndpoint.address), frontEndpoint.port);
    co_await socket.async_connect(address, asio::use_awaitable);
    if (drawn.atOnce) {
      co_await pause(Milliseconds(5));
    }
    write(socket, requestText(drawn.number) + (drawn.sendsOn ? std::string(2000, 'x') : ""));
    if (!drawn.atOnce) {
      co_await pause(drawn.leavesAfter);
    }
    closedAt[drawn.number] = monotonicNow();
    close(socket, drawn.how);
    --underWay;
  }

  /// Longest time that the loop did not turn, within the given one.
  awaitable<void> watchLoop() {
    MonotonicTime last = monotonicNow();
    for (;;) {
      co_await pause(Milliseconds(2));
      const MonotonicTime now = monotonicNow();
      longestTurn = std::max(longestTurn, std::chrono::floor<Milliseconds>(now - last));
      last = now;
    }
  }

  std::mt19937 random{7};
  std::size_t underWay = 0;
  std::map<std::string, MonotonicTime> closedAt;
  std::map<std::string, MonotonicTime> sentAt;
  Milliseconds longestTurn{0};
};

/// Guards against requests that reach servers after their callers have left, in whichever wait.
BOOST_FIXTURE_TEST_CASE(drawnDeparturesLeaveNoRequestBehind, DrawnCallers) {
  constexpr std::size_t kCallers = 10'000;
  constexpr std::size_t kAtATime = 150;
  learnLimit();
  workTime = Milliseconds(100);
  unitDelay = [this] {
    return Milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, kLongestUnitDelay.count())(random));
  };
  serverProtocol().onSend = [this](const http::Request& request) {
    sentAt[request.headers.get(kNumber)] = monotonicNow();
  };
  listen();
  asio::co_spawn(context, watchLoop(), asio::detached);
  run([&]() -> awaitable<void> {
    for (std::size_t number = 0; number < kCallers; ++number) {
      while (underWay >= kAtATime) {
        co_await pause(Milliseconds(1));
      }
      asio::co_spawn(context, callOnce(draw(number)), asio::detached);
    }
    while (underWay > 0) {
      co_await pause(Milliseconds(1));
    }
    co_await pause(kMaxWorkAfterClose);
    BOOST_TEST(held == 0U);
    co_await pause(Milliseconds(300));
  });
  std::size_t late = 0;
  for (const auto& [number, sent] : sentAt) {
    const auto closed = closedAt.find(number);
    late += closed != closedAt.end() && sent - closed->second > kMaxSendAfterClose ? 1 : 0;
  }
  std::size_t workedOn = 0;
  for (const auto& [number, arrival] : arrivals) {
    const auto closed = closedAt.find(number);
    if (closed != closedAt.end() && arrival.endedAt) {
      // The close passes through the loop at the node, and twice at the server.
      const auto bound = kMaxWorkAfterClose + 3 * longestTurn;
      workedOn += *arrival.endedAt - closed->second > bound ? 1 : 0;
    }
  }
  BOOST_TEST_MESSAGE("sent: " << sentAt.size() << " of " << kCallers
                              << ", units asked: " << unitsAsked << ", returned: " << unitsReturned
                              << ", longest turn of the loop: " << longestTurn.count() << " ms");
  BOOST_TEST(late == 0U);
  BOOST_TEST(workedOn == 0U);
  // Units of calls that ran into their timeout are lost.
  const bool allAnswered =
      longestTurn < server_limits::ServerLimitNode::kUnitTimeout - kLongestUnitDelay;
  BOOST_TEST((!allAnswered || unitsAsked == sentAt.size() + unitsReturned), "units were lost");
  BOOST_TEST(sentAt.size() > kCallers / 10);
}

}  // namespace
}  // namespace calicodrift::forward
