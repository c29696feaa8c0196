// What servers say of themselves outlives their entries in the list: guards against a list that
// takes back that a server leaves.

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_CASE(leavingIsNotTakenBackByTheList) {
  ServerPool pool = makePool();
  const Server server = makeServer("a", 5);
  pool.apply(server, kStart);
  BOOST_TEST(pool.noteLeaving(keyOf(server), kStart));
  BOOST_TEST(!pool.noteLeaving(keyOf(server), kStart));
  BOOST_TEST(!isCandidate(pool, "a", kStart));
  BOOST_TEST(pool.find(server.id)->draining);
  pool.apply(server, kStart + seconds(1));
  pool.apply(makeServer("a", 5, 2), kStart + seconds(2));
  BOOST_TEST(!isCandidate(pool, "a", kStart + seconds(2)));
  pool.remove(server.id);
  pool.applyListing({server}, kStart + seconds(3));
  BOOST_TEST(!isCandidate(pool, "a", kStart + seconds(3)));
  BOOST_TEST(pool.listedVersions().empty());
}

BOOST_AUTO_TEST_CASE(leavingThatIsToldBeforeTheEntryHolds) {
  ServerPool pool = makePool();
  const Server server = makeServer("a", 5);
  BOOST_TEST(pool.noteLeaving(keyOf(server), kStart));
  pool.apply(server, kStart);
  BOOST_TEST(!isCandidate(pool, "a", kStart));
}

BOOST_AUTO_TEST_CASE(laterRunIsFreeOfIt) {
  ServerPool pool = makePool();
  pool.apply(makeServer("a", 5), kStart);
  pool.noteLeaving(keyOf(makeServer("a", 5)), kStart);
  pool.apply(makeServer("a", 6), kStart);
  BOOST_TEST(isCandidate(pool, "a", kStart));
  // News of the earlier run say nothing of it.
  pool.noteLeaving(keyOf(makeServer("a", 4)), kStart);
  BOOST_TEST(isCandidate(pool, "a", kStart));
}

BOOST_AUTO_TEST_CASE(leavingIsForgottenOnlyByAListThatIsNew) {
  LeavingServers leaving;
  leaving.note(ServerKey(1));
  leaving.note(ServerKey(2));
  const auto isListed = [](ServerKey run) { return run == ServerKey(2); };
  leaving.forgetGone(isListed, LeavingServers::kForgetAfter - Milliseconds(1));
  // The store is away for long.
  leaving.forgetGone(isListed, Milliseconds(0));
  BOOST_TEST(leaving.contains(ServerKey(1)));
  leaving.forgetGone(isListed, Milliseconds(1));
  BOOST_TEST(!leaving.contains(ServerKey(1)));
  BOOST_TEST(leaving.contains(ServerKey(2)));
}

BOOST_AUTO_TEST_CASE(leavingServersAreBounded) {
  LeavingServers leaving;
  for (std::size_t run = 0; run < LeavingServers::kMost + 10; ++run) {
    leaving.note(ServerKey(run));
  }
  BOOST_TEST(leaving.size() == LeavingServers::kMost);
  BOOST_TEST(leaving.contains(ServerKey(LeavingServers::kMost + 9)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
