#include "exchange/node_exchange.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

namespace calicodrift::exchange {
namespace {

namespace asio = boost::asio;
const fleet::ServerKey kServer{7};

/// A node with its own load on one server.
struct TestNode {
  TestNode(asio::io_context& context, http::Client& client, const std::string& name,
           std::size_t requests)
      : server(context.get_executor(), {},
               [this](http::Request& request, http::ResponseWriter& writer) {
                 return exchange->handle(request, writer);
               }) {
    endpoint = server.listen({"127.0.0.1", 0}).value();
    NodeExchangeSettings settings;
    settings.node = name;
    settings.endpoint = endpoint;
    settings.minInterval = Milliseconds(20);
    settings.maxInterval = Milliseconds(20);
    settings.term = Milliseconds(200);
    exchange = std::make_unique<NodeExchange>(
        NodeExchangeContext{
            context.get_executor(), client, [this] { return relay; },
            [this] { return !relay.has_value(); }, [this] { return otherRelays; },
            [requests] {
              return fleet::ServerLoads{{kServer, fleet::ServerLoad{requests, 0, 0, 0}}};
            },
            [this](const fleet::ServerLoads& loads) {
              const auto found = loads.find(kServer);
              others = found == loads.end() ? 0 : found->second.requests;
            },
            [this] { return std::exchange(pendingSaves, {}); },
            [this](const std::vector<fleet::SavedPart>& saves) {
              receivedSaves.insert(receivedSaves.end(), saves.begin(), saves.end());
            },
            [this] { return named; },
            [this](const std::vector<fleet::NamedWeights>& others) {
              receivedNamings.insert(receivedNamings.end(), others.begin(), others.end());
            },
            [this] { return cacheStores; },
            [this](const std::vector<fleet::CacheStoreReport>& reports) { cacheStores = reports; }},
        settings);
  }

  Endpoint endpoint;
  std::optional<Endpoint> relay;
  std::vector<Endpoint> otherRelays;
  std::size_t others = 0;
  std::vector<fleet::SavedPart> pendingSaves;
  std::vector<fleet::SavedPart> receivedSaves;
  std::vector<fleet::NamedWeights> named;
  std::vector<fleet::NamedWeights> receivedNamings;
  std::vector<fleet::CacheStoreReport> cacheStores;
  std::unique_ptr<NodeExchange> exchange;
  http::Server server;
};

/// Two relays with one follower each.
struct ExchangeFixture {
  asio::io_context context;
  http::Client client{context.get_executor()};
  TestNode firstRelay{context, client, "r1", 1};
  TestNode secondRelay{context, client, "r2", 10};
  TestNode firstFollower{context, client, "f1", 100};
  TestNode secondFollower{context, client, "f2", 1000};

  ExchangeFixture() {
    firstRelay.otherRelays = {secondRelay.endpoint};
    secondRelay.otherRelays = {firstRelay.endpoint};
    firstFollower.relay = firstRelay.endpoint;
    secondFollower.relay = secondRelay.endpoint;
  }
  void start() {
    for (TestNode* node : {&firstRelay, &secondRelay, &firstFollower, &secondFollower}) {
      node->exchange->start();
    }
  }
  void run(Milliseconds time) {
    context.restart();
    context.run_for(time);
  }
};

BOOST_FIXTURE_TEST_SUITE(node_exchange, ExchangeFixture)

BOOST_AUTO_TEST_CASE(longerReportsAreSentLessOften) {
  const NodeExchangeSettings settings;
  BOOST_TEST(intervalFor(settings, 0) == settings.minInterval);
  BOOST_TEST(intervalFor(settings, 90) == settings.minInterval);
  const Milliseconds some = intervalFor(settings, 240);
  BOOST_TEST(some > settings.minInterval);
  BOOST_TEST(some < settings.maxInterval);
  BOOST_TEST(intervalFor(settings, 10'000) == settings.maxInterval);
  // Reports expire if they are not renewed within the term; the term must allow for some lost
  // reports.
  BOOST_TEST(3 * settings.maxInterval <= settings.term);
}

BOOST_AUTO_TEST_CASE(eachNodeLearnsTheSumOfTheOthers) {
  start();
  run(Milliseconds(300));
  BOOST_TEST(firstRelay.others == 1110U);
  BOOST_TEST(secondRelay.others == 1101U);
  BOOST_TEST(firstFollower.others == 1011U);
  BOOST_TEST(secondFollower.others == 111U);
}

BOOST_AUTO_TEST_CASE(saveIsSentToEveryOtherNode) {
  firstFollower.pendingSaves = {{5, 9}};
  start();
  run(Milliseconds(300));
  for (const TestNode* node : {&firstRelay, &secondRelay, &secondFollower}) {
    BOOST_REQUIRE(node->receivedSaves.size() >= 1U);
    BOOST_TEST((node->receivedSaves[0] == fleet::SavedPart{5, 9}));
  }
}

BOOST_AUTO_TEST_CASE(loadThatIsNotRenewedExpires) {
  start();
  run(Milliseconds(200));
  secondFollower.relay.reset();
  secondFollower.otherRelays.clear();
  run(Milliseconds(500));
  BOOST_TEST(firstFollower.others == 11U);
}

BOOST_AUTO_TEST_CASE(relayUnknownToTheOtherInitiatesTheExchange) {
  // Whichever relay is to initiate by the order of the endpoints, one of them does not know the
  // other.
  firstRelay.otherRelays.clear();
  start();
  run(Milliseconds(300));
  BOOST_TEST(firstRelay.others == 1110U);
  BOOST_TEST(secondRelay.others == 1101U);
  std::swap(firstRelay.otherRelays, secondRelay.otherRelays);
  firstRelay.otherRelays = {secondRelay.endpoint};
  run(Milliseconds(500));
  BOOST_TEST(firstRelay.others == 1110U);
  BOOST_TEST(secondRelay.others == 1101U);
}

BOOST_AUTO_TEST_CASE(nodeReceivesTheTimesAtWhichWeightsWereNamed) {
  const fleet::NamedWeights named{
      ModelId("m"),
      WeightsVersion(2),
      WeightsVersion(3),
      {{WeightsVersion(4), Milliseconds(1500)}, {WeightsVersion(5), Milliseconds(20)}}};
  firstRelay.named = {named};
  start();
  run(Milliseconds(200));
  for (const TestNode* node : {&firstFollower, &secondRelay}) {
    BOOST_REQUIRE(!node->receivedNamings.empty());
    const fleet::NamedWeights& received = node->receivedNamings[0];
    BOOST_TEST((received.model == named.model));
    BOOST_TEST((received.floor == named.floor));
    BOOST_TEST((received.coveredFrom == named.coveredFrom));
    BOOST_REQUIRE(received.namings.size() == 2U);
    BOOST_TEST((received.namings[0].weights == WeightsVersion(4)));
    BOOST_TEST(received.namings[0].age == Milliseconds(1500));
    BOOST_TEST((received.namings[1].weights == WeightsVersion(5)));
    BOOST_TEST(received.namings[1].age == Milliseconds(20));
  }
}

/// A root, its child, and two leaves below that child.
struct ChainFixture {
  asio::io_context context;
  http::Client client{context.get_executor()};
  TestNode root{context, client, "root", 1};
  TestNode middle{context, client, "middle", 10};
  TestNode firstLeaf{context, client, "leaf1", 100};
  TestNode secondLeaf{context, client, "leaf2", 1000};

  ChainFixture() {
    middle.relay = root.endpoint;
    firstLeaf.relay = middle.endpoint;
    secondLeaf.relay = middle.endpoint;
  }
  void run(Milliseconds time) {
    for (TestNode* node : {&root, &middle, &firstLeaf, &secondLeaf}) {
      node->exchange->start();
    }
    context.run_for(time);
  }
};

BOOST_FIXTURE_TEST_CASE(innerNodeReportsItsChildrenAndItsParentToEachOther, ChainFixture) {
  run(Milliseconds(400));
  BOOST_TEST(root.others == 1110U);
  BOOST_TEST(middle.others == 1101U);
  BOOST_TEST(firstLeaf.others == 1011U);
  BOOST_TEST(secondLeaf.others == 111U);
}

BOOST_FIXTURE_TEST_CASE(saveIsSentOverSeveralLevelsOnceEach, ChainFixture) {
  firstLeaf.pendingSaves = {{5, 9}};
  run(Milliseconds(400));
  for (const TestNode* node : {&root, &middle, &secondLeaf}) {
    BOOST_TEST(node->receivedSaves.size() == 1U);
  }
  BOOST_TEST(firstLeaf.receivedSaves.empty());
}

BOOST_FIXTURE_TEST_CASE(childrenReceiveTheStateOfTheCacheStores, ChainFixture) {
  root.cacheStores = {{5, 77, true}, {6, 0, false}};
  run(Milliseconds(400));
  for (const TestNode* node : {&middle, &firstLeaf, &secondLeaf}) {
    BOOST_TEST((node->cacheStores == root.cacheStores));
  }
}

BOOST_AUTO_TEST_CASE(saveIsSentAfterARelayWasLost) {
  firstFollower.relay = Endpoint{"127.0.0.1", 1};
  firstFollower.pendingSaves = {{5, 9}};
  start();
  run(Milliseconds(150));
  BOOST_TEST(firstRelay.receivedSaves.empty());
  firstFollower.relay = firstRelay.endpoint;
  run(Milliseconds(300));
  BOOST_REQUIRE(firstRelay.receivedSaves.size() == 1U);
  BOOST_TEST((firstRelay.receivedSaves[0] == fleet::SavedPart{5, 9}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::exchange
