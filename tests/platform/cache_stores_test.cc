#include "gateway/cache_stores.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "forward/cache_moves.h"
#include "operator_servers.h"
#include "support/direct_paths.h"

namespace calicodrift::gateway {
namespace {

namespace asio = boost::asio;
/// Nobody listens there: who asks finds it silent.
const Endpoint kStore{"127.0.0.1", 9};

std::shared_ptr<const routes::RouteTable> tableWithStore() {
  routes::RouteTableContent content;
  content.version = ConfigVersion(1);
  routes::Service service;
  service.name = "kept-cache";
  service.cacheStore = routes::CacheStore{kStore, ZoneId("z1")};
  content.services.push_back(service);
  return std::make_shared<const routes::RouteTable>(std::move(content));
}

struct CacheStoresFixture {
  asio::io_context context;
  http::Client client{context.get_executor()};
  testing::DirectPaths directPaths{context.get_executor(), client};
  platform::OperatorServers protocol;
  std::shared_ptr<const routes::RouteTable> table = tableWithStore();
  bool asks = false;
  std::vector<Endpoint> lost;
  CacheStores stores{context.get_executor(),
                     directPaths.paths,
                     protocol,
                     [this] { return table; },
                     [this] { return asks; },
                     [this](const Endpoint& store) { lost.push_back(store); }};
  const std::uint64_t key = forward::storeKeyOf(kStore);

  CacheStoresFixture() {
    stores.start();
    run();
  }
  void run() {
    context.restart();
    context.run_for(Milliseconds(30));
  }
};

BOOST_FIXTURE_TEST_SUITE(cache_stores, CacheStoresFixture)

BOOST_AUTO_TEST_CASE(storeIsUsedOnceAnotherNodeTellsThatItAnswers) {
  BOOST_TEST(!stores.storeFor(1));
  stores.learn({{key, 77, true}});
  BOOST_TEST((stores.storeFor(1) == kStore));
  BOOST_TEST((stores.reports() == std::vector<fleet::CacheStoreReport>{{key, 77, true}}));
  BOOST_TEST(lost.empty());
}

BOOST_AUTO_TEST_CASE(storeThatIsToldToBeSilentIsNotUsed) {
  stores.learn({{key, 77, true}});
  stores.learn({{key, 77, false}});
  BOOST_TEST(!stores.storeFor(1));
  BOOST_TEST((lost == std::vector<Endpoint>{kStore}));
}

BOOST_AUTO_TEST_CASE(storeThatIsToldToHaveRestartedHasLostWhatItKept) {
  stores.learn({{key, 77, true}});
  stores.learn({{key, 78, true}});
  BOOST_TEST((stores.storeFor(1) == kStore));
  BOOST_TEST((lost == std::vector<Endpoint>{kStore}));
}

BOOST_AUTO_TEST_CASE(aLaterStartOfAStoreIsALossAndAnEarlierOneSaysNothing) {
  stores.learn({{key, 77, true, 1000}});
  stores.learn({{key, 77, true, 1001}});
  BOOST_TEST((lost == std::vector<Endpoint>{kStore}));
  // A node that has not heard of it yet, and one whose store tells no start.
  stores.learn({{key, 76, true, 1000}});
  stores.learn({{key, 75, true}});
  BOOST_TEST(lost.size() == 1U);
  BOOST_TEST((stores.reports() == std::vector<fleet::CacheStoreReport>{{key, 77, true, 1001}}));
}

BOOST_AUTO_TEST_CASE(aStoreTellsItsStartWithItsEvents) {
  const auto read = [this](const std::string& born) {
    return protocol.readCacheStore(
        http::jsonResponse(200, R"({"epoch":77,"next_page_token":5,"events":[])" + born + "}"));
  };
  BOOST_TEST(read(R"(,"born":1000)")->started->value() == 1000U);
  BOOST_TEST(!read("")->started.has_value());
  BOOST_TEST(!read(R"(,"born":"1000")").has_value());
}

BOOST_AUTO_TEST_CASE(nodeThatAsksItselfLearnsFromNobody) {
  asks = true;
  stores.learn({{key, 77, true}});
  BOOST_TEST(!stores.storeFor(1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::gateway
