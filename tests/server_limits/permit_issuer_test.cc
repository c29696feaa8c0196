#include "server_limits/permit_issuer.h"

#include <boost/test/unit_test.hpp>

#include "server_limits/held_permits.h"

namespace calicodrift::server_limits {
namespace {

using std::chrono::seconds;

const fleet::ServerKey kServer(7);
const MonotonicTime kStart{seconds(100)};
constexpr std::uint64_t kHolder = 1;

ServerCapacity capacity(double refusalLimit, std::size_t slots) {
  return {kServer, refusalLimit, slots, 0};
}

/// An issuer of permits for one server, asked by one holder.
struct Fixture {
  explicit Fixture(double refusalLimit = 5, std::size_t slots = 4)
      : known(capacity(refusalLimit, slots)) {}

  bool acquire(std::uint64_t number, MonotonicTime now) {
    return issuer.acquire(known, {kHolder, number}, kStart, now).granted;
  }
  /// Acquires as many as are issued at the moment.
  std::size_t acquireAll(MonotonicTime now) {
    std::size_t count = 0;
    while (acquire(next, now)) {
      ++next;
      ++count;
    }
    return count;
  }

  PermitIssuer issuer;
  ServerCapacity known;
  std::uint64_t next = 1;
};

BOOST_AUTO_TEST_SUITE(permit_issuer)

BOOST_AUTO_TEST_CASE(aServerGetsAsManyRequestsAsItHasSlots) {
  Fixture fixture;
  BOOST_TEST(fixture.acquireAll(kStart) == 4U);
  fixture.issuer.release(kServer, {kHolder, 1}, kStart + Milliseconds(50));
  BOOST_TEST(fixture.acquireAll(kStart + Milliseconds(60)) == 1U);
}

BOOST_AUTO_TEST_CASE(aRepeatedRequestGetsTheSamePermit) {
  Fixture fixture;
  BOOST_TEST(fixture.acquire(1, kStart));
  BOOST_TEST(fixture.acquire(1, kStart));
  BOOST_TEST(fixture.issuer.issuedFor(kServer) == 1U);
}

/// Guards against more requests on their way to a server than refusals that it bears.
BOOST_AUTO_TEST_CASE(permitsInABurstStayWithinWhatTheServerBears) {
  Fixture fixture(3, 40);
  BOOST_TEST(fixture.acquireAll(kStart) == 3U);
  BOOST_TEST(fixture.acquireAll(kStart + Milliseconds(60)) == 3U);
}

/// Guards against permits that are issued on the word of a room that has just proven too large.
BOOST_AUTO_TEST_CASE(afterARefusalRefusalsAndOpenPermitsStayWithinWhatTheServerBears) {
  Fixture fixture(3, 40);
  BOOST_TEST(fixture.acquireAll(kStart) == 3U);
  fixture.issuer.recordRefusal(fixture.known, {kHolder, 1}, kStart + Milliseconds(5));
  // One refusal, two permits whose outcome is unknown.
  BOOST_TEST(fixture.acquireAll(kStart + Milliseconds(5)) == 0U);
  fixture.issuer.recordRefusal(fixture.known, {kHolder, 2}, kStart + Milliseconds(6));
  fixture.issuer.recordRefusal(fixture.known, {kHolder, 3}, kStart + Milliseconds(7));
  BOOST_TEST(fixture.acquireAll(kStart + Milliseconds(900)) == 0U);
  BOOST_TEST(fixture.acquireAll(kStart + Milliseconds(1100)) > 0U);
}

BOOST_AUTO_TEST_CASE(roomThatWasLostIsRegainedByTries) {
  Fixture fixture(5, 4);
  BOOST_TEST(fixture.acquireAll(kStart) == 4U);
  fixture.issuer.recordRefusal(fixture.known, {kHolder, 4}, kStart + Milliseconds(5));
  BOOST_TEST(fixture.issuer.roomOf(kServer) == 2U);
  MonotonicTime now = kStart + Milliseconds(500);
  for (std::uint64_t number = 1; number < 100; ++number, now += Milliseconds(100)) {
    fixture.issuer.release(kServer, {kHolder, number}, now);
    fixture.acquireAll(now + Milliseconds(20));
  }
  BOOST_TEST(fixture.issuer.roomOf(kServer) == 4U);
}

/// Guards against a refusal at each try while the room stays as it is.
BOOST_AUTO_TEST_CASE(triesThatAreRefusedBecomeRare) {
  Fixture fixture(5, 4);
  BOOST_TEST(fixture.acquireAll(kStart) == 4U);
  fixture.issuer.recordRefusal(fixture.known, {kHolder, 4}, kStart + Milliseconds(5));
  std::size_t refused = 0;
  for (MonotonicTime now = kStart + seconds(2); now < kStart + seconds(62);
       now += Milliseconds(100)) {
    fixture.issuer.renew(fixture.known, kHolder, {1, 2}, now);
    if (fixture.acquire(fixture.next, now)) {
      fixture.issuer.recordRefusal(fixture.known, {kHolder, fixture.next}, now);
      ++fixture.next;
      ++refused;
    }
  }
  BOOST_TEST(refused <= 7U);
}

BOOST_AUTO_TEST_CASE(permitsOfALostHolderEnd) {
  Fixture fixture;
  BOOST_TEST(fixture.acquireAll(kStart) == 4U);
  const MonotonicTime before = kStart + PermitIssuer::kPermitTerm;
  BOOST_TEST(fixture.acquireAll(before) == 0U);
  BOOST_TEST(fixture.acquireAll(before + Milliseconds(1)) == 4U);
}

BOOST_AUTO_TEST_CASE(renewedPermitsLastAndThoseNotTakenUpEnd) {
  Fixture fixture;
  BOOST_TEST(fixture.acquireAll(kStart) == 4U);
  for (const int ms : {500, 1000, 1500, 2000}) {
    fixture.issuer.renew(fixture.known, kHolder, {1, 2, 3}, kStart + Milliseconds(ms));
  }
  BOOST_TEST(fixture.issuer.issuedFor(kServer) == 3U);
}

/// Guards against a new issuer that knows of no request in flight and fills the server again.
BOOST_AUTO_TEST_CASE(aNewIssuerCountsWhatNodesReport) {
  Fixture fixture;
  fixture.known.reportedLoad = 3;
  BOOST_TEST(fixture.acquireAll(kStart) == 1U);
  fixture.issuer.renew(fixture.known, 2, {11, 12, 13}, kStart + Milliseconds(400));
  fixture.known.reportedLoad = 0;
  BOOST_TEST(fixture.acquireAll(kStart + seconds(1)) == 0U);
}

BOOST_AUTO_TEST_CASE(nothingIsIssuedBeforeThePredecessorHasStopped) {
  Fixture fixture;
  const MonotonicTime settled = kStart + Milliseconds(700);
  const PermitDecision early = fixture.issuer.acquire(fixture.known, {kHolder, 1}, settled, kStart);
  BOOST_TEST(!early.granted);
  BOOST_TEST(early.wait.count() == 700);
  BOOST_TEST(fixture.issuer.acquire(fixture.known, {kHolder, 1}, settled, settled).granted);
}

/// A server that refuses everything is asked less and less often.
BOOST_AUTO_TEST_CASE(aServerWithoutRoomIsLeftAlone) {
  Fixture fixture(50, 4);
  std::size_t refused = 0;
  for (MonotonicTime now = kStart; now < kStart + seconds(10); now += Milliseconds(20)) {
    if (fixture.acquire(fixture.next, now)) {
      fixture.issuer.recordRefusal(fixture.known, {kHolder, fixture.next}, now);
      ++fixture.next;
      ++refused;
    }
  }
  BOOST_TEST(refused <= 10U);
}

BOOST_AUTO_TEST_CASE(heldPermitsAreDueUntilTheirIssuerIsTold) {
  HeldPermits held;
  held.add(kServer, 1, kStart);
  BOOST_TEST(held.takeDue(kStart + Milliseconds(400)).empty());
  BOOST_TEST(held.takeDue(kStart + HeldPermits::kRenewAfter).size() == 1U);
  BOOST_TEST(held.takeDue(kStart + HeldPermits::kRenewAfter).empty());
  held.add(kServer, 2, kStart + seconds(1));
  BOOST_TEST(held.numbersFor(kServer).size() == 2U);
  held.remove(kServer, 1);
  held.remove(kServer, 2);
  BOOST_TEST(held.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
