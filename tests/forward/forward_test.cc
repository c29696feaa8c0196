#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "forward/cache_moves.h"
#include "forward/cache_scope.h"
#include "forward/event_stream.h"
#include "forward/prompt_blocks.h"
#include "forward/request_gate.h"
#include "forward/retry_rules.h"
#include "forward/weighted_choice.h"

namespace calicodrift::forward {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};

routes::Route makeRoute(routes::RouteKind kind, bool resumable, std::size_t maxAttempts) {
  routes::Route route;
  route.name = "r";
  route.host = "h";
  route.pathPrefix = "/a/";
  route.kind = kind;
  route.resumable = resumable;
  route.maxAttempts = maxAttempts;
  route.services = {{"app", 1}};
  return route;
}

ConfigurationView viewOf(std::vector<routes::Route> routes, MonotonicTime provenAt) {
  routes::RouteTableContent content;
  content.version = ConfigVersion(1);
  content.routes = std::move(routes);
  routes::Tenant tenant;
  tenant.id = TenantId("t");
  tenant.apiKeys = {"key"};
  content.tenants = {tenant};
  return {std::make_shared<const routes::RouteTable>(std::move(content)), provenAt};
}

Request makeRequest(const std::string& target, const std::string& key) {
  Request request;
  request.host = "h";
  request.message.target = target;
  request.apiKey = key;
  return request;
}

BOOST_AUTO_TEST_CASE(gateServesKeysOnlyWithAProvenConfiguration) {
  const RequestGate gate({Milliseconds(3000), Milliseconds(2000)});
  const ConfigurationView view = viewOf({makeRoute(routes::RouteKind::kSafe, false, 1)}, kStart);
  const Request good = makeRequest("/a/x", "key");
  BOOST_TEST(gate.check(good, view, kStart + Milliseconds(3000)).has_value());
  BOOST_TEST((gate.check(good, view, kStart + Milliseconds(3001)).error().kind ==
              ErrorKind::kNoConfiguration));
  BOOST_TEST((gate.check(good, {}, kStart).error().kind == ErrorKind::kNoConfiguration));
}

BOOST_AUTO_TEST_CASE(gateReportsAbsenceAsFinalOnlyWithAProvenConfiguration) {
  const RequestGate gate({Milliseconds(3000), Milliseconds(2000)});
  const ConfigurationView view = viewOf({makeRoute(routes::RouteKind::kSafe, false, 1)}, kStart);
  const Request noKey = makeRequest("/a/x", "other");
  const Request noRoute = makeRequest("/b/x", "key");
  const MonotonicTime later = kStart + Milliseconds(2001);
  BOOST_TEST((gate.check(noKey, view, kStart).error().kind == ErrorKind::kUnauthenticated));
  BOOST_TEST((gate.check(noRoute, view, kStart).error().kind == ErrorKind::kUnknownRoute));
  BOOST_TEST((gate.check(noKey, view, later).error().kind == ErrorKind::kNoConfiguration));
  BOOST_TEST((gate.check(noRoute, view, later).error().kind == ErrorKind::kNoConfiguration));
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsRetriedOnlyAfterProof) {
  const routes::Route once = makeRoute(routes::RouteKind::kUnsafe, false, 3);
  const routes::Route stream = makeRoute(routes::RouteKind::kStreaming, false, 3);
  for (const ErrorKind kind : {ErrorKind::kOutcomeUnknown, ErrorKind::kDeadlineExceeded,
                               ErrorKind::kStreamBroken, ErrorKind::kProtocolViolation}) {
    BOOST_TEST((mayRetry(once, kind, {1, 1}) == RetryDecision::kNo));
    BOOST_TEST((mayRetry(stream, kind, {1, 1}) == RetryDecision::kNo));
  }
  BOOST_TEST((mayRetry(once, ErrorKind::kBackendRefused, {1, 0}) == RetryDecision::kBudgeted));
  BOOST_TEST((mayRetry(once, ErrorKind::kConnectFailed, {1, 0}) == RetryDecision::kFree));
}

BOOST_AUTO_TEST_CASE(idempotentRequestRunsOnNoMoreServersThanItsRouteAllows) {
  const routes::Route safe = makeRoute(routes::RouteKind::kSafe, false, 2);
  BOOST_TEST((mayRetry(safe, ErrorKind::kOutcomeUnknown, {1, 1}) == RetryDecision::kBudgeted));
  BOOST_TEST((mayRetry(safe, ErrorKind::kOutcomeUnknown, {2, 2}) == RetryDecision::kNo));
  const routes::Route resumable = makeRoute(routes::RouteKind::kStreaming, true, 2);
  BOOST_TEST((mayRetry(resumable, ErrorKind::kStreamBroken, {1, 1}) == RetryDecision::kBudgeted));
  BOOST_TEST((mayRetry(safe, ErrorKind::kConnectFailed, {4, 0}) == RetryDecision::kNo));
}

BOOST_AUTO_TEST_CASE(weightsMismatchesDoNotCountAsAttempts) {
  const routes::Route once = makeRoute(routes::RouteKind::kUnsafe, false, 2);
  BOOST_TEST((mayRetry(once, ErrorKind::kOtherWeights, {4, 0, 4}) == RetryDecision::kBudgeted));
  BOOST_TEST((mayRetry(once, ErrorKind::kOtherWeights, {7, 0, 7}) == RetryDecision::kBudgeted));
  BOOST_TEST((mayRetry(once, ErrorKind::kOtherWeights, {8, 0, 8}) == RetryDecision::kNo));
  BOOST_TEST((mayRetry(once, ErrorKind::kFenced, {4, 0, 0}) == RetryDecision::kNo));
  BOOST_TEST((mayRetry(once, ErrorKind::kOutcomeUnknown, {3, 1, 2}) == RetryDecision::kNo));
}

BOOST_AUTO_TEST_CASE(splitterReturnsWholeEventsForAnyChunkSize) {
  const std::string stream = "id: 1\ndata: a\n\nid: 4\r\ndata: b\r\n\r\nid: 7\ndata: c\n\n";
  for (std::size_t piece = 1; piece < stream.size(); ++piece) {
    EventSplitter splitter;
    std::string out;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      splitter.feed(std::string_view(stream).substr(at, piece));
      out += splitter.takeWholeEvents();
    }
    BOOST_TEST(out == stream);
    BOOST_TEST(splitter.rest().empty());
    BOOST_TEST((splitter.lastEvent() == EventNumber(7)));
    BOOST_TEST(splitter.inOrder());
  }
}

BOOST_AUTO_TEST_CASE(splitterDetectsRepeatedEvents) {
  EventSplitter splitter;
  splitter.startAfter(EventNumber(3));
  splitter.feed("id: 3\ndata: a\n\n");
  BOOST_TEST(!splitter.takeWholeEvents().empty());
  BOOST_TEST(!splitter.inOrder());
}

BOOST_AUTO_TEST_CASE(weightsHoldOverShortSequences) {
  routes::Route route = makeRoute(routes::RouteKind::kSafe, false, 1);
  route.services = {{"a", 90}, {"b", 10}};
  WeightedChoice choice;
  std::map<std::string, int> counts;
  for (int number = 0; number < 20; ++number) {
    ++counts[choice.choose(route)];
  }
  BOOST_TEST(counts["a"] == 18);
  BOOST_TEST(counts["b"] == 2);
}

/// Guards against turns that are left over from former weights and outweigh the new ones.
BOOST_AUTO_TEST_CASE(sharesFollowNewWeightsFromTheirFirstRequestsOn) {
  for (std::size_t first = 0; first < 50; ++first) {
    routes::Route route = makeRoute(routes::RouteKind::kSafe, false, 1);
    route.services = {{"a", 9000}, {"b", 1000}};
    WeightedChoice choice;
    const auto countOf = [&](const std::string& service, int requests) {
      int count = 0;
      for (int number = 0; number < requests; ++number) {
        count += choice.choose(route) == service ? 1 : 0;
      }
      return count;
    };
    static_cast<void>(countOf("b", static_cast<int>(first)));
    route.services = {{"a", 9}, {"b", 1}};
    const int ofB = countOf("b", 60);
    BOOST_TEST((ofB >= 5 && ofB <= 7), ofB << " of 60 after " << first);
    // Taken out, put back, alone, and behind a third one.
    route.services = {{"a", 1}, {"b", 0}};
    BOOST_TEST(countOf("b", 20) == 0);
    route.services = {{"a", 0}, {"b", 1}};
    BOOST_TEST(countOf("b", 20) == 20);
    route.services = {{"a", 1}, {"b", 1}};
    const int half = countOf("b", 20);
    BOOST_TEST((half >= 9 && half <= 11), half << " of 20 after " << first);
    route.services = {{"a", 500}, {"b", 500}, {"c", 9000}};
    const int ofC = countOf("c", 40);
    BOOST_TEST((ofC >= 35 && ofC <= 37), ofC << " of 40 after " << first);
  }
}

CacheMoveQuery settledQuery() {
  CacheMoveQuery query;
  query.serverWeights = WeightsVersion(2);
  query.weightsProvenAt = kStart;
  query.store = Endpoint{"10.0.0.1", 80};
  query.holder = Endpoint{"10.0.0.2", 80};
  query.holderWeights = WeightsVersion(2);
  query.sharedKey = 7;
  query.sharedTokens = 4096;
  return query;
}

BOOST_AUTO_TEST_CASE(cacheMovesFromAHolderOfTheSameWeights) {
  const CacheMoves moves({Milliseconds(1200)});
  BOOST_TEST((moves.decide(settledQuery(), kStart).fetchFrom == Endpoint{"10.0.0.2", 80}));
  CacheMoveQuery older = settledQuery();
  older.holderWeights = WeightsVersion(1);
  BOOST_TEST((moves.decide(older, kStart).fetchFrom == older.store));
}

BOOST_AUTO_TEST_CASE(cacheMovesFromTheStoreWhereThatIsKnownToKeepIt) {
  // The holder may have evicted the prefix since.
  CacheMoves moves({Milliseconds(1200)});
  const CacheMoveQuery query = settledQuery();
  moves.applyPeerSaves({{7, storeKeyOf(*query.store)}}, kStart);
  BOOST_TEST((moves.decide(query, kStart).fetchFrom == query.store));
}

BOOST_AUTO_TEST_CASE(noCacheMovesWhereNewerWeightsMayHaveBeenNamed) {
  const CacheMoves moves({Milliseconds(1200)});
  CacheMoveQuery named = settledQuery();
  named.outdatedSince = kStart;
  const CacheMove whileRollingOut = moves.decide(named, kStart);
  BOOST_TEST((!whileRollingOut.fetchFrom && !whileRollingOut.saveTo));
  const CacheMove unproven = moves.decide(settledQuery(), kStart + Milliseconds(1201));
  BOOST_TEST((!unproven.fetchFrom && !unproven.saveTo));
}

BOOST_AUTO_TEST_CASE(saveBeforeNewerWeightsWereNamedIsFetchedLater) {
  CacheMoves moves({Milliseconds(1200)});
  const Endpoint store = *settledQuery().store;
  moves.onSaved(7, store, kStart);
  // A repeated save does not change the time of the first one.
  moves.onSaved(7, store, kStart + Milliseconds(50));
  moves.onSaved(8, store, kStart + Milliseconds(20));
  CacheMoveQuery named = settledQuery();
  named.outdatedSince = kStart + Milliseconds(10);
  const CacheMove saved = moves.decide(named, kStart + Milliseconds(100));
  BOOST_TEST((saved.fetchFrom == named.store));
  BOOST_TEST(!saved.saveTo.has_value());
  named.sharedKey = 8;
  BOOST_TEST(!moves.decide(named, kStart + Milliseconds(100)).fetchFrom.has_value());
}

BOOST_AUTO_TEST_CASE(saveToOneStoreProvesNothingOfAnother) {
  CacheMoves moves({Milliseconds(1200)});
  moves.onSaved(7, Endpoint{"10.0.0.9", 1}, kStart);
  CacheMoveQuery named = settledQuery();
  named.outdatedSince = kStart + Milliseconds(10);
  BOOST_TEST(!moves.decide(named, kStart + Milliseconds(100)).fetchFrom.has_value());
}

BOOST_AUTO_TEST_CASE(storeThatRestartedIsNotTrustedWithEarlierSaves) {
  CacheMoves moves({Milliseconds(1200)});
  const Endpoint store = *settledQuery().store;
  moves.onSaved(7, store, kStart);
  // What the store receives after its restart may have been produced by newer weights.
  moves.onStoreLost(store, kStart);
  moves.onSaved(7, store, kStart + Milliseconds(20));
  CacheMoveQuery named = settledQuery();
  named.outdatedSince = kStart + Milliseconds(10);
  BOOST_TEST(!moves.decide(named, kStart + Milliseconds(100)).fetchFrom.has_value());
}

BOOST_AUTO_TEST_CASE(prefixInTheStoreIsNotSavedAgainSoon) {
  CacheMoves moves({Milliseconds(1200)});
  const Endpoint store = *settledQuery().store;
  moves.applyPeerSaves({{7, storeKeyOf(store)}}, kStart);
  CacheMoveQuery query = settledQuery();
  const CacheMove soon = moves.decide(query, kStart + Milliseconds(100));
  BOOST_TEST(!soon.saveTo.has_value());
  const MonotonicTime later = kStart + Milliseconds(61'000);
  query.weightsProvenAt = later;
  BOOST_TEST((moves.decide(query, later).saveTo == store));
}

BOOST_AUTO_TEST_CASE(saveOfAnotherNodeIsFetchedDuringARollOut) {
  CacheMoves moves({Milliseconds(1200)});
  const Endpoint store = *settledQuery().store;
  moves.applyPeerSaves({{7, storeKeyOf(store)}}, kStart);
  CacheMoveQuery named = settledQuery();
  named.outdatedSince = kStart + Milliseconds(10);
  BOOST_TEST((moves.decide(named, kStart + Milliseconds(100)).fetchFrom == store));
  // Reports received shortly after the loss of a store may predate it.
  moves.onStoreLost(store, kStart + Milliseconds(200));
  moves.applyPeerSaves({{7, storeKeyOf(store)}}, kStart + Milliseconds(300));
  named.outdatedSince = kStart + Milliseconds(400);
  BOOST_TEST(!moves.decide(named, kStart + Milliseconds(500)).fetchFrom.has_value());
}

BOOST_AUTO_TEST_CASE(savesAreReportedOnce) {
  CacheMoves moves({Milliseconds(1200)});
  moves.onSaved(7, *settledQuery().store, kStart);
  moves.applyPeerSaves({{8, 1}}, kStart);
  const std::vector<fleet::SavedPart> saves = moves.takeSaves();
  BOOST_REQUIRE(saves.size() == 1U);
  BOOST_TEST(saves[0].part == 7U);
  BOOST_TEST(moves.takeSaves().empty());
}

/// Guards against memory that a tenant's requests made before it became isolated, and that others
/// go on to share.
BOOST_AUTO_TEST_CASE(whatAnIsolatedTenantMadeBeforeIsSharedNoMore) {
  const auto grantOf = [](const std::set<std::string>& isolated, std::size_t tenant) {
    routes::RouteTableContent content;
    content.routes = {makeRoute(routes::RouteKind::kStreaming, true, 2)};
    for (const std::string name : {"alpha", "beta", "gamma"}) {
      routes::Tenant made;
      made.id = TenantId(name);
      made.isolated = isolated.contains(name);
      content.tenants.push_back(made);
    }
    Grant grant;
    grant.table = std::make_shared<const routes::RouteTable>(std::move(content));
    grant.route = grant.table->findRoute("h", "/a/x");
    grant.tenant = &grant.table->tenants()[tenant];
    return grant;
  };
  const WeightsVersion weights(1);
  Request request;
  request.prompt = {{"aa", 600}, {"bb", 300}, {"cc", 100}};
  const auto firstBlock = [&request](const Grant& grant) {
    return toRouteRequest(request, grant).blocks.front();
  };
  // By which tenants each scope was used, as they become isolated and shared again.
  std::map<std::string, std::set<std::size_t>> users;
  const std::vector<std::set<std::string>> steps = {
      {}, {"beta"}, {}, {"beta", "gamma"}, {"gamma"}, {"beta"}, {"alpha", "beta", "gamma"}, {}};
  for (const std::set<std::string>& isolated : steps) {
    for (std::size_t tenant = 0; tenant < 3; ++tenant) {
      const Grant grant = grantOf(isolated, tenant);
      const std::string scope = cacheScope(grant, weights);
      users[scope].insert(tenant);
      for (const std::size_t other : users[scope]) {
        const bool shares = other != tenant;
        BOOST_TEST((!shares || !grant.tenant->isolated));
        BOOST_TEST((!shares || !grant.table->tenants()[other].isolated));
        const Grant otherGrant = grantOf(isolated, other);
        const bool sharesScope = cacheScope(otherGrant, weights) == scope;
        const bool sharesBlocks = firstBlock(otherGrant) == firstBlock(grant);
        BOOST_TEST(sharesScope == sharesBlocks);
      }
    }
  }
  // Where nobody is isolated, the scope is that of earlier builds.
  BOOST_TEST(cacheScope(grantOf({}, 0), weights) == "w1");
}

BOOST_AUTO_TEST_CASE(isolatedTenantsShareNoBlocks) {
  const routes::Route route = makeRoute(routes::RouteKind::kStreaming, true, 2);
  routes::Tenant open;
  open.id = TenantId("open");
  routes::Tenant isolated;
  isolated.id = TenantId("isolated");
  isolated.isolated = true;
  Request request;
  request.prompt = {{"aa", 600}, {"bb", 300}, {"cc", 100}};
  const routing::RouteRequest shared = toRouteRequest(request, {nullptr, &route, &open});
  const routing::RouteRequest alone = toRouteRequest(request, {nullptr, &route, &isolated});
  BOOST_TEST(shared.blocks.size() == 6U);
  BOOST_TEST(shared.sharedBlocks == 5U);
  for (std::size_t block = 0; block < shared.blocks.size(); ++block) {
    BOOST_TEST((shared.blocks[block] != alone.blocks[block]));
  }
}

}  // namespace
}  // namespace calicodrift::forward
