// The list of servers with entries of another writer, through the platform's schema to the pool.
#include "gateway/server_entries.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <vector>

#include "log/log.h"
#include "operator_schema.h"

namespace calicodrift::testing {
namespace {

namespace json = boost::json;

constexpr MonotonicTime kNow{std::chrono::hours(1)};

struct EntriesFixture {
  EntriesFixture() { log::silence(); }

  store::Object objectOf(const std::string& id, const std::string& service = "app") {
    store::Object object;
    object.name = id;
    object.revision = store::Revision(++revision);
    object.spec = json::object{{"service", service}, {"address", "10.0.0.1:80"},
                               {"zone", "z1"},       {"version", "v1"},
                               {"slots", 8},         {"state", "ready"},
                               {"call_seq", 0},      {"cold_remaining_ms", 0}};
    return object;
  }
  store::Object badObject(const std::string& id) {
    store::Object object = objectOf(id);
    object.spec.as_object().erase("slots");
    return object;
  }
  void list(std::vector<store::Object> objects) {
    store::Listing listing;
    listing.objects = std::move(objects);
    listWithin(listing, [] {});
  }
  /// @param between is called before each step of the listing but the first.
  void listWithin(const store::Listing& listing, const std::function<void()>& between) {
    entries.beginListing(listing, kNow);
    for (const store::Object& object : listing.objects) {
      between();
      entries.applyListed(object, kNow);
    }
    between();
    entries.endListing(listing.revision, kNow);
  }
  void change(const store::Object& object) { entries.applyChange({object, false}, kNow); }
  /// @param cacheStore names a store of kept cache beside the services.
  void configure(const std::vector<std::string>& services, const std::string& cacheStore = "") {
    routes::RouteTableContent content;
    for (const std::string& name : services) {
      content.services.emplace_back().name = name;
    }
    if (!cacheStore.empty()) {
      routes::Service& store = content.services.emplace_back();
      store.name = cacheStore;
      store.cacheStore.emplace();
    }
    entries.applyConfiguration(routes::RouteTable(std::move(content)), kNow);
  }
  std::size_t usable(const std::string& service = "app") {
    return pool.candidates(service, ModelId(), kNow).size();
  }
  bool isUsable(const std::string& id) const {
    const fleet::Server* server = pool.find(BackendId(id));
    return server != nullptr && !server->draining;
  }
  bool counted(const std::string& reason, int count) const {
    const std::string line = "{kind=\"servers\",reason=\"" + reason + "\"} ";
    return metrics::renderText(registry).find(line + std::to_string(count) + "\n") !=
           std::string::npos;
  }

  std::uint64_t revision = 10;
  prometheus::Registry registry;
  gateway::GatewayMetrics metrics{registry};
  gateway::UnreadableObjects unreadable{metrics};
  fleet::ServerPool pool{40, [](const fleet::Server&, fleet::ServerLoss) {}};
  platform::OperatorSchema schema;
  gateway::ServerEntries entries{schema, pool, unreadable};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(server_entries, EntriesFixture)

BOOST_AUTO_TEST_CASE(anEntryThatCantBeReadCountsOnceAChangeAndNotOnceAListing) {
  const store::Object good = objectOf("a");
  const store::Object bad = badObject("b");
  for (int time = 0; time < 5; ++time) {
    list({good, bad});
  }
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(counted("field_missing", 1));
  change(badObject("b"));
  BOOST_TEST(counted("field_missing", 2));
}

BOOST_AUTO_TEST_CASE(aKnownServerIsWithheldByAChangeAndByAListingAlike) {
  list({objectOf("a"), objectOf("b"), objectOf("c")});
  change(badObject("a"));
  BOOST_TEST(usable() == 2U);
  list({badObject("a"), badObject("b"), objectOf("c")});
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(pool.size() == 3U);
  change(objectOf("a"));
  BOOST_TEST(usable() == 2U);
  list({objectOf("a"), objectOf("b"), objectOf("c")});
  BOOST_TEST(usable() == 3U);
}

BOOST_AUTO_TEST_CASE(aWithheldServerThatIsNotListedAnyMoreIsRemoved) {
  list({objectOf("a"), objectOf("b")});
  change(badObject("a"));
  list({objectOf("b")});
  BOOST_TEST(pool.size() == 1U);
  change(badObject("b"));
  entries.applyChange({badObject("b"), true}, kNow);
  BOOST_TEST(pool.size() == 0U);
}

BOOST_AUTO_TEST_CASE(serversAreUsedWhileTheConfigurationNamesTheirService) {
  list({objectOf("a"), objectOf("b", "other"), objectOf("k", "keep")});
  BOOST_TEST(usable("other") == 1U);
  configure({"app"}, "keep");
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(usable("other") == 0U);
  BOOST_TEST(usable("keep") == 0U);
  BOOST_TEST(counted("unknown_service", 2));
  configure({"app"}, "keep");
  list({objectOf("a"), objectOf("c", "other")});
  BOOST_TEST(pool.find(BackendId("c")) == nullptr);
  configure({"app", "other"});
  BOOST_TEST(usable("other") == 1U);
  configure({"other"});
  BOOST_TEST(usable() == 0U);
  configure({"app", "other"});
  BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(aNamedServiceDoesNotBringAServerBackWhoseNewestEntryIsUnreadable) {
  list({objectOf("a", "other")});
  configure({"app"});
  change(badObject("a"));
  configure({"app", "other"});
  BOOST_TEST(usable("other") == 0U);
}

/// A configuration that is applied between the steps of a listing sets servers aside by their
/// earlier entries. Those that the listing lacks, or has with an unreadable entry, must not come
/// back once a later configuration names their service.
BOOST_AUTO_TEST_CASE(aServerThatAListingEndsStaysOutThoughAConfigurationCameWithinTheListing) {
  list({objectOf("a"), objectOf("b", "other"), objectOf("c", "other"), objectOf("d", "other")});
  configure({"app", "other"});
  store::Listing listing;
  listing.objects = {objectOf("a"), badObject("b"), objectOf("d", "other")};
  listWithin(listing, [this] { configure({"app"}); });
  BOOST_TEST(usable("other") == 0U);
  configure({"app", "other"});
  BOOST_TEST(usable("other") == 1U);
  BOOST_TEST(pool.find(BackendId("c")) == nullptr);
  BOOST_TEST(!isUsable("b"));
  BOOST_TEST(isUsable("d"));
}

/// Servers that were set aside before the listing are used as soon as their service is named, even
/// if the listing has not come to them yet.
BOOST_AUTO_TEST_CASE(aConfigurationWithinAListingUsesServersSetAsideBefore) {
  configure({"app"});
  list({objectOf("a"), objectOf("b", "other")});
  store::Listing listing;
  listing.objects = {objectOf("a"), objectOf("b", "other")};
  std::vector<std::size_t> usableBetween;
  listWithin(listing, [&] {
    configure({"app", "other"});
    usableBetween.push_back(usable("other"));
  });
  BOOST_TEST(usableBetween == std::vector<std::size_t>({1, 1, 1}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aServerThatDrainsByItsOwnEntryIsNotBroughtBackByTheConfiguration) {
  store::Object draining = objectOf("a", "other");
  draining.spec.as_object()["state"] = "draining";
  list({draining});
  configure({"app"});
  configure({"app", "other"});
  BOOST_TEST(usable("other") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::testing
