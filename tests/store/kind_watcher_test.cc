#include "store/kind_watcher.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "store/unreadable.h"

namespace calicodrift::store {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// Returns scripted answers in order, then waits forever.
class ScriptedStore : public ObjectStore {
 public:
  explicit ScriptedStore(asio::io_context& context) : context_(context) {}

  awaitable<Result<Listing>> list(std::string) override {
    ++lists;
    if (unreadableLists) {
      co_return unreadable(kUnreadableAnswer, "no JSON");
    }
    Listing listing;
    listing.revision = Revision(std::uint64_t{10} * lists);
    co_return listing;
  }
  awaitable<Result<ChangeBatch>> watch(std::string, Revision since, Milliseconds wait) override {
    waits.push_back(wait);
    sinces.push_back(since);
    if (answers.empty()) {
      asio::steady_timer timer(context_, std::chrono::hours(1));
      co_await timer.async_wait(asio::use_awaitable);
    }
    Result<ChangeBatch> answer = answers.front();
    answers.pop_front();
    asio::steady_timer timer(context_, answer && answer.value().changes.empty() ? wait : delay);
    co_await timer.async_wait(asio::use_awaitable);
    co_return answer;
  }
  awaitable<Result<Object>> get(std::string, std::string) override {
    co_return fail(ErrorKind::kNotFound, "");
  }
  awaitable<Result<Revision>> put(std::string, Object) override {
    co_return fail(ErrorKind::kStoreUnavailable, "");
  }
  awaitable<Result<Revision>> putStatus(std::string, Object) override {
    co_return fail(ErrorKind::kStoreUnavailable, "");
  }

  std::deque<Result<ChangeBatch>> answers;
  std::vector<Milliseconds> waits;
  std::vector<Revision> sinces;
  Milliseconds delay{20};
  unsigned lists = 0;
  bool unreadableLists = false;

 private:
  asio::io_context& context_;
};

struct WatcherFixture {
  asio::io_context context;
  ScriptedStore store{context};
  unsigned listings = 0;
  unsigned changes = 0;
  std::vector<bool> reachable;
  KindWatcherSettings settings;

  WatcherFixture() {
    settings.kind = "k";
    settings.wait = Milliseconds(60);
    settings.shortestWait = Milliseconds(10);
    settings.proofAge = Milliseconds(100);
    settings.firstPause = Milliseconds(2);
  }
  std::unique_ptr<KindWatcher> run(Milliseconds time) {
    auto watcher = std::make_unique<KindWatcher>(
        context.get_executor(), store, settings,
        KindListener{[this](const Listing&) { ++listings; },
                     [this](const ChangeBatch&) { ++changes; },
                     [this](bool ok, const std::string&) { reachable.push_back(ok); }});
    watcher->start();
    context.run_for(time);
    return watcher;
  }
};

ChangeBatch batchAt(std::uint64_t revision, std::size_t changeCount) {
  ChangeBatch batch;
  batch.revision = Revision(revision);
  batch.changes.resize(changeCount);
  return batch;
}

BOOST_FIXTURE_TEST_SUITE(kind_watcher, WatcherFixture)

BOOST_AUTO_TEST_CASE(watchesFromTheRevisionThatItKnows) {
  store.answers = {batchAt(12, 1), batchAt(15, 1)};
  const auto watcher = run(Milliseconds(200));
  BOOST_TEST(listings == 1U);
  BOOST_TEST(changes == 2U);
  BOOST_TEST((store.sinces == std::vector{Revision(10), Revision(12), Revision(15)}));
}

BOOST_AUTO_TEST_CASE(watchWithoutChangesProvesTheEndOfItsWait) {
  store.answers = {batchAt(10, 0)};
  const MonotonicTime begin = monotonicNow();
  const auto watcher = run(Milliseconds(150));
  BOOST_TEST((watcher->provenAt() >= begin + settings.wait));
}

BOOST_AUTO_TEST_CASE(watchWithChangesProvesOnlyTheTimeOfItsRequest) {
  store.delay = Milliseconds(50);
  store.answers = {batchAt(11, 1)};
  const MonotonicTime begin = monotonicNow();
  const auto watcher = run(Milliseconds(150));
  BOOST_TEST(changes == 1U);
  BOOST_TEST((watcher->provenAt() < begin + Milliseconds(40)));
  // The next watch is shorter, so that the proof does not become too old.
  BOOST_REQUIRE(store.waits.size() == 2U);
  BOOST_TEST((store.waits[1] < settings.wait));
}

BOOST_AUTO_TEST_CASE(lostHistoryLeadsToAnotherListing) {
  store.answers = {fail(ErrorKind::kVersionConflict, "gone"), batchAt(25, 1)};
  const auto watcher = run(Milliseconds(200));
  BOOST_TEST(listings == 2U);
  BOOST_TEST(changes == 1U);
}

/// Guards against readers that take two states in a row for all that was in between.
BOOST_AUTO_TEST_CASE(aBatchThatMayLackChangesIsToldThoughItHasNone) {
  ChangeBatch incomplete = batchAt(25, 0);
  incomplete.complete = false;
  store.answers = {batchAt(12, 0), incomplete};
  const auto watcher = run(Milliseconds(200));
  BOOST_TEST(changes == 1U);
}

BOOST_AUTO_TEST_CASE(unreadableChangesLeadToAListingInsteadOfTheSameWatch) {
  store.answers = {unreadable(kUnreadableAnswer, "no JSON"), batchAt(25, 1)};
  const auto watcher = run(Milliseconds(200));
  BOOST_TEST(listings == 2U);
  BOOST_TEST(changes == 1U);
  BOOST_TEST((store.sinces[1] == Revision(20)));
}

BOOST_AUTO_TEST_CASE(repeatedUnreadableAnswersSlowTheRequests) {
  settings.unreadablePause = Milliseconds(100);
  store.answers.assign(50, unreadable(kUnreadableAnswer, "no JSON"));
  store.unreadableLists = true;
  const auto watcher = run(Milliseconds(350));
  BOOST_TEST(listings == 0U);
  BOOST_TEST(store.lists <= 5U);
  BOOST_TEST(store.lists >= 3U);
}

BOOST_AUTO_TEST_CASE(listingOlderThanTheKnownStateIsRejected) {
  store.answers = {batchAt(40, 1), fail(ErrorKind::kVersionConflict, "gone"), batchAt(50, 1)};
  const auto watcher = run(Milliseconds(300));
  // Listings are at revisions 10, 20, 30 and so on; only the one at 40 is not older than the known
  // state.
  BOOST_TEST(store.lists == 4U);
  BOOST_TEST(listings == 2U);
  BOOST_TEST((watcher->revision() >= Revision(40)));
}

BOOST_AUTO_TEST_CASE(pausesAfterChangesToBatchThem) {
  settings.changePause = Milliseconds(80);
  store.delay = Milliseconds(0);
  store.answers = {batchAt(11, 1)};
  const auto watcher = run(Milliseconds(50));
  BOOST_TEST(store.waits.size() == 1U);
  context.run_for(Milliseconds(100));
  BOOST_TEST(store.waits.size() == 2U);
}

BOOST_AUTO_TEST_CASE(sourceMayStateTheAgeOfItsAnswer) {
  ChangeBatch batch = batchAt(11, 1);
  batch.provenAfterAsked = Milliseconds(-30);
  store.answers = {batch};
  const MonotonicTime begin = monotonicNow();
  const auto watcher = run(Milliseconds(40));
  BOOST_TEST(changes == 1U);
  const MonotonicTime asked = begin + Milliseconds(20);
  BOOST_TEST((provenAt(batch, asked, settings.wait, asked) == asked - Milliseconds(30)));
}

BOOST_AUTO_TEST_CASE(firstWatchFromAnotherSourceIsShort) {
  store.answers.push_back(fail(ErrorKind::kStoreUnavailable, "the source changed"));
  store.answers.push_back(ChangeBatch{{}, Revision(10), {}});
  const std::unique_ptr<KindWatcher> watcher = run(Milliseconds(1));
  watcher->retryNow();
  context.restart();
  context.run_for(Milliseconds(60));
  BOOST_REQUIRE(store.waits.size() == 3U);
  BOOST_TEST(store.waits[1] == Milliseconds(20));
  // The view is proven, so the next watch waits as long as usual.
  BOOST_TEST(store.waits[2] > Milliseconds(20));
}

BOOST_AUTO_TEST_CASE(lossAndReturnOfTheStoreAreReportedOnce) {
  store.answers = {fail(ErrorKind::kStoreUnavailable, "down"),
                   fail(ErrorKind::kStoreUnavailable, "down"), batchAt(11, 1)};
  const auto watcher = run(Milliseconds(300));
  BOOST_TEST((reachable == std::vector<bool>{false, true}));
  BOOST_TEST(listings == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::store
