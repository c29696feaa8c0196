#include "fleet/full_servers.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::fleet {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServerKey kServer(7);

BOOST_AUTO_TEST_SUITE(full_servers)

BOOST_AUTO_TEST_CASE(pauseIsToldOnceWhoeverTellsIt) {
  FullServers full;
  BOOST_TEST(full.add(kServer, kStart + Milliseconds(400), kStart));
  // The same pause, told back by another node a few milliseconds later.
  BOOST_TEST(!full.add(kServer, kStart + Milliseconds(405), kStart + Milliseconds(5)));
  BOOST_TEST(full.changes() == 1U);
  BOOST_TEST(full.addedSince(0, kStart).size() == 1U);
  BOOST_TEST(full.addedSince(1, kStart).empty());
}

BOOST_AUTO_TEST_CASE(pausesEndByTimeAndMayBeginAgain) {
  FullServers full;
  full.add(kServer, kStart + Milliseconds(400), kStart);
  const MonotonicTime later = kStart + Milliseconds(400);
  BOOST_TEST(full.addedSince(0, later).empty());
  BOOST_TEST(full.add(kServer, later + Milliseconds(400), later));
  BOOST_TEST(full.addedSince(1, later).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
