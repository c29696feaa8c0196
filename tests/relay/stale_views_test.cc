#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

#include "fake_store.h"
#include "log/log.h"
#include "relay/relay_node.h"

namespace calicodrift::relay {
namespace {

namespace asio = boost::asio;
constexpr Milliseconds kReadAge{200};
/// Bound on the age of views, with an allowance for a busy machine.
constexpr Milliseconds kOldest{400};

/// A store that rejects or never answers watches of some kinds.
struct PartlyFailingStore : FakeStore {
  explicit PartlyFailingStore(asio::io_context& context) : FakeStore(context), context(context) {}

  asio::awaitable<Result<store::ChangeBatch>> watch(std::string kind, store::Revision since,
                                                    Milliseconds wait) override {
    if (refused.contains(kind)) {
      ++refusals;
      co_return fail(ErrorKind::kStoreUnavailable, "refused");
    }
    if (silent.contains(kind)) {
      asio::steady_timer timer(context, std::chrono::seconds(30));
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_return co_await FakeStore::watch(std::move(kind), since, wait);
  }

  asio::io_context& context;
  std::set<std::string> refused;
  std::set<std::string> silent;
  std::size_t refusals = 0;
};

/// A node with two known kinds that nothing watches.
struct StaleViewsFixture {
  asio::io_context context;
  PartlyFailingStore store{context};
  http::Client client{context.get_executor()};
  RelayNode relay{context.get_executor(), store, client, settings()};
  std::size_t changes = 0;

  StaleViewsFixture() {
    log::silence();
    store.set("a", "one", "1");
    store.set("b", "one", "1");
    relay.onSourceChanged([this] { ++changes; });
    relay.start();
    asio::co_spawn(
        context,
        [this]() -> asio::awaitable<void> {
          BOOST_REQUIRE(co_await relay.store().list("a"));
          BOOST_REQUIRE(co_await relay.store().list("b"));
        },
        asio::detached);
    run(Milliseconds(20));
  }
  ~StaleViewsFixture() { context.stop(); }

  static RelaySettings settings() {
    RelaySettings settings;
    settings.node = NodeId("alone");
    settings.readAges = {{"a", kReadAge}, {"b", kReadAge}};
    return settings;
  }
  void run(Milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  Milliseconds age(const std::string& kind) {
    return std::chrono::floor<Milliseconds>(monotonicNow() - relay.store().provenAt(kind));
  }
  /// Age of the oldest view of the kind over 100 samples.
  Milliseconds oldest(const std::string& kind) {
    Milliseconds found{0};
    for (int sample = 0; sample < 100; ++sample) {
      run(Milliseconds(20));
      found = std::max(found, age(kind));
    }
    return found;
  }
};

BOOST_FIXTURE_TEST_SUITE(stale_views, StaleViewsFixture)

BOOST_AUTO_TEST_CASE(staleViewsOfAllKindsAreRead) {
  BOOST_TEST(oldest("a") < kOldest);
  BOOST_TEST(age("b") < kOldest);
  BOOST_TEST(changes > 0U);
}

BOOST_AUTO_TEST_CASE(kindThatIsRefusedKeepsNoOtherFromBeingRead) {
  store.refused.insert("a");
  BOOST_TEST(oldest("b") < kOldest);
  BOOST_TEST(age("a") > kOldest);
  BOOST_TEST(changes > 0U);
  // With the shortest jitter, the backoff starts at 4 ms and doubles up to 100 ms.
  BOOST_TEST(store.refusals <= 24U);
}

BOOST_AUTO_TEST_CASE(kindThatIsNotAnsweredKeepsNoOtherFromBeingRead) {
  store.silent.insert("a");
  BOOST_TEST(oldest("b") < kOldest);
  BOOST_TEST(age("a") > kOldest);
}

BOOST_AUTO_TEST_CASE(viewsAreReadSoonAfterASilentStoreAnswersAgain) {
  store.silent = {"a", "b"};
  oldest("b");
  store.silent.clear();
  // One and a half times the longest backoff.
  run(kReadAge * 3 / 2 + Milliseconds(100));
  BOOST_TEST(age("a") < kOldest);
  BOOST_TEST(age("b") < kOldest);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
