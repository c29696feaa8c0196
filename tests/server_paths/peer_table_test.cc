#include "server_paths/peer_table.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace calicodrift::server_paths {
namespace {

Endpoint peer(std::uint16_t number) {
  return Endpoint{"10.0.0.1", number};
}

class Fixture {
 public:
  Fixture() { table.learn({peer(1), peer(2), peer(3), peer(4)}, now); }

  std::mt19937_64 random{7};
  MonotonicTime now = MonotonicTime{} + std::chrono::hours(1);
  PeerTable table{peer(1)};
};

BOOST_FIXTURE_TEST_SUITE(peer_table, Fixture)

BOOST_AUTO_TEST_CASE(nodeIsNotItsOwnPeer) {
  BOOST_TEST(table.size() == 3U);
  BOOST_TEST(!table.isUsable(peer(1), now));
}

BOOST_AUTO_TEST_CASE(peersThatFailOrDeclineAreAvoidedForATime) {
  table.recordFailed(peer(2), now);
  table.recordDeclined(peer(3), now);
  BOOST_TEST((table.choose(3, now, random) == std::vector<Endpoint>{peer(4)}));
  BOOST_TEST(table.isUsable(peer(2), now + PeerTable::kFirstFailedTime));
  BOOST_TEST(table.isUsable(peer(3), now + PeerTable::kDeclinedTime));
  table.recordFailed(peer(2), now);
  BOOST_TEST(!table.isUsable(peer(2), now + PeerTable::kFirstFailedTime));
  table.recordWorking(peer(2));
  BOOST_TEST(table.isUsable(peer(2), now));
}

/// A node of which all peers are avoided still tries one of them.
BOOST_AUTO_TEST_CASE(theFirstToBeUsableAgainIsTriedIfAllAreAvoided) {
  table.recordDeclined(peer(2), now);
  table.recordFailed(peer(3), now);
  table.recordDeclined(peer(4), now);
  BOOST_TEST((table.choose(3, now, random) == std::vector<Endpoint>{peer(3)}));
}

/// Guards against one node that carries the calls of all others.
BOOST_AUTO_TEST_CASE(callsAreSpreadOverPeers) {
  std::map<Endpoint, std::size_t> calls;
  for (int call = 0; call < 300; ++call) {
    const Endpoint chosen = table.choose(1, now, random).front();
    table.addCall(chosen);
    ++calls[chosen];
  }
  for (const std::uint16_t number : {2, 3, 4}) {
    BOOST_TEST(calls[peer(number)] >= 80U);
  }
}

BOOST_AUTO_TEST_CASE(theOldestPeersGoBeyondTheBound) {
  std::vector<Endpoint> more;
  for (std::uint16_t number = 100; number < 100 + PeerTable::kMaxPeers; ++number) {
    more.push_back(peer(number));
  }
  table.learn(more, now + Milliseconds(1));
  BOOST_TEST(table.size() == PeerTable::kMaxPeers);
  BOOST_TEST(!table.isUsable(peer(2), now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_paths
