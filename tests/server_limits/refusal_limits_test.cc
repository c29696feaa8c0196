#include "server_limits/refusal_limits.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::server_limits {
namespace {

using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};
const MonotonicTime kCalm = kStart + seconds(20);

fleet::Server server(const std::string& id, const std::string& service = "app") {
  fleet::Server made;
  made.id = BackendId(id);
  made.service = service;
  made.slots = 8;
  return made;
}

fleet::KnownLoad load(std::size_t requests, MonotonicTime reportedAt) {
  fleet::KnownLoad made;
  made.others = requests;
  made.reportedAt = reportedAt;
  return made;
}

/// One server names a limit; its service has been far from full until kCalm.
struct Fixture {
  Fixture() {
    limits.recordAnswer(server("a"), LimitVersion(), 5, kStart);
    static_cast<void>(needs(0, kStart));
    for (MonotonicTime now = kStart; now <= kCalm; now += Milliseconds(250)) {
      limits.recordServiceLoad("app", 2, 16, now);
      limits.recordAnswer(server("a"), limits.versionOf(fleet::keyOf(server("a"))), 5, now);
    }
  }
  bool needs(std::size_t requests, MonotonicTime now, const std::string& id = "a") {
    return limits.needsPermit(server(id), load(requests, now), now);
  }

  RefusalLimits limits;
};

BOOST_AUTO_TEST_SUITE(refusal_limits)

BOOST_AUTO_TEST_CASE(serversThatNameNothingNeedNoPermit) {
  RefusalLimits limits;
  BOOST_TEST(!limits.any(kStart));
  BOOST_TEST(!limits.needsPermit(server("a"), load(100, kStart), kStart));
  Fixture fixture;
  BOOST_TEST(!fixture.limits.needsPermit(server("b", "other"), load(100, kCalm), kCalm));
}

BOOST_AUTO_TEST_CASE(aServerFarFromFullNeedsNoPermit) {
  Fixture fixture;
  BOOST_TEST(!fixture.needs(1, kCalm));
  BOOST_TEST(fixture.needs(2, kCalm));
}

/// Guards against many nodes that choose an idle server at once.
BOOST_AUTO_TEST_CASE(aBusyServiceNeedsPermitsForItsIdleServers) {
  Fixture fixture;
  fixture.limits.recordServiceLoad("app", 4, 16, kCalm);
  BOOST_TEST(fixture.needs(0, kCalm));
  fixture.limits.recordServiceLoad("app", 3, 16, kCalm + seconds(1));
  BOOST_TEST(fixture.needs(0, kCalm + seconds(1)));
}

BOOST_AUTO_TEST_CASE(aServiceWithoutPermitsLeftNeedsThemForAWhile) {
  Fixture fixture;
  fixture.limits.recordNoPermit("app");
  fixture.limits.recordServiceLoad("app", 0, 16, kCalm);
  BOOST_TEST(fixture.needs(0, kCalm));
}

BOOST_AUTO_TEST_CASE(oldLoadReportsSayTooLittle) {
  Fixture fixture;
  BOOST_TEST(fixture.limits.needsPermit(server("a"), load(0, kCalm - seconds(2)), kCalm));
  BOOST_TEST(fixture.limits.needsPermit(server("a"), fleet::KnownLoad(), kCalm));
}

BOOST_AUTO_TEST_CASE(aServerThatRefusedNeedsPermits) {
  Fixture fixture;
  fixture.limits.recordRefusal(fleet::keyOf(server("a")), kCalm);
  BOOST_TEST(fixture.needs(0, kCalm + Milliseconds(1)));
}

/// Guards against a server that comes back empty and is filled by all nodes together.
BOOST_AUTO_TEST_CASE(aServerThatHasNotAnsweredIsLikeTheOthersOfItsService) {
  Fixture fixture;
  BOOST_TEST(fixture.needs(0, kCalm, "b"));
  BOOST_TEST(fixture.limits.limitOf(server("b"), kCalm).value() == 5);
  const MonotonicTime later = kCalm + RefusalLimits::kServiceMemory;
  BOOST_TEST(!fixture.limits.limitOf(server("b"), later).has_value());
}

BOOST_AUTO_TEST_CASE(anAnswerWithoutALimitEndsIt) {
  Fixture fixture;
  const LimitVersion seen = fixture.limits.versionOf(fleet::keyOf(server("a")));
  BOOST_TEST(fixture.limits.recordAnswer(server("a"), seen, std::nullopt, kCalm));
  BOOST_TEST(!fixture.needs(100, kCalm));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
