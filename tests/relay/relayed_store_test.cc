#include "relay/relayed_store.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "fake_store.h"

namespace calicodrift::relay {
namespace {

namespace asio = boost::asio;
constexpr Milliseconds kWatch{60};
constexpr Milliseconds kTimeout{100};
/// Far longer than any test runs.
constexpr Milliseconds kSilence{30'000};

/// A path to the store on which pending reads may never be answered.
struct Path : store::ObjectStore {
  Path(asio::io_context& context, FakeStore& shared) : context(context), shared(shared) {}

  asio::awaitable<Result<store::Listing>> list(std::string kind) override {
    if (silent) {
      co_await keepSilent();
    }
    co_return co_await shared.list(std::move(kind));
  }
  asio::awaitable<Result<store::ChangeBatch>> watch(std::string kind, store::Revision since,
                                                    Milliseconds wait) override {
    if (silent) {
      co_await keepSilent();
    }
    if (forgetful) {
      co_return fail(ErrorKind::kVersionConflict, "the history is gone");
    }
    co_return co_await shared.watch(std::move(kind), since, wait);
  }
  asio::awaitable<Result<store::Object>> get(std::string kind, std::string name) override {
    co_return co_await shared.get(std::move(kind), std::move(name));
  }
  asio::awaitable<Result<store::Revision>> put(std::string kind, store::Object object) override {
    co_return co_await shared.put(std::move(kind), std::move(object));
  }
  asio::awaitable<Result<store::Revision>> putStatus(std::string kind,
                                                     store::Object object) override {
    co_return co_await shared.putStatus(std::move(kind), std::move(object));
  }
  asio::awaitable<void> keepSilent() {
    asio::steady_timer timer(context, kSilence);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::io_context& context;
  FakeStore& shared;
  bool silent = false;
  bool forgetful = false;
};

struct StoreFixture {
  asio::io_context context;
  FakeStore shared{context};
  Path path{context, shared};
  http::Client http{context.get_executor()};
  RelaySettings settings;
  RelayClient client{http, settings};
  RelayedStore relayed{context.get_executor(), path, client};
  /// Accepts connections and never answers.
  asio::ip::tcp::acceptor silentRelay{
      context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::optional<Result<store::ChangeBatch>> watched;
  std::optional<Result<void>> refreshed;

  StoreFixture() {
    shared.set("k", "a", "1");
    relayed.readDirectly();
    BOOST_REQUIRE(listed());
  }
  ~StoreFixture() { context.stop(); }

  Endpoint silentEndpoint() const { return {"127.0.0.1", silentRelay.local_endpoint().port()}; }
  void run(Milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  std::optional<store::Listing> listed() {
    std::optional<store::Listing> found;
    asio::co_spawn(
        context,
        [this, &found]() -> asio::awaitable<void> {
          const Result<store::Listing> listing = co_await relayed.list("k");
          if (listing) {
            found = listing.value();
          }
        },
        asio::detached);
    run(Milliseconds(40));
    return found;
  }
  void watch(store::Revision since) {
    watched.reset();
    asio::co_spawn(
        context,
        [this, since]() -> asio::awaitable<void> {
          watched = co_await relayed.watch("k", since, kWatch);
        },
        asio::detached);
  }
  void refresh(RelayedStore::Listings listings = RelayedStore::Listings::kAllowed) {
    refreshed.reset();
    asio::co_spawn(
        context,
        [this, listings]() -> asio::awaitable<void> {
          refreshed = co_await relayed.refresh("k", kTimeout, listings);
        },
        asio::detached);
  }
  store::Revision known() { return relayed.cache("k")->revision(); }
};

BOOST_FIXTURE_TEST_SUITE(relayed_store, StoreFixture)

BOOST_AUTO_TEST_CASE(readOfAnUnresponsiveStoreIsAbandonedOnASourceChange) {
  path.silent = true;
  watch(known());
  run(Milliseconds(30));
  BOOST_REQUIRE(!watched.has_value());
  relayed.follow(silentEndpoint());
  run(Milliseconds(30));
  BOOST_REQUIRE(watched.has_value());
  BOOST_TEST(!watched->has_value());
}

BOOST_AUTO_TEST_CASE(refreshEndsAReadFromAnUnresponsiveStore) {
  path.silent = true;
  watch(known());
  run(Milliseconds(30));
  path.silent = false;
  shared.set("k", "b", "2");
  const MonotonicTime before = monotonicNow();
  refresh();
  run(Milliseconds(30));
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_TEST(refreshed->has_value());
  BOOST_REQUIRE(watched.has_value());
  BOOST_REQUIRE(watched->has_value());
  BOOST_TEST(watched->value().changes.size() == 1U);
  BOOST_TEST((relayed.provenAt("k") >= before));
}

BOOST_AUTO_TEST_CASE(refreshEndsAReadFromAnUnresponsiveRelay) {
  relayed.follow(silentEndpoint());
  watch(known());
  run(Milliseconds(30));
  shared.set("k", "b", "2");
  refresh();
  run(Milliseconds(30));
  BOOST_REQUIRE(watched.has_value());
  BOOST_REQUIRE(watched->has_value());
  BOOST_TEST(watched->value().changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refreshedStateIsDeliveredToALaterReader) {
  relayed.follow(silentEndpoint());
  const store::Revision since = known();
  const MonotonicTime before = monotonicNow();
  shared.set("k", "b", "2");
  refresh();
  run(Milliseconds(30));
  const MonotonicTime asked = monotonicNow();
  watch(since);
  run(Milliseconds(30));
  BOOST_REQUIRE(watched.has_value());
  BOOST_REQUIRE(watched->has_value());
  BOOST_TEST(watched->value().changes.size() == 1U);
  // No newer than the time at which it was read, and no older.
  const MonotonicTime proven = store::provenAt(watched->value(), asked, kWatch, monotonicNow());
  BOOST_TEST((proven <= relayed.provenAt("k")));
  BOOST_TEST((proven >= before - Milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(refreshOfAnUnresponsiveStoreTimesOut) {
  path.silent = true;
  const MonotonicTime proven = relayed.provenAt("k");
  refresh();
  run(kTimeout + Milliseconds(30));
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_TEST(!refreshed->has_value());
  BOOST_TEST((relayed.provenAt("k") == proven));
}

BOOST_AUTO_TEST_CASE(refreshListsIfTheHistoryIsGone) {
  relayed.follow(silentEndpoint());
  const store::Revision since = known();
  path.forgetful = true;
  shared.set("k", "b", "2");
  refresh();
  run(Milliseconds(30));
  BOOST_REQUIRE(refreshed.has_value());
  BOOST_TEST(refreshed->has_value());
  watch(since);
  run(Milliseconds(30));
  BOOST_REQUIRE(watched.has_value());
  // The reader gets what differs, and needs no listing of its own.
  BOOST_REQUIRE(watched->has_value());
  BOOST_REQUIRE(watched->value().changes.size() == 1U);
  BOOST_TEST(watched->value().changes.front().object.name == "b");
  BOOST_TEST(!watched->value().changes.front().removed);
  BOOST_TEST((watched->value().revision > since));
  BOOST_TEST(relayed.cache("k")->listing().objects.size() == 2U);
}

// All nodes whose views grew old when the store had forgotten its history listed 10,000 servers for
// themselves, a call for each page, while their roots did the same.
BOOST_AUTO_TEST_CASE(aLongListingIsLeftToTheSourceUnlessItIsAllowed) {
  constexpr int kServers = 600;
  for (int number = 0; number < kServers; ++number) {
    shared.set("k", "s" + std::to_string(number), "1");
  }
  watch(known());
  run(Milliseconds(30));
  relayed.follow(silentEndpoint());
  path.forgetful = true;
  shared.set("k", "b", "2");
  for (const auto listings : {RelayedStore::Listings::kShort, RelayedStore::Listings::kAllowed}) {
    refresh(listings);
    run(Milliseconds(60));
    BOOST_REQUIRE(refreshed.has_value());
    BOOST_TEST(refreshed->has_value() == (listings == RelayedStore::Listings::kAllowed));
  }
}

// While a root's reader went through a listing of 10,000 servers again, nothing proved the root's
// view, and every node below it read the store itself.
BOOST_AUTO_TEST_CASE(aReaderOfTheStoreGetsChangesWhereItsHistoryIsGone) {
  const store::Revision since = known();
  path.forgetful = true;
  shared.set("k", "b", "2");
  watch(since);
  run(Milliseconds(30));
  BOOST_REQUIRE(watched.has_value());
  BOOST_REQUIRE(watched->has_value());
  BOOST_REQUIRE(watched->value().changes.size() == 1U);
  BOOST_TEST(watched->value().changes.front().object.name == "b");
  BOOST_TEST((watched->value().revision > since));
  BOOST_TEST(!watched->value().complete, "objects may have come and gone in between");
}

BOOST_AUTO_TEST_CASE(refreshDoesNotCountAsProofOfTheSource) {
  // Code that judges the parent by the age of its views must see that age.
  relayed.follow(silentEndpoint());
  const MonotonicTime bySource = relayed.provenAt();
  run(Milliseconds(20));
  refresh();
  run(Milliseconds(30));
  BOOST_TEST((relayed.provenAt() == bySource));
  BOOST_TEST((relayed.provenAt("k") > bySource));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
