#include "relay/relay_node.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "fake_store.h"
#include "log/log.h"
#include "store/kind_watcher.h"

namespace calicodrift::relay {
namespace {

namespace asio = boost::asio;
constexpr Milliseconds kWatch{60};

/// A port that is currently free.
std::uint16_t freePort(asio::io_context& context) {
  asio::ip::tcp::acceptor acceptor(context,
                                   asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

/// A node that watches a kind through its relay. Its own path to the store can be cut.
struct TestNode {
  TestNode(asio::io_context& context, FakeStore& shared, http::Client& client,
           const RelaySettings& settings)
      : path(shared),
        relay(context.get_executor(), path, client, settings),
        watcher(context.get_executor(), relay.store(), watcherSettings(),
                store::KindListener{[this](const store::Listing& listing) {
                                      for (const store::Object& object : listing.objects) {
                                        seen[object.name] = object.spec;
                                      }
                                    },
                                    [this](const store::ChangeBatch& batch) {
                                      for (const store::Change& change : batch.changes) {
                                        if (change.removed) {
                                          seen.erase(change.object.name);
                                        } else {
                                          seen[change.object.name] = change.object.spec;
                                        }
                                      }
                                    },
                                    [this](bool reachable, const std::string& /*cause*/) {
                                      failedReads += reachable ? 0U : 1U;
                                    }}),
        server(context.get_executor(), {},
               [this](http::Request& request, http::ResponseWriter& writer) {
                 return relay.handle(request, writer);
               }) {
    if (settings.endpoint.port != 0) {
      BOOST_REQUIRE(server.listen(settings.endpoint));
    }
    relay.onSourceChanged([this] { watcher.retryNow(); });
    relay.start();
    watcher.start();
  }

  static store::KindWatcherSettings watcherSettings() {
    store::KindWatcherSettings watcher;
    watcher.kind = "k";
    watcher.wait = kWatch;
    watcher.shortestWait = Milliseconds(20);
    watcher.proofAge = kWatch;
    watcher.firstPause = Milliseconds(5);
    return watcher;
  }

  /// This node's own path to the store.
  struct Path : store::ObjectStore {
    explicit Path(FakeStore& shared) : shared(shared) {}
    asio::awaitable<Result<store::Listing>> list(std::string kind) override {
      if (cut) {
        co_return fail(ErrorKind::kStoreUnavailable, "cut");
      }
      ++reads;
      co_return co_await shared.list(std::move(kind));
    }
    asio::awaitable<Result<store::ChangeBatch>> watch(std::string kind, store::Revision since,
                                                      Milliseconds wait) override {
      if (cut) {
        co_return fail(ErrorKind::kStoreUnavailable, "cut");
      }
      ++reads;
      waits.push_back(wait);
      Result<store::ChangeBatch> batch = co_await shared.watch(std::move(kind), since, wait);
      if (cut) {
        co_return fail(ErrorKind::kStoreUnavailable, "cut");
      }
      co_return batch;
    }
    asio::awaitable<Result<store::Object>> get(std::string kind, std::string name) override {
      if (cut) {
        co_return fail(ErrorKind::kStoreUnavailable, "cut");
      }
      co_return co_await shared.get(std::move(kind), std::move(name));
    }
    asio::awaitable<Result<store::Revision>> put(std::string kind, store::Object object) override {
      if (cut) {
        co_return fail(ErrorKind::kStoreUnavailable, "cut");
      }
      co_return co_await shared.put(std::move(kind), std::move(object));
    }
    asio::awaitable<Result<store::Revision>> putStatus(std::string kind,
                                                       store::Object object) override {
      if (cut) {
        co_return fail(ErrorKind::kStoreUnavailable, "cut");
      }
      co_return co_await shared.putStatus(std::move(kind), std::move(object));
    }
    FakeStore& shared;
    bool cut = false;
    std::size_t reads = 0;
    /// Waits of all watches that reached the store.
    std::vector<Milliseconds> waits;
  };

  Path path;
  RelayNode relay;
  store::KindWatcher watcher;
  std::map<std::string, boost::json::value> seen;
  /// Number of times that reads began to fail.
  std::size_t failedReads = 0;
  http::Server server;
};

struct RelayFixture {
  asio::io_context context;
  FakeStore shared{context};
  http::Client client{context.get_executor()};
  std::vector<std::unique_ptr<TestNode>> nodes;
  RelaySettings settings;

  RelayFixture() {
    log::silence();
    settings.group = "z1";
    settings.proofAge = Milliseconds(200);
    settings.maxHopDelay = Milliseconds(50);
    settings.freshAge = Milliseconds(150);
    settings.startDelay = Milliseconds(30);
    settings.claimDelay = Milliseconds(60);
    settings.heartbeatInterval = Milliseconds(50);
    settings.joinRetry = Milliseconds(10);
    settings.minStoreBackoff = Milliseconds(20);
    settings.maxStoreBackoff = Milliseconds(100);
    settings.callTimeout = Milliseconds(150);
    settings.joinTimeout = Milliseconds(150);
    settings.reviewInterval = Milliseconds(200);
    settings.childTimeout = Milliseconds(300);
    settings.failureRetention = Milliseconds(400);
    settings.orphanGracePeriod = Milliseconds(300);
    settings.rootCount = 1;
    shared.set("k", "a", "1");
  }
  /// Pending handlers must not run after the nodes are destroyed.
  ~RelayFixture() { context.stop(); }

  /// Address of each node.
  std::vector<Endpoint> endpoints;

  TestNode& addNode() {
    settings.node = NodeId("n" + std::to_string(nodes.size()));
    settings.endpoint = {"127.0.0.1", freePort(context)};
    endpoints.push_back(settings.endpoint);
    nodes.push_back(std::make_unique<TestNode>(context, shared, client, settings));
    return *nodes.back();
  }
  void run(Milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  std::vector<TestNode*> relays() {
    std::vector<TestNode*> found;
    for (const auto& node : nodes) {
      if (node->relay.isRelay()) {
        found.push_back(node.get());
      }
    }
    return found;
  }
  std::size_t readers() const {
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [](const auto& node) { return node->relay.readsStore(); }));
  }
};

BOOST_FIXTURE_TEST_SUITE(relay_node, RelayFixture)

BOOST_AUTO_TEST_CASE(oneOfManyNodesReadsTheStore) {
  for (int count = 0; count < 8; ++count) {
    addNode();
  }
  run(Milliseconds(600));
  BOOST_TEST(relays().size() == 1U);
  BOOST_TEST(readers() == 1U);
  shared.set("k", "b", "2");
  shared.remove("k", "a");
  run(Milliseconds(100));
  for (const auto& node : nodes) {
    BOOST_TEST(node->seen.contains("b"));
    BOOST_TEST(!node->seen.contains("a"));
  }
}

BOOST_AUTO_TEST_CASE(childWaitsForItsParentsFirstState) {
  // All nodes start together. A child that is rejected until the root has its listing would retry
  // after growing pauses.
  shared.listDelay = Milliseconds(200);
  settings.callTimeout = Milliseconds(400);
  for (int count = 0; count < 6; ++count) {
    addNode();
  }
  run(settings.startDelay + shared.listDelay + Milliseconds(90));
  for (const auto& node : nodes) {
    BOOST_TEST(node->seen.contains("a"));
    BOOST_TEST(node->failedReads == 0U);
  }
}

BOOST_AUTO_TEST_CASE(twoOfManyNodesReadTheStoreSoThatOneMayBeLost) {
  settings.rootCount = 2;
  for (int count = 0; count < 8; ++count) {
    addNode();
  }
  run(Milliseconds(1200));
  BOOST_TEST(relays().size() == 2U);
  BOOST_TEST(readers() == 2U);
  // Its followers continue at the other root; no node has to become a root first.
  TestNode& lost = *relays()[0];
  lost.path.cut = true;
  run(settings.proofAge + Milliseconds(150));
  shared.set("k", "new", "3");
  run(Milliseconds(100));
  for (const auto& node : nodes) {
    BOOST_TEST((node.get() == &lost || node->seen.contains("new")));
  }
}

BOOST_AUTO_TEST_CASE(nodesFollowARelayOfTheirOwnZoneWhereThereIsOne) {
  settings.rootCount = 2;
  settings.zone = ZoneId("z1");
  addNode();
  settings.zone = ZoneId("z2");
  addNode();
  run(Milliseconds(900));
  BOOST_REQUIRE(relays().size() == 2U);
  for (const char* zone : {"z1", "z2", "z1", "z2", "z3"}) {
    settings.zone = ZoneId(zone);
    addNode();
  }
  run(Milliseconds(400));
  BOOST_TEST(relays().size() == 2U);
  const Endpoint first = endpoints[0];
  for (const std::size_t node : {2U, 4U}) {
    BOOST_TEST((nodes[node]->relay.relay() == first));
  }
  for (const std::size_t node : {3U, 5U}) {
    BOOST_TEST((nodes[node]->relay.relay() != first));
  }
  // Nodes of other zones may follow any relay.
  BOOST_TEST(nodes[6]->relay.relay().has_value());
}

BOOST_AUTO_TEST_CASE(nodeThatLosesItsParentHasAnotherBeforeItsViewIsOld) {
  // Other nodes may ask it to serve them at any moment, which it could not do with a stale proof.
  addNode();
  run(Milliseconds(300));
  TestNode& follower = addNode();
  run(Milliseconds(400));
  BOOST_REQUIRE(!follower.relay.isRelay());
  asio::co_spawn(context, nodes[0]->relay.stop(), asio::detached);
  run(Milliseconds(300));
  BOOST_TEST(follower.relay.readsStore());
  BOOST_TEST((monotonicNow() - follower.watcher.provenAt() < settings.proofAge));
}

BOOST_AUTO_TEST_CASE(followersProveTheAgeOfTheirViews) {
  for (int count = 0; count < 4; ++count) {
    addNode();
  }
  run(Milliseconds(600));
  for (const auto& node : nodes) {
    BOOST_TEST((monotonicNow() - node->watcher.provenAt() < 3 * kWatch));
    BOOST_TEST((node->watcher.provenAt() <= monotonicNow()));
  }
}

BOOST_AUTO_TEST_CASE(rootThatLosesTheStoreIsReplacedAndFollowsItsSuccessor) {
  for (int count = 0; count < 4; ++count) {
    addNode();
  }
  run(Milliseconds(600));
  BOOST_REQUIRE(relays().size() == 1U);
  TestNode& lost = *relays()[0];
  lost.path.cut = true;
  shared.set("k", "new", "3");
  run(settings.proofAge + Milliseconds(900));
  for (const auto& node : nodes) {
    BOOST_TEST(node->seen.contains("new"));
    BOOST_TEST((monotonicNow() - node->watcher.provenAt() < settings.proofAge));
  }
  // Another node has replaced it, and no other node reads the store.
  BOOST_TEST(relays().size() == 1U);
  BOOST_TEST(readers() == 1U);
  BOOST_TEST(!lost.relay.isRelay());
  lost.path.cut = false;
  run(Milliseconds(600));
  BOOST_TEST(relays().size() == 1U);
  BOOST_TEST(readers() == 1U);
}

BOOST_AUTO_TEST_CASE(relayThatWasReplacedFollowsItsSuccessorSoonAfterTheStoreIsBack) {
  // Reviews alone would take longer than this test.
  settings.reviewInterval = Milliseconds(60'000);
  for (int count = 0; count < 4; ++count) {
    addNode();
  }
  run(Milliseconds(600));
  BOOST_REQUIRE(relays().size() == 1U);
  TestNode& lost = *relays()[0];
  lost.path.cut = true;
  run(settings.proofAge + Milliseconds(600));
  BOOST_TEST(relays().size() == 1U);
  lost.path.cut = false;
  run(settings.childTimeout + 2 * settings.claimDelay + Milliseconds(600));
  BOOST_TEST(relays().size() == 1U);
  BOOST_TEST(readers() == 1U);
  BOOST_TEST(!lost.relay.isRelay());
}

BOOST_AUTO_TEST_CASE(followersContinueAfterTheirRelayStops) {
  for (int count = 0; count < 4; ++count) {
    addNode();
  }
  run(Milliseconds(600));
  BOOST_REQUIRE(relays().size() == 1U);
  TestNode& stopped = *relays()[0];
  asio::co_spawn(context, stopped.relay.stop(), asio::detached);
  shared.set("k", "new", "3");
  run(Milliseconds(150));
  for (const auto& node : nodes) {
    BOOST_TEST(node->seen.contains("new"));
  }
  run(Milliseconds(600));
  // The stopped node reads the store itself, and a new root reads it for the others.
  BOOST_TEST(readers() == 2U);
  BOOST_TEST(stopped.relay.readsStore());
}

BOOST_AUTO_TEST_CASE(staleViewsDuringAStoreOutageMoveNoNode) {
  for (int count = 0; count < 8; ++count) {
    addNode();
  }
  run(Milliseconds(600));
  BOOST_REQUIRE(relays().size() == 1U);
  std::vector<std::optional<Endpoint>> parents;
  parents.reserve(nodes.size());
  for (const auto& node : nodes) {
    parents.push_back(node->relay.relay());
  }
  shared.down = true;
  const std::size_t before = shared.calls;
  run(Milliseconds(1000));
  // The watches of the root, and an occasional check by a child whether it can reach the store.
  BOOST_TEST(shared.calls - before < 160U);
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    BOOST_TEST((nodes[node]->relay.relay() == parents[node]));
  }
  shared.down = false;
  shared.set("k", "new", "3");
  // A watcher pauses for at most 400 ms after a failed call.
  run(Milliseconds(600));
  for (const auto& node : nodes) {
    BOOST_TEST(node->seen.contains("new"));
  }
  BOOST_TEST(readers() == 1U);
}

BOOST_AUTO_TEST_CASE(nodesRejectedByAFullRelayReadThroughItsChildren) {
  settings.maxChildren = 2;
  for (int count = 0; count < 8; ++count) {
    addNode();
  }
  run(Milliseconds(1500));
  // Only one node reads the store, however many there are.
  BOOST_TEST(relays().size() == 1U);
  BOOST_TEST(readers() == 1U);
  shared.set("k", "b", "2");
  run(Milliseconds(150));
  for (const auto& node : nodes) {
    BOOST_TEST(node->seen.contains("b"));
    BOOST_TEST((monotonicNow() - node->watcher.provenAt() < settings.proofAge));
  }
}

BOOST_AUTO_TEST_CASE(nodeRejectedByTheStoreIsServedByItsRelay) {
  for (int count = 0; count < 3; ++count) {
    addNode();
  }
  run(Milliseconds(600));
  BOOST_REQUIRE(relays().size() == 1U);
  for (const auto& node : nodes) {
    node->path.cut = !node->relay.isRelay();
  }
  shared.set("k", "b", "2");
  run(Milliseconds(150));
  for (const auto& node : nodes) {
    BOOST_TEST(node->seen.contains("b"));
    BOOST_TEST((monotonicNow() - node->watcher.provenAt() < settings.proofAge));
  }
}

BOOST_AUTO_TEST_CASE(nodesBelowARootWithAnOldViewReadTheStoreThemselves) {
  // The tree alone would leave them with their parent's view for the whole test.
  settings.maxChildren = 2;
  settings.proofAge = Milliseconds(60'000);
  settings.freshAge = settings.proofAge;
  settings.readAges["k"] = Milliseconds(300);
  for (int count = 0; count < 6; ++count) {
    addNode();
  }
  run(Milliseconds(900));
  BOOST_REQUIRE(relays().size() == 1U);
  TestNode& root = *relays()[0];
  for (const auto& node : nodes) {
    BOOST_TEST((node.get() == &root || node->path.reads == 0U));
  }
  root.path.cut = true;
  shared.set("k", "new", "3");
  for (int sample = 0; sample < 10; ++sample) {
    run(Milliseconds(100));
    for (const auto& node : nodes) {
      const bool young = monotonicNow() - node->watcher.provenAt() < Milliseconds(600);
      BOOST_TEST((node.get() == &root || young));
    }
  }
  for (const auto& node : nodes) {
    BOOST_TEST((node.get() == &root || node->seen.contains("new")));
  }
}

BOOST_AUTO_TEST_CASE(withoutAnAddressTheNodeReadsTheStoreItself) {
  settings.node = NodeId("alone");
  nodes.push_back(std::make_unique<TestNode>(context, shared, client, settings));
  run(Milliseconds(200));
  BOOST_TEST(nodes[0]->relay.readsStore());
  BOOST_TEST(!nodes[0]->relay.isRelay());
  BOOST_TEST(nodes[0]->seen.contains("a"));
  BOOST_TEST(shared.objects("calicodrift-relays").empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
