#include "exchange/save_log.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::exchange {
namespace {

/// Takes the next batch for a peer and marks it as sent, as a delivered report does.
std::vector<fleet::SavedPart> takeBatch(SaveLog& log, const std::string& peer, bool ownGroupOnly) {
  SaveBatch batch = log.pendingFor(peer, ownGroupOnly);
  log.markSent(peer, batch.end);
  return batch.parts;
}

BOOST_AUTO_TEST_SUITE(save_log)

BOOST_AUTO_TEST_CASE(eachPeerIsSentEntriesOnce) {
  SaveLog log;
  log.append({{1, 9}, {2, 9}}, true);
  BOOST_TEST(takeBatch(log, "a", false).size() == 2U);
  log.append({{3, 9}}, true);
  BOOST_TEST(takeBatch(log, "a", false).size() == 1U);
  BOOST_TEST(takeBatch(log, "b", false).size() == 3U);
  BOOST_TEST(takeBatch(log, "b", false).empty());
}

BOOST_AUTO_TEST_CASE(undeliveredEntriesAreSentAgain) {
  SaveLog log;
  log.append({{1, 9}}, true);
  const SaveBatch lost = log.pendingFor("a", false);
  log.append({{2, 9}}, true);
  BOOST_TEST(log.pendingFor("a", false).parts.size() == 2U);
  log.markSent("a", lost.end);
  BOOST_TEST(log.pendingFor("a", false).parts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(restartedPeerIsSentEverything) {
  SaveLog log;
  log.append({{1, 9}, {2, 9}}, true);
  BOOST_TEST(takeBatch(log, "a", false).size() == 2U);
  log.resetPeer("a");
  BOOST_TEST(takeBatch(log, "a", false).size() == 2U);
}

BOOST_AUTO_TEST_CASE(savesOfOtherGroupsAreNotSentToRelays) {
  SaveLog log;
  log.append({{1, 9}}, false);
  log.append({{2, 9}}, true);
  const std::vector<fleet::SavedPart> sentSaves = takeBatch(log, "relay", true);
  BOOST_REQUIRE(sentSaves.size() == 1U);
  BOOST_TEST((sentSaves[0] == fleet::SavedPart{2, 9}));
  BOOST_TEST(takeBatch(log, "follower", false).size() == 2U);
}

BOOST_AUTO_TEST_CASE(peerThatFallsBehindMissesTheOldest) {
  SaveLog log;
  BOOST_TEST(takeBatch(log, "a", false).empty());
  for (std::uint64_t part = 0; part < 5000; ++part) {
    log.append({{part, 9}}, true);
  }
  const std::vector<fleet::SavedPart> sentSaves = takeBatch(log, "a", false);
  BOOST_TEST(sentSaves.size() == 4096U);
  BOOST_TEST(sentSaves.back().part == 4999U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::exchange
