#include "exchange/save_log.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::exchange {
namespace {

/// Tells a peer, as a report that arrives does.
std::vector<fleet::SavedPart> tell(SaveLog& log, const std::string& peer, bool ownGroupOnly) {
  SaveBatch batch = log.nextFor(peer, ownGroupOnly);
  log.setTold(peer, batch.end);
  return batch.parts;
}

BOOST_AUTO_TEST_SUITE(save_log)

BOOST_AUTO_TEST_CASE(eachPeerIsToldOnce) {
  SaveLog log;
  log.append({{1, 9}, {2, 9}}, true);
  BOOST_TEST(tell(log, "a", false).size() == 2U);
  log.append({{3, 9}}, true);
  BOOST_TEST(tell(log, "a", false).size() == 1U);
  BOOST_TEST(tell(log, "b", false).size() == 3U);
  BOOST_TEST(tell(log, "b", false).empty());
}

BOOST_AUTO_TEST_CASE(whatDidNotReachThePeerIsToldAgain) {
  SaveLog log;
  log.append({{1, 9}}, true);
  const SaveBatch lost = log.nextFor("a", false);
  log.append({{2, 9}}, true);
  BOOST_TEST(log.nextFor("a", false).parts.size() == 2U);
  log.setTold("a", lost.end);
  BOOST_TEST(log.nextFor("a", false).parts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(peerThatHasRestartedIsToldEverything) {
  SaveLog log;
  log.append({{1, 9}, {2, 9}}, true);
  BOOST_TEST(tell(log, "a", false).size() == 2U);
  log.forgetPeer("a");
  BOOST_TEST(tell(log, "a", false).size() == 2U);
}

BOOST_AUTO_TEST_CASE(savesOfOtherGroupsAreNotToldToRelays) {
  SaveLog log;
  log.append({{1, 9}}, false);
  log.append({{2, 9}}, true);
  const std::vector<fleet::SavedPart> told = tell(log, "relay", true);
  BOOST_REQUIRE(told.size() == 1U);
  BOOST_TEST((told[0] == fleet::SavedPart{2, 9}));
  BOOST_TEST(tell(log, "follower", false).size() == 2U);
}

BOOST_AUTO_TEST_CASE(peerThatFallsBehindMissesTheOldest) {
  SaveLog log;
  BOOST_TEST(tell(log, "a", false).empty());
  for (std::uint64_t part = 0; part < 5000; ++part) {
    log.append({{part, 9}}, true);
  }
  const std::vector<fleet::SavedPart> told = tell(log, "a", false);
  BOOST_TEST(told.size() == 4096U);
  BOOST_TEST(told.back().part == 4999U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::exchange
