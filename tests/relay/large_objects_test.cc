// Objects of hundreds of kilobytes over links that need a third of a second for one of them.
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "fake_store.h"
#include "log/log.h"
#include "relay/relay_node.h"
#include "store/kind_watcher.h"
#include "support/slow_link.h"

namespace calicodrift::relay {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
constexpr const char* kKind = "config";
constexpr std::size_t kRoutes = 1400;
/// 10 Mbit/s.
constexpr std::size_t kLinkBytesPerSecond = 1'250'000;

json::object routeNumbered(std::size_t number, std::uint64_t version) {
  const std::string name = std::to_string(number * 7919 % 1'000'003);
  return json::object{{"name", "r-" + name},
                      {"host", "h" + std::to_string(number % 50) + ".example"},
                      {"path_prefix", "/" + name + "/"},
                      {"kind", number % 2 == 0 ? "safe" : "unsafe"},
                      {"timeout_ms", 4000 + version},
                      {"target_latency_ms", 300},
                      {"priority", 1},
                      {"service", "app"},
                      {"max_attempts", 2},
                      {"public", false},
                      {"sticky_sessions", false},
                      {"resumable", false}};
}

/// Only the first route differs between versions.
json::value configuration(std::uint64_t version) {
  json::array routes;
  for (std::size_t number = 0; number < kRoutes; ++number) {
    routes.push_back(routeNumbered(number, number == 0 ? version : 0));
  }
  return json::object{{"version", version}, {"routes", std::move(routes)}};
}

std::uint16_t freePort(asio::io_context& context) {
  asio::ip::tcp::acceptor acceptor(context,
                                   asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

std::string textOf(const store::Object& object) {
  return json::serialize(store::parsed(object).spec);
}

/// The store behind a node's link.
class DistantStore : public FakeStore {
 public:
  DistantStore(asio::io_context& context, FakeStore& shared, testing::SlowLink& link)
      : FakeStore(context), shared_(shared), link_(link) {}

  asio::awaitable<Result<store::Listing>> list(std::string kind) override {
    Result<store::Listing> listing = co_await shared_.list(std::move(kind));
    if (listing) {
      for (const store::Object& object : listing.value().objects) {
        co_await link_.carry(textOf(object).size());
      }
    }
    co_return listing;
  }
  asio::awaitable<Result<store::ChangeBatch>> watch(std::string kind, store::Revision since,
                                                    Milliseconds wait) override {
    Result<store::ChangeBatch> batch = co_await shared_.watch(std::move(kind), since, wait);
    if (batch) {
      for (const store::Change& change : batch.value().changes) {
        co_await link_.carry(textOf(change.object).size());
      }
    }
    co_return batch;
  }
  asio::awaitable<Result<store::Object>> get(std::string kind, std::string name) override {
    return shared_.get(std::move(kind), std::move(name));
  }
  asio::awaitable<Result<store::Revision>> put(std::string kind, store::Object object) override {
    return shared_.put(std::move(kind), std::move(object));
  }

 private:
  FakeStore& shared_;
  testing::SlowLink& link_;
};

struct SlowNode {
  SlowNode(asio::io_context& context, FakeStore& shared, http::Client& client,
           const RelaySettings& settings)
      : fromStore(context, kLinkBytesPerSecond),
        toNodes(context, kLinkBytesPerSecond),
        path(context, shared, fromStore),
        relay(context.get_executor(), path, client, settings),
        watcher(context.get_executor(), relay.store(), watcherSettings(),
                store::KindListener{[this](const store::Listing& listing) {
                                      for (const store::Object& object : listing.objects) {
                                        apply(object);
                                      }
                                    },
                                    [this](const store::ChangeBatch& batch) {
                                      for (const store::Change& change : batch.changes) {
                                        apply(change.object);
                                      }
                                    },
                                    nullptr}),
        server(context.get_executor(), {},
               [this](http::Request& request, http::ResponseWriter& writer) {
                 return answer(request, writer);
               }) {
    BOOST_REQUIRE(server.listen(settings.endpoint));
    relay.onSourceChanged([this] { watcher.retryNow(); });
    relay.start();
    watcher.start();
  }

  asio::awaitable<void> answer(http::Request& request, http::ResponseWriter& writer) {
    if (earlierBuild && request.target == kPatchedViewPath) {
      co_await http::respond(writer, http::textResponse(404, ""));
      co_return;
    }
    testing::SlowWriter slow(writer, toNodes);
    co_await relay.handle(request, slow);
  }
  void apply(const store::Object& object) {
    content = store::parsed(object).spec;
    version = content.at("version").to_number<std::uint64_t>();
  }
  static store::KindWatcherSettings watcherSettings() {
    store::KindWatcherSettings watcher;
    watcher.kind = kKind;
    watcher.wait = Milliseconds(600);
    watcher.proofAge = Milliseconds(600);
    return watcher;
  }

  testing::SlowLink fromStore;
  testing::SlowLink toNodes;
  DistantStore path;
  RelayNode relay;
  store::KindWatcher watcher;
  /// Answers as builds without patches do.
  bool earlierBuild = false;
  std::uint64_t version = 0;
  json::value content;
  http::Server server;
};

struct SlowLinksFixture {
  SlowLinksFixture() {
    log::silence();
    settings.group = "g";
    settings.maxChildren = 2;
    settings.readAges = {{kKind, Milliseconds(1800)}};
    shared.setSpec(kKind, "main", configuration(1));
    for (std::size_t number = 0; number < kNodes; ++number) {
      settings.node = NodeId("n" + std::to_string(number));
      settings.zone = ZoneId("z");
      settings.endpoint = {"127.0.0.1", freePort(context)};
      nodes.push_back(std::make_unique<SlowNode>(context, shared, client, settings));
    }
  }
  ~SlowLinksFixture() { context.stop(); }

  bool allHave(std::uint64_t version) const {
    return std::all_of(nodes.begin(), nodes.end(),
                       [version](const auto& node) { return node->version == version; });
  }
  /// Runs until all nodes have the version. @return how long that took; nothing after `longest`.
  std::optional<Milliseconds> timeUntilAllHave(std::uint64_t version, Milliseconds longest) {
    const MonotonicTime begin = monotonicNow();
    while (!allHave(version)) {
      if (monotonicNow() - begin > longest) {
        return std::nullopt;
      }
      context.restart();
      context.run_for(Milliseconds(5));
    }
    return std::chrono::ceil<Milliseconds>(monotonicNow() - begin);
  }
  std::size_t bytesBetweenNodes() const {
    std::size_t bytes = 0;
    for (const auto& node : nodes) {
      bytes += node->toNodes.carried();
    }
    return bytes;
  }

  static constexpr std::size_t kNodes = 7;
  asio::io_context context;
  FakeStore shared{context};
  http::Client client{context.get_executor()};
  RelaySettings settings;
  std::vector<std::unique_ptr<SlowNode>> nodes;
};

}  // namespace

// Each node sends its children what changed. Where it sent the whole object for each change of one
// route, the links of the upper nodes carried nothing else, and the change came too late below
// them.
BOOST_FIXTURE_TEST_CASE(oneChangedRouteOfManyCostsLittleAndArrivesSoon, SlowLinksFixture) {
  constexpr Milliseconds kHalfOfBound{1500};
  constexpr std::size_t kChanges = 10;
  constexpr std::size_t kMaxBytesPerChangeAndNode = 8192;
  BOOST_REQUIRE(timeUntilAllHave(1, Milliseconds(20'000)));
  context.restart();
  context.run_for(Milliseconds(2000));
  const std::size_t before = bytesBetweenNodes();
  for (std::size_t change = 0; change < kChanges; ++change) {
    shared.setSpec(kKind, "main", configuration(2 + change));
    context.restart();
    context.run_for(Milliseconds(300));
  }
  const auto took = timeUntilAllHave(1 + kChanges, Milliseconds(20'000));
  BOOST_REQUIRE(took);
  BOOST_TEST_MESSAGE("in force after " << took->count() << " ms, "
                                       << (bytesBetweenNodes() - before) / kChanges / kNodes
                                       << " bytes for a change and node");
  BOOST_TEST(took->count() <= kHalfOfBound.count());
  BOOST_TEST((bytesBetweenNodes() - before) / kChanges / kNodes <= kMaxBytesPerChangeAndNode);
  for (const auto& node : nodes) {
    BOOST_TEST((node->content == configuration(1 + kChanges)));
  }
}

/// Guards against nodes that pass on a configuration without its content after two changes in a
/// row, so that nodes which start below them serve nobody.
BOOST_FIXTURE_TEST_CASE(twoChangesInOneBatchLeaveTheNewerOneWhole, SlowLinksFixture) {
  BOOST_REQUIRE(timeUntilAllHave(1, Milliseconds(20'000)));
  shared.setSpec(kKind, "main", configuration(2));
  shared.setSpec(kKind, "main", configuration(3));
  BOOST_REQUIRE(timeUntilAllHave(3, Milliseconds(20'000)));
  for (const auto& node : nodes) {
    const store::Listing passedOn = node->relay.store().cache(kKind)->listing();
    BOOST_REQUIRE(passedOn.objects.size() == 1U);
    BOOST_TEST((store::parsed(passedOn.objects.front()).spec == configuration(3)));
  }
}

// Nodes of a build without patches send whole objects, and their children understand them.
BOOST_FIXTURE_TEST_CASE(relaysOfAnEarlierBuildSendWholeObjects, SlowLinksFixture) {
  for (std::size_t number = 0; number < kNodes; number += 2) {
    nodes[number]->earlierBuild = true;
  }
  BOOST_REQUIRE(timeUntilAllHave(1, Milliseconds(20'000)));
  shared.setSpec(kKind, "main", configuration(2));
  BOOST_REQUIRE(timeUntilAllHave(2, Milliseconds(20'000)));
  for (const auto& node : nodes) {
    BOOST_TEST((node->content == configuration(2)));
  }
}

// Many new routes at once are compressed, and each node compresses them once for all children.
BOOST_FIXTURE_TEST_CASE(manyNewRoutesArriveWithinHalfOfTheBound, SlowLinksFixture) {
  constexpr Milliseconds kHalfOfBound{1500};
  BOOST_REQUIRE(timeUntilAllHave(1, Milliseconds(20'000)));
  context.restart();
  context.run_for(Milliseconds(2000));
  json::value larger = configuration(2);
  for (std::size_t number = kRoutes; number < 2 * kRoutes; ++number) {
    larger.at("routes").as_array().push_back(routeNumbered(number, 0));
  }
  const std::size_t before = bytesBetweenNodes();
  shared.setSpec(kKind, "main", larger);
  const auto took = timeUntilAllHave(2, Milliseconds(20'000));
  BOOST_REQUIRE(took);
  BOOST_TEST_MESSAGE("in force after " << took->count() << " ms, "
                                       << (bytesBetweenNodes() - before) / kNodes
                                       << " bytes for a node");
  BOOST_TEST(took->count() <= kHalfOfBound.count());
}

}  // namespace calicodrift::relay
