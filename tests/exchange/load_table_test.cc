#include "exchange/load_table.h"

#include <boost/test/unit_test.hpp>

#include "exchange/messages.h"

namespace calicodrift::exchange {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const fleet::ServerKey kServer{7};

fleet::ServerLoads loadOf(std::size_t requests) {
  return {{kServer, fleet::ServerLoad{requests, requests * 100, 0, 0}}};
}

BOOST_AUTO_TEST_SUITE(load_table)

BOOST_AUTO_TEST_CASE(sumsFollowersExceptTheReceiver) {
  LoadTable table(Milliseconds(1000));
  table.setFollower("a", loadOf(1), kStart);
  table.setFollower("b", loadOf(2), kStart);
  table.setFollower("b", loadOf(4), kStart);
  table.setGroup("r", loadOf(8), kStart);
  BOOST_TEST(table.followers("a", kStart).at(kServer).requests == 4U);
  BOOST_TEST(table.followers("", kStart).at(kServer).requests == 5U);
  BOOST_TEST(table.groups(kStart).at(kServer).tokens == 800U);
}

BOOST_AUTO_TEST_CASE(loadOfAnUnresponsiveNodeExpires) {
  LoadTable table(Milliseconds(1000));
  table.setFollower("a", loadOf(1), kStart);
  BOOST_TEST(table.followers("", kStart + Milliseconds(1000)).size() == 1U);
  BOOST_TEST(table.followers("", kStart + Milliseconds(1001)).empty());
  table.expire(kStart + Milliseconds(1001));
  BOOST_TEST(table.followers("", kStart).empty());
}

BOOST_AUTO_TEST_CASE(entriesCapValuesAtTheRangeOfTheField) {
  fleet::ServerLoads loads = loadOf(100'000);
  loads[fleet::ServerKey(8)] = {};
  const std::vector<LoadEntry> entries = toEntries(loads);
  BOOST_REQUIRE(entries.size() == 1U);
  BOOST_TEST(entries[0].requests == 65'535U);
  BOOST_TEST(toLoads(entries).at(kServer).tokens == 10'000'000U);
}

BOOST_AUTO_TEST_CASE(theNewestLoadingWeightsAreReported) {
  fleet::ServerLoads sum;
  fleet::ServerLoads first;
  first[kServer].loading = WeightsVersion(3);
  fleet::ServerLoads second;
  second[kServer].loading = WeightsVersion(2);
  addLoads(sum, first);
  addLoads(sum, second);
  // A server whose weights load is announced is listed even if it has no requests.
  const std::vector<LoadEntry> entries = toEntries(sum);
  BOOST_REQUIRE(entries.size() == 1U);
  BOOST_TEST((toLoads(entries).at(kServer).loading == WeightsVersion(3)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::exchange
