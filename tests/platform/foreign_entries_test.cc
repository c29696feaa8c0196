// Objects of the store that come from another writer: how each row of
// docs/design/foreign-entries.md is read, and what the store's client makes of bytes that are no
// JSON.
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>

#include "http/client.h"
#include "operator_schema.h"
#include "operator_store.h"
#include "run_to_end.h"
#include "store_stand_in.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace data = boost::unit_test::data;
using asio::awaitable;

json::object goodEntry() {
  return {{"service", "llm"},
          {"address", "10.0.0.1:8080"},
          {"zone", "z1"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"models", json::array{json::object{{"name", "m"}, {"version", 1}}}},
          {"call_seq", 0}};
}

store::Object objectOf(json::value spec, std::string name = "i-1") {
  store::Object object;
  object.name = std::move(name);
  object.revision = store::Revision(7);
  object.spec = std::move(spec);
  return object;
}

/// One row: a field that is replaced by another value, or left out where the value's text is empty.
struct Row {
  std::string field;
  std::string value;
  std::string reason;
};

std::ostream& operator<<(std::ostream& out, const Row& row) {
  return out << row.field << " = " << (row.value.empty() ? "(missing)" : row.value);
}

json::object with(json::object object, const Row& row) {
  if (row.value.empty()) {
    object.erase(row.field);
  } else {
    object[row.field] = json::parse(row.value);
  }
  return object;
}

const std::string kMissing = "field_missing";
const std::string kType = "field_type";
const std::string kRange = "field_range";
const std::string kUnknown = "unknown_value";

const std::vector<Row> kServerRows{
    {"service", "", kMissing},
    {"service", "7", kType},
    {"service", "null", kMissing},
    {"service", R"("")", kRange},
    {"address", "", kMissing},
    {"address", "8080", kType},
    {"address", R"("10.0.0.1")", kRange},
    {"address", R"("somewhere:80")", kRange},
    {"address", R"("10.0.0.1:0")", kRange},
    {"address", R"("10.0.0.1:99999")", kRange},
    {"zone", "", kMissing},
    {"zone", "[]", kType},
    {"zone", R"("")", kRange},
    {"version", "", kMissing},
    {"version", "1", kType},
    {"slots", "", kMissing},
    {"slots", R"("8")", kType},
    {"slots", "0", kRange},
    {"slots", "-1", kRange},
    {"slots", "1.5", kRange},
    {"slots", "1e30", kRange},
    {"slots", "18446744073709551615", kRange},
    {"state", "", kMissing},
    {"state", "true", kType},
    {"state", R"("asleep")", kUnknown},
    {"state", R"("")", kUnknown},
    {"cold_remaining_ms", "", kMissing},
    {"cold_remaining_ms", R"("0")", kType},
    {"cold_remaining_ms", "-1", kRange},
    {"cold_remaining_ms", "1e30", kRange},
    {"call_seq", "", kMissing},
    {"call_seq", R"("4")", kType},
    {"call_seq", "-4", kRange},
    {"models", R"("m")", kType},
    {"models", "{}", kType},
    {"models", "[7]", kType},
    {"models", R"([{"version":1}])", kMissing},
    {"models", R"([{"name":7,"version":1}])", kType},
    {"models", R"([{"name":"","version":1}])", kRange},
    {"models", R"([{"name":"m"}])", kMissing},
    {"models", R"([{"name":"m","version":"1"}])", kType},
    {"models", R"([{"name":"m","version":0}])", kRange},
    {"models", R"([{"name":"m","version":-1}])", kRange},
    {"models", R"([{"name":"m","version":1.5}])", kRange},
    {"models", R"([{"name":"m","version":1e300}])", kRange},
    {"models", R"([{"name":"m","version":1},{"name":"m"}])", kMissing},
};

const std::vector<Row> kWeightsRows{
    {"model", "", kMissing},   {"model", "7", kType},        {"model", R"("other")", kUnknown},
    {"version", "", kMissing}, {"version", R"("2")", kType}, {"version", "0", kRange},
    {"version", "-2", kRange}, {"version", "2.5", kRange},   {"version", "1e300", kRange},
};

const std::vector<std::string> kNoObjects{"null", "[]", R"("text")", "7", "true"};

/// Fields of a configuration that are replaced, by their place.
struct ConfigurationRow {
  std::string place;
  std::string value;
};

std::ostream& operator<<(std::ostream& out, const ConfigurationRow& row) {
  return out << row.place << " = " << row.value;
}

const std::vector<ConfigurationRow> kConfigurationRows{
    {"/version", R"("3")"},
    {"/version", "-3"},
    {"/version", "3.5"},
    {"/version", "1e300"},
    {"/routes", "{}"},
    {"/routes/0", "7"},
    {"/routes/0/name", "7"},
    {"/routes/0/kind", "7"},
    {"/routes/0/weighted_services", "[]"},
    {"/routes/0/weighted_services", "7"},
    {"/routes/0/weighted_services", R"([{"service":"llm","weight":-1}])"},
    {"/routes/0/weighted_services", R"([{"weight":1}])"},
    {"/routes/0/timeout_ms", R"("10")"},
    {"/routes/0/timeout_ms", "-1"},
    {"/routes/0/timeout_ms", "1e300"},
    {"/routes/0/priority", "-1"},
    {"/routes/0/max_attempts", "-1"},
    {"/routes/0/public", "1"},
    {"/routes/0/service", "7"},
    {"/services/0", "[]"},
    {"/services/0/name", "null"},
    {"/services/0/max_connections", "-1"},
    {"/services/1/kv_store_address", R"("nowhere")"},
    {"/services/0/engine", "[]"},
    {"/services/0/engine/models", "{}"},
    {"/services/0/engine/models/0", "7"},
    {"/services/0/engine/slots", R"("8")"},
    {"/tenants/0", "7"},
    {"/tenants/0/name", "7"},
    {"/tenants/0/api_keys", R"("k1")"},
    {"/tenants/0/api_keys/0", "7"},
    {"/tenants/0/isolated", R"("no")"},
    {"/tenants/0/rate_per_s", R"("5")"},
    {"/tenants/0/priority", "-1"},
    {"/limits", "[]"},
    {"/limits/max_body_bytes", "-1"},
    {"/limits/idle_timeout_ms", R"("9")"},
};

json::object goodConfiguration() {
  const json::object route{{"name", "r"},       {"host", "h"},        {"path_prefix", "/r/"},
                           {"kind", "safe"},    {"timeout_ms", 5000}, {"priority", 0},
                           {"service", "llm"},  {"max_attempts", 2},  {"public", false},
                           {"gap_aim_ms", 300}, {"resumable", false}};
  const json::object engine{{"slots", 8}, {"models", json::array{json::object{{"name", "m"}}}}};
  const json::object service{
      {"name", "llm"}, {"health_path", "/health"}, {"max_connections", 100}, {"engine", engine}};
  const json::object keep{{"name", "keep"}, {"kv_store_address", "10.0.0.9:80"}, {"zone", "z1"}};
  const json::object tenant{
      {"name", "t1"}, {"api_keys", json::array{"k1"}}, {"isolated", false}, {"rate_per_s", 5}};
  return {{"version", 3},
          {"routes", json::array{route}},
          {"services", json::array{service, keep}},
          {"tenants", json::array{tenant}},
          {"limits", json::object{{"max_body_bytes", 1000}, {"idle_timeout_ms", 5000}}}};
}

/// Puts a value at the end of a path of fields and indices, of which all but the last exist.
void replaceAt(json::value& document, const std::string& place, json::value replacement) {
  const std::size_t slash = place.rfind('/');
  json::value& holder = slash == 0 ? document : document.at_pointer(place.substr(0, slash));
  const std::string last = place.substr(slash + 1);
  if (json::array* list = holder.if_array()) {
    list->at(std::stoul(last)) = std::move(replacement);
  } else {
    holder.as_object()[last] = std::move(replacement);
  }
}

Result<routes::RouteTableContent> readConfiguration(const json::value& spec) {
  return platform::OperatorSchema().readConfiguration(objectOf(spec, "main"));
}

/// The store's client before its stand-in, which holds two good servers and "bad" between them.
struct ClientFixture {
  ClientFixture()
      : stored(context), client(context.get_executor()), port(client, stored.endpoint()) {
    stored.put(kKind, "a", goodEntry());
    stored.put(kKind, "bad", goodEntry());
    stored.put(kKind, "c", goodEntry());
  }

  void run(const std::function<awaitable<void>()>& body) { runToEnd(context, body); }
  static std::vector<std::string> namesOf(const std::vector<store::Object>& objects) {
    std::vector<std::string> names;
    names.reserve(objects.size());
    for (const store::Object& object : objects) {
      names.push_back(object.name);
    }
    return names;
  }
  /// The others are as they were, and "bad" says no more than that it can't be read.
  void checkListing(const Result<store::Listing>& listing) const {
    BOOST_REQUIRE(listing.has_value());
    BOOST_TEST(namesOf(listing.value().objects) == (std::vector<std::string>{"a", "bad", "c"}),
               boost::test_tools::per_element());
    const platform::OperatorSchema schema;
    BOOST_TEST(schema.readServer(listing.value().objects[0]).has_value());
    BOOST_TEST(!schema.readServer(listing.value().objects[1]).has_value());
    BOOST_TEST(schema.readServer(listing.value().objects[2]).has_value());
    BOOST_TEST(listing.value().objects[1].revision.value() > 0U);
  }

  static constexpr Milliseconds kWait{1000};
  const std::string kKind = "servers";
  asio::io_context context;
  StoreStandIn stored;
  http::Client client;
  platform::OperatorStore port;
};

const std::vector<std::string> kBadBytes{
    "garbage",
    "{not json}",
    "[1,2,,]",
    "NaN",
    "{\"service\":\"\xff\xfe\"}",
    "{\"service\":\"\\ud800\"}",
    std::string("\x01\x02", 2),
    R"({"text":"}],\"]}",,})",
    // Brackets and quotes that don't close, or close too much.
    R"({"service":"llm","addr)",
    R"({"service":"llm")",
    R"("text)",
    "[[[{",
    "}}}]]]",
    R"(}],"at":3)",
    "",
    std::string(64, '[') + std::string(64, ']'),
};

/// Objects whose metadata don't say which one they are.
const std::vector<std::string> kNameless{
    "null",
    "7",
    R"("text")",
    "{}",
    R"({"spec":{}})",
    R"({"metadata":null,"spec":{}})",
    R"({"metadata":{"revision":4},"spec":{}})",
    R"({"metadata":{"name":7,"revision":4},"spec":{}})",
    R"({"metadata":{"name":"bad","revi)",
    R"("text)",
    "}]",
    "garbage",
};

}  // namespace

BOOST_AUTO_TEST_SUITE(foreign_entries)

BOOST_AUTO_TEST_CASE(aGoodEntryIsRead) {
  const Result<fleet::Server> server = platform::OperatorSchema().readServer(objectOf(goodEntry()));
  BOOST_REQUIRE(server.has_value());
  BOOST_TEST(server.value().slots == 8U);
  BOOST_TEST(!server.value().draining);
  BOOST_TEST((server.value().models ==
              std::vector<fleet::LoadedModel>{{ModelId("m"), WeightsVersion(1)}}));
}

BOOST_AUTO_TEST_CASE(fieldsBesideThoseOfThePageChangeNothing) {
  json::object entry = goodEntry();
  entry["other"] = json::array{1, "two"};
  entry.erase("models");
  BOOST_TEST(platform::OperatorSchema().readServer(objectOf(entry)).has_value());
}

BOOST_DATA_TEST_CASE(aServerEntryOfAnotherWriterNamesNoServer, data::make(kServerRows), row) {
  const auto server = platform::OperatorSchema().readServer(objectOf(with(goodEntry(), row)));
  BOOST_REQUIRE(!server.has_value());
  BOOST_TEST((server.error().kind == ErrorKind::kProtocolViolation));
  BOOST_TEST(server.error().reason == row.reason);
}

BOOST_DATA_TEST_CASE(aSpecThatIsNoObjectNamesNoServer, data::make(kNoObjects), spec) {
  const auto server = platform::OperatorSchema().readServer(objectOf(json::parse(spec)));
  BOOST_REQUIRE(!server.has_value());
  BOOST_TEST(server.error().reason == "no_object");
}

BOOST_AUTO_TEST_CASE(anEntryWithoutAnIdNamesNoServer) {
  BOOST_TEST(!platform::OperatorSchema().readServer(objectOf(goodEntry(), "")).has_value());
}

BOOST_DATA_TEST_CASE(weightsOfAnotherWriterAreNotNamed, data::make(kWeightsRows), row) {
  const json::object good{{"model", "m"}, {"version", 2}};
  const platform::OperatorSchema schema;
  BOOST_TEST(schema.readWeights(objectOf(good, "m")).has_value());
  const auto named = schema.readWeights(objectOf(with(good, row), "m"));
  BOOST_REQUIRE(!named.has_value());
  BOOST_TEST(named.error().reason == row.reason);
}

BOOST_AUTO_TEST_CASE(aGoodConfigurationIsRead) {
  BOOST_TEST(readConfiguration(goodConfiguration()).has_value());
}

BOOST_DATA_TEST_CASE(aConfigurationWithOneMalformedPartIsRefusedWhole,
                     data::make(kConfigurationRows), row) {
  json::value spec = goodConfiguration();
  replaceAt(spec, row.place, json::parse(row.value));
  const Result<routes::RouteTableContent> content = readConfiguration(spec);
  BOOST_REQUIRE(!content.has_value());
  BOOST_TEST((content.error().kind == ErrorKind::kProtocolViolation));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(foreign_bytes, ClientFixture)

BOOST_DATA_TEST_CASE_F(ClientFixture, aSpecOfOtherBytesLeavesTheOthersOfAListing,
                       data::make(kBadBytes), bytes) {
  stored.putRawSpec(kKind, "bad", bytes);
  run([this]() -> awaitable<void> { checkListing(co_await port.list(kKind)); });
}

BOOST_DATA_TEST_CASE_F(ClientFixture, aSpecOfOtherBytesLeavesTheOthersOfAChange,
                       data::make(kBadBytes), bytes) {
  run([this, &bytes]() -> awaitable<void> {
    const Result<store::Listing> listing = co_await port.list(kKind);
    stored.put(kKind, "a", goodEntry());
    stored.putRawSpec(kKind, "bad", bytes);
    stored.put(kKind, "c", goodEntry());
    const auto batch = co_await port.watch(kKind, listing.value().revision, kWait);
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch.value().revision.value() == listing.value().revision.value() + 3);
    BOOST_REQUIRE(batch.value().changes.size() == 3U);
    const platform::OperatorSchema schema;
    BOOST_TEST(schema.readServer(batch.value().changes[0].object).has_value());
    BOOST_TEST(batch.value().changes[1].object.name == "bad");
    BOOST_TEST(!schema.readServer(batch.value().changes[1].object).has_value());
    BOOST_TEST(schema.readServer(batch.value().changes[2].object).has_value());
  });
}

BOOST_DATA_TEST_CASE_F(ClientFixture, anObjectOfOtherBytesIsReadWithItsRevision,
                       data::make(kBadBytes), bytes) {
  stored.putRawSpec(kKind, "bad", bytes);
  run([this]() -> awaitable<void> {
    const Result<store::Object> object = co_await port.get(kKind, "bad");
    BOOST_REQUIRE(object.has_value());
    BOOST_TEST((object.value().revision == store::makeRevision(store::Era(stored.era()), 5)));
    BOOST_TEST(!object.value().spec.is_object());
  });
}

BOOST_DATA_TEST_CASE_F(ClientFixture, anObjectThatSaysNotWhichItIsLeavesTheOthers,
                       data::make(kNameless), bytes) {
  run([this, &bytes]() -> awaitable<void> {
    const Result<store::Listing> before = co_await port.list(kKind);
    stored.putRawObject(kKind, "bad", bytes);
    stored.put(kKind, "c", goodEntry());
    const Result<store::Listing> listing = co_await port.list(kKind);
    BOOST_REQUIRE(listing.has_value());
    BOOST_TEST(namesOf(listing.value().objects) == (std::vector<std::string>{"a", "c"}),
               boost::test_tools::per_element());
    const auto batch = co_await port.watch(kKind, before.value().revision, kWait);
    BOOST_REQUIRE(batch.has_value());
    BOOST_REQUIRE(batch.value().changes.size() == 1U);
    BOOST_TEST(batch.value().changes[0].object.name == "c");
    BOOST_TEST(batch.value().revision.value() == listing.value().revision.value());
  });
}

BOOST_AUTO_TEST_CASE(deletingThatIsNoFlagMakesAnObjectUnreadable) {
  stored.putRawObject(kKind, "bad",
                      R"({"metadata":{"name":"bad","revision":5,"deleting":"no"},"spec":)" +
                          json::serialize(goodEntry()) + "}");
  run([this]() -> awaitable<void> { checkListing(co_await port.list(kKind)); });
}

BOOST_AUTO_TEST_CASE(aRevisionThatIsNoNumberMakesAnObjectUnreadable) {
  for (const std::string revision : {R"("5")", "-5", "5.5", "1e300"}) {
    stored.putRawObject(kKind, "bad",
                        R"({"metadata":{"name":"bad","deleting":false,"revision":)" + revision +
                            R"(},"spec":)" + json::serialize(goodEntry()) + "}");
    run([this]() -> awaitable<void> {
      const Result<store::Listing> listing = co_await port.list(kKind);
      BOOST_REQUIRE(listing.has_value());
      BOOST_REQUIRE(listing.value().objects.size() == 3U);
      BOOST_TEST(!platform::OperatorSchema().readServer(listing.value().objects[1]).has_value());
    });
    context.restart();
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::testing
