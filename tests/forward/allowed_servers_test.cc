#include "forward/allowed_servers.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::forward {
namespace {

using service_rollout::CandidateUse;
using service_rollout::OrderKey;
using service_rollout::RouteKey;
using service_rollout::Track;
using service_rollout::TrafficRule;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const std::string kService = "app";
const ModelId kNoModel;
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");

struct AllowedFixture {
  AllowedFixture() {
    hooks.rule = [this](const std::string&) { return rule; };
    hooks.takeCanary = [this](OrderKey, RouteKey) {
      ++asked;
      return granted;
    };
  }

  void list(const std::string& prefix, const SoftwareVersion& version, std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) {
      fleet::Server server;
      server.id = BackendId(prefix + std::to_string(number));
      server.service = kService;
      server.version = version;
      pool.apply(server, kStart);
    }
  }
  AllowedServers allowed(bool mayBeCanary) {
    return allowedServers(
        hooks, pool, {kService, kNoModel, RouteKey(1), tried, mayBeCanary, streamVersion}, kStart);
  }

  fleet::ServerPool pool{40, [](const fleet::Server&, fleet::ServerLoss) {}};
  RolloutHooks hooks;
  TrafficRule rule{kOld, kNew, CandidateUse::kCanary, OrderKey(9)};
  std::vector<BackendId> tried;
  std::optional<SoftwareVersion> streamVersion;
  bool granted = true;
  std::size_t asked = 0;
};

BOOST_FIXTURE_TEST_SUITE(allowed_servers, AllowedFixture)

BOOST_AUTO_TEST_CASE(withoutARuleAllServersAreAllowed) {
  hooks = {};
  list("a", kOld, 2);
  list("b", kNew, 2);
  BOOST_TEST(allowed(true).set().size() == 4U);
  BOOST_TEST((allowed(true).order == OrderKey()));
}

BOOST_AUTO_TEST_CASE(theCanaryGoesToAFewOfTheCandidatesServers) {
  list("a", kOld, 30);
  list("b", kNew, 30);
  const AllowedServers canary = allowed(true);
  BOOST_TEST((canary.track == Track::kCandidate));
  BOOST_TEST((canary.order == OrderKey(9)));
  BOOST_TEST(canary.set().size() == 2U);
  granted = false;
  BOOST_TEST((allowed(true).track == Track::kStable));
  BOOST_TEST(allowed(true).set().size() == 30U);
}

/// Guards against a stream that goes on at another version than the one that began it.
BOOST_AUTO_TEST_CASE(streamsGoOnAtTheServersOfTheirVersionOnly) {
  list("a", kOld, 3);
  list("b", kNew, 2);
  streamVersion = kNew;
  BOOST_TEST(allowed(true).set().size() == 2U);
  BOOST_TEST((allowed(true).track == Track::kCandidate));
  BOOST_TEST(asked == 0U);
  streamVersion = kOld;
  BOOST_TEST(allowed(true).set().size() == 3U);
  streamVersion = SoftwareVersion("3");
  BOOST_TEST(allowed(true).set().empty());
  hooks = {};
  pool.setVersions(kService, SoftwareVersion(), SoftwareVersion(), kStart);
  streamVersion = kNew;
  BOOST_TEST(allowed(true).set().size() == 2U);
}

/// A candidate that was rolled back gets no requests, those of its own streams included.
BOOST_AUTO_TEST_CASE(streamsOfARejectedCandidateGoOnNowhere) {
  list("a", kOld, 3);
  list("b", kNew, 2);
  rule.use = CandidateUse::kNothing;
  streamVersion = kNew;
  BOOST_TEST(allowed(true).set().empty());
}

BOOST_AUTO_TEST_CASE(theBudgetIsAskedOnlyWhereTheCanaryCouldGoSomewhere) {
  list("a", kOld, 2);
  BOOST_TEST((allowed(true).track == Track::kStable));
  BOOST_TEST(asked == 0U);
  list("b", kNew, 1);
  BOOST_TEST((allowed(false).track == Track::kStable));
  BOOST_TEST(asked == 0U);
  BOOST_TEST((allowed(true).track == Track::kCandidate));
  BOOST_TEST(asked == 1U);
}

BOOST_AUTO_TEST_CASE(aCandidateThatWarmsUpGetsNoCanary) {
  list("a", kOld, 1);
  fleet::Server warming;
  warming.id = BackendId("b");
  warming.service = kService;
  warming.version = kNew;
  warming.warmUp = Milliseconds(1000);
  pool.apply(warming, kStart);
  BOOST_TEST((allowed(true).track == Track::kStable));
  BOOST_TEST(!allowed(true).set().empty());
}

BOOST_AUTO_TEST_CASE(whileBakingNothingElseGoesToTheCandidate) {
  list("b", kNew, 5);
  BOOST_TEST(allowed(false).set().empty());
  granted = false;
  BOOST_TEST(allowed(true).set().empty());
}

BOOST_AUTO_TEST_CASE(whileShiftingTheCandidateGetsEverythingItCanRun) {
  rule.use = CandidateUse::kEverything;
  list("a", kOld, 2);
  BOOST_TEST((allowed(true).track == Track::kStable));
  list("b", kNew, 3);
  BOOST_TEST((allowed(true).track == Track::kCandidate));
  BOOST_TEST(allowed(false).set().size() == 3U);
  BOOST_TEST(asked == 0U);
  tried = {BackendId("b0"), BackendId("b1"), BackendId("b2")};
  BOOST_TEST((allowed(false).track == Track::kStable));
  // If all servers have had the request, it stays with the candidate.
  tried.emplace_back("a0");
  tried.emplace_back("a1");
  BOOST_TEST((allowed(false).track == Track::kCandidate));
}

BOOST_AUTO_TEST_CASE(setsFollowTheRuleAtTheSameMoment) {
  list("a", kOld, 2);
  list("b", kNew, 3);
  rule = {kOld, SoftwareVersion(), CandidateUse::kNothing, OrderKey()};
  BOOST_TEST(allowed(true).set().size() == 2U);
  rule.stable = kNew;
  BOOST_TEST(allowed(true).set().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
