#include "relay/watch_cache.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

namespace calicodrift::relay {
namespace {

namespace asio = boost::asio;

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

store::Object largeObjectAt(const std::string& name, std::uint64_t revision, char content) {
  store::Object object = objectAt(name, revision);
  object.specText = std::make_shared<const std::string>(store::kLargeSpecBytes, content);
  return object;
}

struct CacheFixture {
  asio::io_context context;
  WatchCache cache{context.get_executor()};
  const MonotonicTime begin = monotonicNow();

  CacheFixture() {
    store::Listing listing;
    listing.revision = store::Revision(10);
    listing.objects = {objectAt("a", 4), objectAt("b", 9)};
    cache.applyListing(listing, begin);
  }

  /// Known revision of the object; 0 if there is none.
  std::uint64_t revisionOf(const std::string& name) const {
    for (const store::Object& object : cache.listing().objects) {
      if (object.name == name) {
        return object.revision.value();
      }
    }
    return 0;
  }
};

BOOST_FIXTURE_TEST_SUITE(watch_cache, CacheFixture)

BOOST_AUTO_TEST_CASE(returnsChangesSinceARevision) {
  cache.applyChanges(batchOf({{objectAt("c", 12), false}, {objectAt("a", 13), true}}, 14), begin);
  const auto all = cache.changesSince(store::Revision(10));
  BOOST_REQUIRE(all);
  BOOST_TEST(all.value().changes.size() == 2U);
  BOOST_TEST((all.value().revision == store::Revision(14)));
  const auto late = cache.changesSince(store::Revision(14));
  BOOST_TEST(late.value().changes.empty());
  BOOST_TEST(cache.listing().objects.size() == 2U);
}

BOOST_AUTO_TEST_CASE(changeThatTheFollowerKnowsIsNotRepeated) {
  cache.applyChanges(batchOf({{objectAt("c", 12), false}, {objectAt("d", 14), false}}, 14), begin);
  const auto changes = cache.changesSince(store::Revision(12));
  BOOST_REQUIRE(changes);
  BOOST_REQUIRE(changes.value().changes.size() == 1U);
  BOOST_TEST(changes.value().changes[0].object.name == "d");
}

/// Guards against followers that are sent two texts of a large spec, of which only the newer one is
/// kept to compute updates from.
BOOST_AUTO_TEST_CASE(ofTwoChangesOfALargeSpecInOneBatchOnlyTheNewerIsKept) {
  const store::Object newer = largeObjectAt("a", 13, 'n');
  cache.applyChanges(
      batchOf({{largeObjectAt("a", 11, 'o'), false}, {objectAt("b", 12), false}, {newer, false}},
              13),
      begin);
  const auto changes = cache.changesSince(store::Revision(10));
  BOOST_REQUIRE(changes);
  BOOST_REQUIRE(changes.value().changes.size() == 2U);
  BOOST_TEST(changes.value().changes.front().object.name == "b");
  BOOST_TEST((changes.value().changes.back().object.specText == newer.specText));
}

BOOST_AUTO_TEST_CASE(droppedHistoryIsReported) {
  const auto changes = cache.changesSince(store::Revision(9));
  BOOST_REQUIRE(!changes);
  BOOST_TEST((changes.error().kind == ErrorKind::kVersionConflict));
}

/// Guards against followers that take a listing which their relay has read for all that was in
/// between.
BOOST_AUTO_TEST_CASE(changesAcrossAListingAreIncomplete) {
  store::Listing listing = cache.listing();
  cache.applyListing(listing, begin);
  BOOST_TEST(cache.changesSince(store::Revision(10)).value().complete, "nothing has happened");
  listing.revision = store::Revision(15);
  cache.applyListing(listing, begin);
  cache.applyChanges(batchOf({{objectAt("c", 16), false}}, 16), begin);
  const auto across = cache.changesSince(store::Revision(10));
  BOOST_REQUIRE(across);
  BOOST_TEST(!across.value().complete);
  BOOST_TEST(across.value().changes.size() == 1U);
  BOOST_TEST(cache.changesSince(store::Revision(15)).value().complete);
}

BOOST_AUTO_TEST_CASE(anIncompleteBatchIsPassedOnAsSuch) {
  store::ChangeBatch batch = batchOf({}, 12);
  batch.complete = false;
  cache.applyChanges(batch, begin);
  BOOST_TEST(!cache.changesSince(store::Revision(10)).value().complete);
  // What the state has already is no gap.
  cache.applyChanges(batch, begin);
  BOOST_TEST(cache.changesSince(store::Revision(12)).value().complete);
}

BOOST_AUTO_TEST_CASE(historyIsBounded) {
  for (std::uint64_t revision = 11; revision <= 2010; ++revision) {
    cache.applyChanges(batchOf({{objectAt("a", revision), false}}, revision), begin);
  }
  BOOST_TEST(!cache.changesSince(store::Revision(500)));
  const auto recent = cache.changesSince(store::Revision(1500));
  BOOST_REQUIRE(recent);
  BOOST_TEST(recent.value().changes.size() == 510U);
}

BOOST_AUTO_TEST_CASE(followerThatIsAheadKeepsItsRevision) {
  const auto changes = cache.changesSince(store::Revision(20));
  BOOST_REQUIRE(changes);
  BOOST_TEST(changes.value().changes.empty());
  BOOST_TEST((changes.value().revision == store::Revision(20)));
}

BOOST_AUTO_TEST_CASE(olderChangeDoesNotReplaceANewerOne) {
  cache.applyChanges(batchOf({{objectAt("a", 12), false}}, 12), begin);
  // Both batches were requested from the same revision; the older change arrives alone or together
  // with newer ones.
  cache.applyChanges(batchOf({{objectAt("a", 11), false}}, 11), begin);
  BOOST_TEST((revisionOf("a") == 12U));
  cache.applyChanges(batchOf({{objectAt("a", 11), false}, {objectAt("c", 13), false}}, 13), begin);
  BOOST_TEST((revisionOf("a") == 12U));
  BOOST_TEST((revisionOf("c") == 13U));
  const auto changes = cache.changesSince(store::Revision(12));
  BOOST_REQUIRE(changes);
  BOOST_TEST(changes.value().changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(olderChangeDoesNotBringARemovedObjectBack) {
  cache.applyChanges(batchOf({{objectAt("a", 12), true}}, 12), begin);
  cache.applyChanges(batchOf({{objectAt("a", 11), false}}, 11), begin);
  BOOST_TEST((revisionOf("a") == 0U));
  cache.applyChanges(batchOf({{objectAt("a", 11), false}, {objectAt("c", 13), false}}, 13), begin);
  BOOST_TEST((revisionOf("a") == 0U));
  BOOST_TEST((revisionOf("c") == 13U));
}

BOOST_AUTO_TEST_CASE(olderRemovalDoesNotTakeAnObjectThatIsThereAgain) {
  cache.applyChanges(batchOf({{objectAt("a", 11), true}, {objectAt("a", 12), false}}, 12), begin);
  BOOST_TEST((revisionOf("a") == 12U));
  cache.applyChanges(batchOf({{objectAt("a", 11), true}}, 11), begin);
  BOOST_TEST((revisionOf("a") == 12U));
  cache.applyChanges(batchOf({{objectAt("a", 11), true}, {objectAt("c", 13), false}}, 13), begin);
  BOOST_TEST((revisionOf("a") == 12U));
}

BOOST_AUTO_TEST_CASE(removalThatCarriesTheLastRevisionOfItsObjectIsApplied) {
  cache.applyChanges(batchOf({{objectAt("a", 4), true}}, 11), begin);
  BOOST_TEST((revisionOf("a") == 0U));
  const auto changes = cache.changesSince(store::Revision(10));
  BOOST_REQUIRE(changes);
  BOOST_TEST(changes.value().changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(objectThatIsNewerThanItsListingIsNotReplacedByAnOlderChange) {
  // A listing of several pages has the revision of its first page.
  store::Listing listing;
  listing.revision = store::Revision(20);
  listing.objects = {objectAt("a", 23)};
  cache.applyListing(listing, begin);
  cache.applyChanges(batchOf({{objectAt("a", 21), false}}, 22), begin);
  BOOST_TEST((revisionOf("a") == 23U));
  cache.applyChanges(batchOf({{objectAt("a", 23), false}, {objectAt("a", 24), true}}, 24), begin);
  BOOST_TEST((revisionOf("a") == 0U));
}

BOOST_AUTO_TEST_CASE(updatesEndTheWait) {
  bool woken = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        co_await cache.waitForNews(begin + std::chrono::seconds(20));
        woken = true;
      },
      asio::detached);
  context.run_for(Milliseconds(10));
  BOOST_TEST(!woken);
  cache.applyChanges(batchOf({}, 10), begin + Milliseconds(5));
  context.restart();
  context.run_for(Milliseconds(10));
  BOOST_TEST(woken);
  BOOST_TEST((cache.provenAt() == begin + Milliseconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
