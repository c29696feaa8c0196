// Guards against streams that hold events from servers of two software versions: after a break
// within one answer, and when a caller takes a stream up again at another node.

#include "gateway_fleet.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

constexpr unsigned kEvents = 4;

/// Runs streams at servers of several versions, breaks some of them off, and notes which version
/// sent which events.
class VersionedStreams {
 public:
  ServerStandIn::Behaviour behaviourOf(const std::string& version) {
    return [this, version](const http::Request& request,
                           http::ResponseWriter& writer) -> awaitable<void> {
      const std::string after = request.headers.get(platform::kLastEventId);
      const unsigned first = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
      const bool breaks = after.empty() && breaksFirstRuns;
      versions[request.body].insert(version);
      ++runs[version];
      const unsigned last = breaks ? 2 : kEvents;
      co_await ServerStandIn::streamEvents(request, writer, first, last);
      if (breaks) {
        writer.abort();
        co_return;
      }
      static_cast<void>(co_await writer.endStream());
    };
  }

  std::size_t mixed() const {
    return static_cast<std::size_t>(
        std::count_if(versions.begin(), versions.end(),
                      [](const auto& stream) { return stream.second.size() > 1; }));
  }

  bool breaksFirstRuns = true;
  /// By the body of the request, which names the stream.
  std::map<std::string, std::set<std::string>> versions;
  std::map<std::string, std::size_t> runs;
};

http::Request streamRequest(unsigned number, const std::string& path = "/stream/a") {
  http::Request request = GatewayFixture::modelRequest(path);
  request.body = "stream " + std::to_string(number);
  // Prompts of their own, so that no server is the home of all.
  const std::string part = std::to_string(number);
  request.headers.set(platform::kPromptPrefix, "a" + part + ":600,b" + part + ":300");
  return request;
}

struct Fixture : GatewayFixture {
  Fixture() {
    settings.retryFloor = 1000;
    store.put("config", "main", configuration(1));
    store.put("versions", "m", boost::json::object{{"model", "m"}, {"version", 1}});
  }
  void addVersioned(const std::string& id, const std::string& version) {
    ServerStandIn& server = addServer(id, "llm", "m", version);
    server.setBehaviour(streams.behaviourOf(version));
  }
  VersionedStreams streams;
};

BOOST_FIXTURE_TEST_SUITE(platform_stream_versions, Fixture)

BOOST_AUTO_TEST_CASE(restOfABrokenStreamComesFromTheSameVersion) {
  for (const std::string version : {"v1", "v1.1"}) {
    addVersioned(version + "-a", version);
    addVersioned(version + "-b", version);
  }
  run([this]() -> awaitable<void> {
    constexpr unsigned kStreams = 40;
    unsigned whole = 0;
    for (unsigned number = 0; number < kStreams; ++number) {
      http::Request message = streamRequest(number);
      const Result<http::Response> answer = co_await call(std::move(message));
      whole += answer && answer.value().status == 200 ? 1 : 0;
    }
    BOOST_TEST(whole == kStreams);
    BOOST_TEST(streams.mixed() == 0U);
    BOOST_TEST(streams.runs["v1"] > 0U);
    BOOST_TEST(streams.runs["v1.1"] > 0U);
  });
}

/// The caller may come back or start anew; until its deadline nothing would change.
BOOST_AUTO_TEST_CASE(streamWhoseVersionHasNoOtherServerIsBrokenOffAtOnce) {
  addVersioned("v1-a", "v1");
  addVersioned("v1.1-a", "v1.1");
  run([this]() -> awaitable<void> {
    constexpr unsigned kStreams = 6;
    for (unsigned number = 0; number < kStreams; ++number) {
      // The first run ends its server's process.
      http::Request message = streamRequest(number);
      const MonotonicTime begin = monotonicNow();
      const Result<http::Response> answer = co_await call(std::move(message));
      const bool whole = answer && answer.value().status == 200;
      BOOST_TEST((whole || monotonicNow() - begin < Milliseconds(1500)));
    }
    BOOST_TEST(streams.mixed() == 0U);
  });
}

BOOST_AUTO_TEST_CASE(tooLongAttemptIdIsRefusedClearly) {
  addVersioned("v1-a", "v1");
  run([this]() -> awaitable<void> {
    http::Request message = streamRequest(1);
    message.headers.set("Resumes", std::string(1000, 'x'));
    message.headers.set(platform::kLastEventId, "2");
    const Result<http::Response> answer = co_await call(std::move(message));
    BOOST_REQUIRE(static_cast<bool>(answer));
    BOOST_TEST(answer.value().status == 400U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_stream_versions_over_nodes)

/// The attempt that began at one node is named at another one.
BOOST_AUTO_TEST_CASE(returnsAtOtherNodesGoOnAtTheVersionThatBegan) {
  GatewayFleet fleet(5, 0);
  VersionedStreams streams;
  for (const std::string version : {"v1", "v1.1"}) {
    for (const std::string name : {"-a", "-b"}) {
      ServerStandIn& server = fleet.addServer(version + name, "llm", "m", version);
      server.setBehaviour(streams.behaviourOf(version));
    }
  }
  fleet.run([&]() -> awaitable<void> {
    constexpr unsigned kStreams = 40;
    unsigned wentOn = 0;
    for (unsigned number = 0; number < kStreams; ++number) {
      // The caller stops reading after two events, as at a node that dies.
      http::Request first = streamRequest(number);
      const std::string attempt = first.headers.get(platform::kRequestId);
      streams.breaksFirstRuns = false;
      static_cast<void>(co_await fleet.exchange(number % 5, std::move(first)));
      http::Request second = streamRequest(number);
      second.headers.set("Resumes", attempt);
      second.headers.set(platform::kLastEventId, "2");
      // Otherwise its home would be the server that began it.
      second.headers.set(platform::kPromptPrefix, "c" + std::to_string(number) + ":900");
      const Result<http::Response> answer =
          co_await fleet.exchange((number + 1 + number / 5 % 4) % 5, std::move(second));
      wentOn += answer && answer.value().status == 200 ? 1 : 0;
    }
    BOOST_TEST(streams.mixed() == 0U);
    BOOST_TEST(wentOn >= kStreams * 95 / 100);
  });
}

/// A stranger's attempt, or none that any node knows, beside several versions: which one began the
/// stream is unknown, so that it goes on nowhere, and its caller hears so at once.
BOOST_AUTO_TEST_CASE(returnsOfUnknownAttemptsAreRefusedAtOnceBesideSeveralVersions) {
  GatewayFleet fleet(3, 0);
  VersionedStreams streams;
  streams.breaksFirstRuns = false;
  for (const std::string version : {"v1", "v1.1"}) {
    ServerStandIn& server = fleet.addServer(version, "llm", "m", version);
    server.setBehaviour(streams.behaviourOf(version));
  }
  fleet.run([&]() -> awaitable<void> {
    for (const std::string attempt : {"unknown", ""}) {
      http::Request message = streamRequest(1);
      if (!attempt.empty()) {
        message.headers.set("Resumes", attempt);
      }
      message.headers.set(platform::kLastEventId, "2");
      const MonotonicTime begin = monotonicNow();
      const Result<http::Response> answer = co_await fleet.exchange(0, std::move(message));
      BOOST_REQUIRE(static_cast<bool>(answer));
      BOOST_TEST(answer.value().status == 503U);
      BOOST_TEST((monotonicNow() - begin < Milliseconds(300)));
    }
    BOOST_TEST(streams.runs.empty());
  });
}

/// A stream whose caller stops reading after two events, as at a node that dies. @return its
/// attempt.
awaitable<std::string> beginStream(GatewayFleet& fleet, VersionedStreams& streams, std::size_t node,
                                   unsigned number) {
  http::Request first = streamRequest(number);
  const std::string attempt = first.headers.get(platform::kRequestId);
  streams.breaksFirstRuns = false;
  static_cast<void>(co_await fleet.exchange(node, std::move(first)));
  co_return attempt;
}

/// The status of the answer to a caller who takes the stream up after its second event.
awaitable<unsigned> takeUp(GatewayFleet& fleet, std::size_t node, unsigned number,
                           std::string attempt) {
  http::Request second = streamRequest(number);
  second.headers.set("Resumes", attempt);
  second.headers.set(platform::kLastEventId, "2");
  // Otherwise its home would be the server that began it.
  second.headers.set(platform::kPromptPrefix, "c" + std::to_string(number) + ":900");
  co_return co_await fleet.call(node, std::move(second));
}

/// Guards against returns that go on nowhere, although servers of their version serve, as all nodes
/// that kept their records were lost at once.
BOOST_AUTO_TEST_CASE(returnsGoOnAtTheirVersionAfterAllNodesWereLost) {
  GatewayFleet fleet(5, 0);
  VersionedStreams streams;
  for (const std::string version : {"v1", "v1.1"}) {
    for (const std::string name : {"-a", "-b"}) {
      ServerStandIn& server = fleet.addServer(version + name, "llm", "m", version);
      server.setBehaviour(streams.behaviourOf(version));
    }
  }
  fleet.run([&]() -> awaitable<void> {
    constexpr unsigned kStreams = 40;
    std::vector<std::string> attempts;
    for (unsigned number = 0; number < kStreams; ++number) {
      attempts.push_back(co_await beginStream(fleet, streams, number % 5, number));
    }
    co_await fleet.pause(Milliseconds(150));
    // They know of the nodes before them what the store tells.
    const std::size_t first = fleet.size();
    co_await fleet.startMore(3, "z2");
    co_await fleet.pause(Milliseconds(500));
    unsigned wentOn = 0;
    for (unsigned number = 0; number < kStreams; ++number) {
      const std::size_t node = first + number % 3;
      wentOn += co_await takeUp(fleet, node, number, attempts[number]) == 200U ? 1 : 0;
    }
    BOOST_TEST(streams.mixed() == 0U);
    BOOST_TEST(wentOn >= kStreams * 95 / 100);
  });
}

/// Guards against streams that are joined from two versions: the servers of the one that began them
/// have left, and nodes that have just started see servers of another one that have run for long.
BOOST_AUTO_TEST_CASE(streamsOfAVersionThatLeftBeforeAllNodesStartedGoOnNowhere) {
  GatewayFleet fleet(3, 0);
  VersionedStreams streams;
  for (const std::string version : {"v1", "v1.1"}) {
    ServerStandIn& server = fleet.addServer(version, "llm", "m", version);
    server.setBehaviour(streams.behaviourOf(version));
    server.born = *server.born - 3'600'000;
    fleet.store.put("servers", version, server.entry());
  }
  fleet.run([&]() -> awaitable<void> {
    constexpr unsigned kStreams = 12;
    std::vector<std::string> attempts;
    for (unsigned number = 0; number < kStreams; ++number) {
      attempts.push_back(co_await beginStream(fleet, streams, number % 3, number));
    }
    fleet.store.remove("servers", "v1");
    co_await fleet.pause(Milliseconds(500));
    const std::size_t first = fleet.size();
    co_await fleet.startMore(3, "z2");
    co_await fleet.pause(Milliseconds(500));
    unsigned wentOn = 0;
    for (unsigned number = 0; number < kStreams; ++number) {
      const std::size_t node = first + number % 3;
      wentOn += co_await takeUp(fleet, node, number, attempts[number]) == 200U ? 1 : 0;
      // Of this one no record is left.
      streams.versions["stream " + std::to_string(100 + number)] = {"v1"};
      BOOST_TEST(co_await takeUp(fleet, node, 100 + number, "lost") == 503U);
    }
    BOOST_TEST(streams.mixed() == 0U);
    BOOST_TEST(wentOn > 0U, "those of the version that serves go on");
  });
}

/// Guards against refusals where there is nothing to mix.
BOOST_AUTO_TEST_CASE(returnsOfUnknownAttemptsGoOnWhereAllServersHaveOneVersion) {
  GatewayFleet fleet(3, 0);
  VersionedStreams streams;
  streams.breaksFirstRuns = false;
  for (const std::string name : {"a", "b"}) {
    ServerStandIn& server = fleet.addServer(name, "llm", "m", "v1");
    server.setBehaviour(streams.behaviourOf("v1"));
    // They have run for an hour.
    server.born = *server.born - 3'600'000;
    fleet.store.put("servers", name, server.entry());
  }
  fleet.run([&]() -> awaitable<void> {
    for (const std::string attempt : {"unknown", ""}) {
      http::Request message = streamRequest(1);
      if (!attempt.empty()) {
        message.headers.set("Resumes", attempt);
      }
      message.headers.set(platform::kLastEventId, "2");
      const Result<http::Response> answer = co_await fleet.exchange(0, std::move(message));
      BOOST_REQUIRE(static_cast<bool>(answer));
      BOOST_TEST(answer.value().status == 200U);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
