// Guards against a list of servers that revokes a server's announcement that it is leaving, and
// against entries, reloads or restarts that end a backoff early.

#include <boost/test/unit_test.hpp>
#include <random>

#include "fleet/server_listing.h"
#include "fleet/server_pool.h"

namespace calicodrift::fleet {
namespace {

using std::chrono::seconds;

const ModelId kModel("m");
const MonotonicTime kStart{std::chrono::hours(1)};

Server makeServer(const std::string& id, std::uint64_t started, std::uint64_t weights = 1) {
  Server server;
  server.id = BackendId(id);
  server.started = Incarnation(started);
  server.service = "llm";
  server.endpoint = {"127.0.0.1", 1};
  server.slots = 4;
  server.models = {{kModel, WeightsVersion(weights)}};
  return server;
}

ServerPool makePool() {
  return ServerPool(40, [](const Server&, ServerLoss) {});
}

bool isCandidate(ServerPool& pool, const std::string& id, MonotonicTime now) {
  const routing::CandidateSet& set = pool.candidates("llm", kModel, now);
  for (std::size_t position = 0; position < set.size(); ++position) {
    if (set[position].id == BackendId(id)) {
      return true;
    }
  }
  return false;
}

BOOST_AUTO_TEST_SUITE(server_notices)

BOOST_AUTO_TEST_CASE(listingDoesNotRevokeLeaving) {
  ServerPool pool = makePool();
  const Server server = makeServer("a", 5);
  pool.apply(server, kStart);
  BOOST_TEST(pool.recordLeaving(keyOf(server), kStart));
  BOOST_TEST(!pool.recordLeaving(keyOf(server), kStart));
  BOOST_TEST(!isCandidate(pool, "a", kStart));
  BOOST_TEST(pool.find(server.id)->draining);
  pool.apply(server, kStart + seconds(1));
  pool.apply(makeServer("a", 5, 2), kStart + seconds(2));
  BOOST_TEST(!isCandidate(pool, "a", kStart + seconds(2)));
  pool.remove(server.id);
  applyListing(pool, {server}, kStart + seconds(3));
  BOOST_TEST(!isCandidate(pool, "a", kStart + seconds(3)));
  BOOST_TEST(pool.listedVersions().empty());
}

BOOST_AUTO_TEST_CASE(leavingNotedBeforeTheEntryApplies) {
  ServerPool pool = makePool();
  const Server server = makeServer("a", 5);
  BOOST_TEST(pool.recordLeaving(keyOf(server), kStart));
  pool.apply(server, kStart);
  BOOST_TEST(!isCandidate(pool, "a", kStart));
}

BOOST_AUTO_TEST_CASE(laterRunIsNotLeaving) {
  ServerPool pool = makePool();
  pool.apply(makeServer("a", 5), kStart);
  pool.recordLeaving(keyOf(makeServer("a", 5)), kStart);
  pool.apply(makeServer("a", 6), kStart);
  BOOST_TEST(isCandidate(pool, "a", kStart));
  // A notice of an earlier run does not apply to it.
  pool.recordLeaving(keyOf(makeServer("a", 4)), kStart);
  BOOST_TEST(isCandidate(pool, "a", kStart));
}

BOOST_AUTO_TEST_CASE(leavingExpiresOnlyWhileTheListIsFresh) {
  LeavingServers leaving;
  leaving.add(ServerKey(1));
  leaving.add(ServerKey(2));
  const auto isListed = [](ServerKey run) { return run == ServerKey(2); };
  leaving.removeUnlisted(isListed, LeavingServers::kRetention - Milliseconds(1));
  // The store is unavailable for a long time.
  leaving.removeUnlisted(isListed, Milliseconds(0));
  BOOST_TEST(leaving.contains(ServerKey(1)));
  leaving.removeUnlisted(isListed, Milliseconds(1));
  BOOST_TEST(!leaving.contains(ServerKey(1)));
  BOOST_TEST(leaving.contains(ServerKey(2)));
}

BOOST_AUTO_TEST_CASE(leavingServersAreBounded) {
  LeavingServers leaving;
  for (std::size_t run = 0; run < LeavingServers::kMaxEntries + 10; ++run) {
    leaving.add(ServerKey(run));
  }
  BOOST_TEST(leaving.size() == LeavingServers::kMaxEntries);
  BOOST_TEST(leaving.contains(ServerKey(LeavingServers::kMaxEntries + 9)));
}

BOOST_AUTO_TEST_CASE(backoffSurvivesEntriesReloadsAndALaterRun) {
  ServerPool pool = makePool();
  pool.apply(makeServer("a", 5), kStart);
  pool.recordBackoff(BackendId("a"), kStart + seconds(3), kStart);
  pool.recordBackoff(BackendId("a"), kStart + seconds(2), kStart);
  BOOST_TEST(!isCandidate(pool, "a", kStart));
  pool.apply(makeServer("a", 5, 2), kStart + seconds(1));
  BOOST_TEST(!isCandidate(pool, "a", kStart + seconds(1)));
  pool.remove(BackendId("a"));
  pool.apply(makeServer("a", 6), kStart + seconds(2));
  BOOST_TEST(!isCandidate(pool, "a", kStart + seconds(2)));
  pool.recordAnswered(BackendId("a"), kStart + seconds(1), kStart + seconds(2));
  BOOST_TEST(!isCandidate(pool, "a", kStart + seconds(3) - Milliseconds(1)));
  BOOST_TEST(isCandidate(pool, "a", kStart + seconds(3)));
}

BOOST_AUTO_TEST_CASE(serverGetsOneTrialCallAfterItsBackoff) {
  ServerPool pool = makePool();
  const BackendId id("a");
  pool.apply(makeServer("a", 5), kStart);
  pool.recordBackoff(id, kStart + seconds(1), kStart);
  const MonotonicTime end = kStart + seconds(1);
  BOOST_TEST(isCandidate(pool, "a", end));
  pool.recordSent(id, end);
  BOOST_TEST(!isCandidate(pool, "a", end + Milliseconds(1)));
  // An answer to a call sent before the end of the backoff does not end the trial.
  pool.recordAnswered(id, end - Milliseconds(1), end + Milliseconds(2));
  BOOST_TEST(!isCandidate(pool, "a", end + Milliseconds(2)));
  pool.recordAnswered(id, end, end + Milliseconds(3));
  BOOST_TEST(isCandidate(pool, "a", end + Milliseconds(3)));
  pool.recordSent(id, end + Milliseconds(4));
  BOOST_TEST(isCandidate(pool, "a", end + Milliseconds(4)));
}

BOOST_AUTO_TEST_CASE(trialWithoutAnAnswerTimesOut) {
  ServerPool pool = makePool();
  pool.apply(makeServer("a", 5), kStart);
  pool.recordBackoff(BackendId("a"), kStart + seconds(1), kStart);
  pool.recordSent(BackendId("a"), kStart + seconds(1));
  const MonotonicTime end = kStart + seconds(1) + ServerBackoffs::kTrialTimeout;
  BOOST_TEST(!isCandidate(pool, "a", end - Milliseconds(1)));
  BOOST_TEST(isCandidate(pool, "a", end));
}

BOOST_AUTO_TEST_CASE(firstBackoffEndIsKnownPerService) {
  ServerPool pool = makePool();
  pool.apply(makeServer("a", 5), kStart);
  pool.apply(makeServer("b", 5), kStart);
  BOOST_TEST(pool.backedOffServers("llm", kModel, kStart).count == 0U);
  pool.recordBackoff(BackendId("a"), kStart + seconds(2), kStart);
  pool.recordBackoff(BackendId("b"), kStart + seconds(1), kStart);
  BOOST_TEST((pool.backedOffServers("llm", kModel, kStart).firstEnd == kStart + seconds(1)));
  pool.recordLeaving(keyOf(makeServer("b", 5)), kStart);
  BOOST_TEST((pool.backedOffServers("llm", kModel, kStart).firstEnd == kStart + seconds(2)));
  BOOST_TEST(!pool.backedOffServers("other", kModel, kStart).firstEnd.has_value());
}

/// Random sequences of entries, lapses, reloads, restarts, refusals, pauses, and answers in any
/// order: no server is offered after it announced that it is leaving, or during a backoff.
BOOST_AUTO_TEST_CASE(randomizedSequencesNeverOfferLeavingOrBackedOffServers) {
  constexpr unsigned kSequences = 10'000;
  constexpr unsigned kSteps = 60;
  for (unsigned seed = 0; seed < kSequences; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&random](unsigned below) { return static_cast<unsigned>(random() % below); };
    ServerPool pool = makePool();
    MonotonicTime now = kStart;
    std::map<std::string, std::uint64_t> starts{{"a", 1}, {"b", 1}, {"c", 1}};
    std::map<std::string, MonotonicTime> backoffUntil;
    std::set<std::pair<std::string, std::uint64_t>> left;
    std::map<std::string, std::uint64_t> listed;
    for (unsigned step = 0; step < kSteps; ++step) {
      const std::string id(1, static_cast<char>('a' + draw(3)));
      now += Milliseconds(draw(400));
      switch (draw(8)) {
        case 0:
          pool.remove(BackendId(id));
          listed.erase(id);
          break;
        case 1:
          ++starts[id];
          break;
        case 2: {
          // The list may lag one start behind.
          const std::uint64_t started = starts[id] - (starts[id] > 1 ? draw(2) : 0);
          pool.apply(makeServer(id, started, 1 + draw(3)), now);
          listed[id] = std::max(listed[id], started);
          break;
        }
        case 3:
          pool.recordLeaving(keyOf(makeServer(id, starts[id])), now);
          left.insert({id, starts[id]});
          break;
        case 4: {
          const MonotonicTime until = now + Milliseconds(1 + draw(3000));
          pool.recordBackoff(BackendId(id), until, now);
          backoffUntil[id] = std::max(backoffUntil[id], until);
          break;
        }
        case 5:
          pool.recordAnswered(BackendId(id), now - Milliseconds(draw(3000)), now);
          break;
        case 6:
          pool.markUnreachable(BackendId(id), now);
          pool.probeSucceeded(BackendId(id), now);
          break;
        default:
          pool.expireNotices(Milliseconds(draw(2) * 1000), now);
          break;
      }
      for (const auto& [name, started] : listed) {
        if (!isCandidate(pool, name, now)) {
          continue;
        }
        BOOST_REQUIRE_MESSAGE(!left.contains({name, started}),
                              "offered although leaving, seed " << seed);
        BOOST_REQUIRE_MESSAGE(now >= backoffUntil[name],
                              "offered during its backoff, seed " << seed);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
