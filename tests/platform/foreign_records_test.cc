// The product's own records when another writer has put something else in their place.
#include <boost/asio.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

#include "http/client.h"
#include "lease/lease_keeper.h"
#include "lease/object_store_lease_store.h"
#include "operator_store.h"
#include "relay/relay_list.h"
#include "run_to_end.h"
#include "store_stand_in.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace data = boost::unit_test::data;
using asio::awaitable;

const std::string kLeases = "calicodrift-leases";
const std::string kName = "weights";

const std::vector<std::string> kForeign{
    "garbage",
    "null",
    "[1]",
    R"("text")",
    "{\"holderIdentity\":\"\xff\"}",
    R"({"holderIdentity":"x"})",
    R"({"holderIdentity":"x","leaseDurationMs":"3000","leaseTransitions":4,"renewal":1})",
    R"({"holderIdentity":"x","leaseDurationMs":1e17,"leaseTransitions":4,"renewal":1})",
    R"({"holderIdentity":"x","leaseDurationMs":-5,"leaseTransitions":4,"renewal":1})",
    R"({"holderIdentity":"x","leaseDurationMs":300,"leaseTransitions":1e19,"renewal":1})",
};

struct RecordFixture {
  void run(const std::function<awaitable<void>()>& body) { runToEnd(context, body); }
  awaitable<void> waitUntil(std::function<bool()> condition) {
    asio::steady_timer timer(context);
    const MonotonicTime end = monotonicNow() + std::chrono::seconds(3);
    while (!condition() && monotonicNow() < end) {
      timer.expires_after(Milliseconds(5));
      co_await timer.async_wait(asio::use_awaitable);
    }
    BOOST_TEST(condition(), "the condition did not come");
  }

  asio::io_context context;
  StoreStandIn stored{context};
  http::Client client{context.get_executor()};
  platform::OperatorStore port{client, stored.endpoint()};
  lease::ObjectStoreLeaseStore leases{port, kLeases};
  lease::LeaseSettings settings{"me", Milliseconds(300), Milliseconds(100), Milliseconds(20), 0.05};
  lease::LeaseKeeper keeper{context.get_executor(), leases, kName, settings, [] { return true; }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(foreign_records)

BOOST_DATA_TEST_CASE_F(RecordFixture, aLeaseThatCantBeReadIsTakenOnceItsTermIsOver,
                       data::make(kForeign), bytes) {
  stored.put(kLeases, kName, json::object{});
  stored.putRawSpec(kLeases, kName, bytes);
  run([this]() -> awaitable<void> {
    const MonotonicTime begin = monotonicNow();
    keeper.start();
    co_await waitUntil([this] { return keeper.token().has_value(); });
    // Whoever held it before may act until its term is over.
    BOOST_TEST((monotonicNow() - begin >= Milliseconds(300)));
  });
}

BOOST_DATA_TEST_CASE_F(RecordFixture, aLeaseThatIsOverwrittenComesBackWithAHigherToken,
                       data::make(kForeign), bytes) {
  run([this, &bytes]() -> awaitable<void> {
    keeper.start();
    co_await waitUntil([this] { return keeper.token().has_value(); });
    const FencingToken before = *keeper.token();
    stored.putRawSpec(kLeases, kName, bytes);
    co_await waitUntil([this] { return !keeper.token().has_value(); });
    co_await waitUntil([this] { return keeper.token().has_value(); });
    BOOST_TEST((*keeper.token() > before));
  });
}

BOOST_DATA_TEST_CASE_F(RecordFixture, aListOfRelaysThatCantBeReadIsWrittenAnew,
                       data::make(kForeign), bytes) {
  stored.putRawSpec("calicodrift-relays", "z", bytes);
  run([this]() -> awaitable<void> {
    relay::RelayListStore lists(port, "z");
    Result<relay::RelayList> list = co_await lists.read();
    BOOST_REQUIRE(list.has_value());
    BOOST_TEST(list.value().relays.empty());
    BOOST_TEST(list.value().revision.value() > 0U);
    list.value().relays.push_back({{"10.0.0.1", 80}, ZoneId("z")});
    const Result<store::Revision> written = co_await lists.write(list.value());
    BOOST_TEST(written.has_value());
    const Result<relay::RelayList> again = co_await lists.read();
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again.value().relays.size() == 1U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::testing
