#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>

#include "relay/relayed_store.h"

namespace calicodrift::relay {
namespace {

namespace asio = boost::asio;
constexpr Milliseconds kWatch{60};
constexpr Milliseconds kTimeout{200};

store::Object objectAt(const std::string& name, std::uint64_t revision) {
  store::Object object;
  object.name = name;
  object.revision = store::Revision(revision);
  return object;
}

store::ChangeBatch batchOf(std::vector<store::Change> changes, std::uint64_t revision) {
  store::ChangeBatch batch;
  batch.changes = std::move(changes);
  batch.revision = store::Revision(revision);
  return batch;
}

store::Listing listingOf(std::vector<store::Object> objects, std::uint64_t revision) {
  store::Listing listing;
  listing.objects = std::move(objects);
  listing.revision = store::Revision(revision);
  return listing;
}

/// Answers each call as planned, so that answers may arrive in any order.
struct PlannedStore : store::ObjectStore {
  template <typename Value>
  struct Answer {
    Milliseconds delay;
    Result<Value> result;
  };

  explicit PlannedStore(asio::io_context& context) : context(context) {}

  template <typename Value>
  asio::awaitable<Result<Value>> next(std::deque<Answer<Value>>& planned) {
    BOOST_REQUIRE(!planned.empty());
    const Answer<Value> answer = planned.front();
    planned.pop_front();
    asio::steady_timer timer(context, answer.delay);
    co_await timer.async_wait(asio::use_awaitable);
    co_return answer.result;
  }
  asio::awaitable<Result<store::Listing>> list(std::string /*kind*/) override {
    return next(listings);
  }
  asio::awaitable<Result<store::ChangeBatch>> watch(std::string /*kind*/, store::Revision /*since*/,
                                                    Milliseconds /*wait*/) override {
    return next(batches);
  }
  asio::awaitable<Result<store::Object>> get(std::string /*kind*/, std::string /*name*/) override {
    co_return fail(ErrorKind::kNotFound, "");
  }
  asio::awaitable<Result<store::Revision>> put(std::string /*kind*/,
                                               store::Object /*object*/) override {
    co_return fail(ErrorKind::kNotFound, "");
  }
  asio::awaitable<Result<store::Revision>> putStatus(std::string /*kind*/,
                                                     store::Object /*object*/) override {
    co_return fail(ErrorKind::kNotFound, "");
  }

  asio::io_context& context;
  std::deque<Answer<store::Listing>> listings;
  std::deque<Answer<store::ChangeBatch>> batches;
};

/// A node that reads the store itself and knows `a` at revision 10. The nth watch of a test gets
/// the nth planned batch, whether the reader or a refresh sends it.
struct RaceFixture {
  asio::io_context context;
  PlannedStore path{context};
  http::Client http{context.get_executor()};
  RelaySettings settings;
  RelayClient client{http, settings};
  RelayedStore relayed{context.get_executor(), path, client};
  std::optional<Result<store::ChangeBatch>> watched;
  std::optional<Result<void>> refreshed;

  RaceFixture() {
    relayed.readDirectly();
    path.listings.push_back({Milliseconds(0), listingOf({objectAt("a", 10)}, 10)});
    asio::co_spawn(
        context, [this]() -> asio::awaitable<void> { BOOST_REQUIRE(co_await relayed.list("k")); },
        asio::detached);
    run(Milliseconds(10));
  }
  ~RaceFixture() { context.stop(); }

  void plan(int delayMs, Result<store::ChangeBatch> batch) {
    path.batches.push_back({Milliseconds(delayMs), std::move(batch)});
  }
  void run(Milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  void watch() {
    watched.reset();
    asio::co_spawn(
        context,
        [this]() -> asio::awaitable<void> {
          watched = co_await relayed.watch("k", store::Revision(10), kWatch);
        },
        asio::detached);
  }
  void refresh() {
    refreshed.reset();
    asio::co_spawn(
        context,
        [this]() -> asio::awaitable<void> { refreshed = co_await relayed.refresh("k", kTimeout); },
        asio::detached);
  }
  /// Known revision of `a`.
  std::uint64_t knownRevision() {
    return relayed.cache("k")->listing().objects[0].revision.value();
  }
};

BOOST_FIXTURE_TEST_SUITE(refresh_race, RaceFixture)

BOOST_AUTO_TEST_CASE(refreshedStateIsDeliveredThoughTheSourceHasANewerProof) {
  plan(50, batchOf({{objectAt("a", 12), false}}, 12));
  plan(10, batchOf({}, 10));
  plan(100, batchOf({{objectAt("a", 11), false}}, 11));
  refresh();
  run(Milliseconds(5));
  watch();
  run(Milliseconds(25));
  // The source's proof is newer than that of the refresh, which is still pending.
  BOOST_REQUIRE(watched.has_value());
  BOOST_REQUIRE(!refreshed.has_value());
  watch();
  run(Milliseconds(150));
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_TEST(refreshed->has_value());
  BOOST_REQUIRE(watched.has_value());
  BOOST_REQUIRE(watched->has_value());
  BOOST_REQUIRE(watched->value().changes.size() == 1U);
  BOOST_TEST((watched->value().changes[0].object.revision == store::Revision(12)));
  BOOST_TEST((watched->value().revision == store::Revision(12)));
  BOOST_TEST(knownRevision() == 12U);
}

BOOST_AUTO_TEST_CASE(refreshThatProvedNothingByAnOlderListingFails) {
  plan(0, fail(ErrorKind::kVersionConflict, "the history is gone"));
  path.listings.push_back({Milliseconds(0), listingOf({objectAt("a", 9)}, 9)});
  const MonotonicTime proven = relayed.provenAt("k");
  refresh();
  run(Milliseconds(20));
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_REQUIRE(!refreshed->has_value());
  BOOST_TEST((refreshed->error().kind == ErrorKind::kStoreUnavailable));
  BOOST_TEST((relayed.provenAt("k") == proven));
  BOOST_TEST(knownRevision() == 10U);
}

BOOST_AUTO_TEST_CASE(refreshFailsWhereTheSourceWasAheadWithAnOlderProof) {
  plan(20, batchOf({{objectAt("a", 11), false}}, 11));
  plan(40, batchOf({}, 10));
  watch();
  run(Milliseconds(5));
  refresh();
  run(Milliseconds(80));
  BOOST_REQUIRE(watched.has_value());
  BOOST_TEST(watched->has_value());
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_REQUIRE(!refreshed->has_value());
  BOOST_TEST((refreshed->error().kind == ErrorKind::kStoreUnavailable));
  BOOST_TEST(knownRevision() == 11U);
}

BOOST_AUTO_TEST_CASE(refreshSucceedsWhereTheSourceProvedANewerStateMeanwhile) {
  plan(40, batchOf({{objectAt("a", 11), false}}, 11));
  plan(10, batchOf({{objectAt("a", 12), false}}, 12));
  refresh();
  run(Milliseconds(5));
  watch();
  run(Milliseconds(80));
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_TEST(refreshed->has_value());
  BOOST_TEST(knownRevision() == 12U);
}

BOOST_AUTO_TEST_CASE(refreshIsAppliedWhereItLeadsBeyondWhatTheSourceGaveMeanwhile) {
  plan(20, batchOf({{objectAt("a", 11), false}}, 11));
  plan(40, batchOf({{objectAt("a", 11), false}, {objectAt("b", 12), false}}, 12));
  watch();
  run(Milliseconds(5));
  const MonotonicTime asked = monotonicNow();
  refresh();
  run(Milliseconds(80));
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_TEST(refreshed->has_value());
  BOOST_TEST((relayed.provenAt("k") >= asked));
  BOOST_TEST((relayed.cache("k")->revision() == store::Revision(12)));
  BOOST_TEST(relayed.cache("k")->listing().objects.size() == 2U);
}

BOOST_AUTO_TEST_CASE(listingAfterALostHistoryHasItsOwnTimeout) {
  const Milliseconds mostOfTheTime = kTimeout * 7 / 10;
  path.batches.push_back({mostOfTheTime, fail(ErrorKind::kVersionConflict, "the history is gone")});
  path.listings.push_back({mostOfTheTime, listingOf({objectAt("a", 12)}, 12)});
  refresh();
  run(2 * kTimeout);
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_TEST(refreshed->has_value());
  BOOST_TEST(knownRevision() == 12U);
}

BOOST_AUTO_TEST_CASE(refreshThatIsNotAnsweredReportsATimeout) {
  plan(500, batchOf({}, 10));
  refresh();
  run(kTimeout + Milliseconds(50));
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_REQUIRE(!refreshed->has_value());
  BOOST_TEST((refreshed->error().kind == ErrorKind::kDeadlineExceeded));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
