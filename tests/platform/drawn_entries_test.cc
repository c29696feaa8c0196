#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

#include "gateway_fleet.h"
#include "lease/lease_record.h"
#include "relay/messages.h"
#include "stored_objects.h"

namespace calicodrift::testing {
namespace {

namespace json = boost::json;
namespace data = boost::unit_test::data;
using boost::asio::awaitable;

/// Values that a careless or foreign writer may leave in a field.
std::string drawnValue(std::mt19937_64& random) {
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  const std::vector<std::string> odd = {"1e400",
                                        "-1e400",
                                        "1e-400",
                                        "9223372036854775808",
                                        "18446744073709551616",
                                        "-9223372036854775809",
                                        "1" + std::string(400, '0'),
                                        "0." + std::string(400, '0') + "1",
                                        "-0",
                                        "-1",
                                        "NaN",
                                        "Infinity",
                                        "\"\\ud800\"",
                                        "\"\\udc00\\ud800\"",
                                        "\"\xff\xfe\"",
                                        "\"\\u0000\"",
                                        "\"10.0.0.1:0\"",
                                        "\"10.0.0.1:65536\"",
                                        "\"10.0.0.1:-1\"",
                                        "\"10.0.0.1:1e400\"",
                                        "\"10.0.0.1:99999999999999999999\"",
                                        "\"[::1]:80\"",
                                        "\"" + std::string(1'000'000, 'x') + "\"",
                                        "null",
                                        "true",
                                        "{}",
                                        "[]",
                                        "\"",
                                        "}",
                                        "]",
                                        ",",
                                        "\\",
                                        ""};
  const std::size_t kind = pick(10);
  if (kind == 0) {
    const std::size_t depth = 1 + pick(pick(2) == 0 ? 40 : 100'000);
    const bool closes = pick(3) > 0;
    return std::string(depth, '[') + (closes ? std::string(depth, ']') : "");
  }
  if (kind == 1) {
    const std::size_t depth = 1 + pick(5000);
    std::string nested;
    for (std::size_t level = 0; level < depth; ++level) {
      nested += "{\"a\":";
    }
    return nested + "1" + std::string(depth, '}');
  }
  return odd[pick(odd.size())];
}

std::string drawnSpec(const json::object& good, std::mt19937_64& random) {
  std::string text = "{";
  for (const auto& field : good) {
    const std::string name = json::serialize(json::string(field.key()));
    const std::size_t fate = std::uniform_int_distribution<std::size_t>(0, 9)(random);
    if (fate == 0) {
      text += name + ":" + drawnValue(random) + ",";
    }
    if (fate != 1) {
      text += name + ":" + json::serialize(field.value()) + ",";
    }
  }
  text += "\"more\":" + drawnValue(random) + "}";
  if (std::uniform_int_distribution<int>(0, 9)(random) == 0) {
    text.resize(std::uniform_int_distribution<std::size_t>(0, text.size())(random));
  }
  return text;
}

std::string objectText(const std::string& name, const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":7,"made":1,"finalizers":[],)" +
         R"("deleting":false},"spec":)" + spec + R"(,"status":null})";
}

json::object goodServer() {
  return {{"service", "llm"},
          {"address", "10.0.0.1:8080"},
          {"zone", "z1"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"models", json::array{json::object{{"name", "m"}, {"version", 1}}}},
          {"call_seq", 0},
          {"born", 1'700'000'000'000}};
}

/// Reads the object as each of the kinds that nodes read.
void readAsEveryKind(const store::Object& object) {
  const platform::OperatorSchema schema;
  static_cast<void>(schema.readServer(object));
  static_cast<void>(schema.readConfiguration(object));
  static_cast<void>(schema.readWeights(object));
  static_cast<void>(schema.readRollout(object));
  const store::Object read = store::parsed(object);
  static_cast<void>(lease::leaseRecordFromJson(json::serialize(read.spec)));
}

BOOST_AUTO_TEST_SUITE(drawn_entries)

/// Guards against an entry of another writer that ends the process, or takes the others of its list
/// or of a relayed view with it.
BOOST_AUTO_TEST_CASE(oneOddEntryLeavesAllOthersOfItsList) {
  constexpr int kLists = 1500;
  std::mt19937_64 random{20261205};
  const platform::OperatorSchema schema;
  const std::string good = json::serialize(goodServer());
  const std::vector<json::object> specs = {
      goodServer(), GatewayFixture::configuration(1).as_object(), {{"model", "m"}, {"version", 2}}};
  for (int number = 0; number < kLists; ++number) {
    const std::string odd = drawnSpec(specs[random() % specs.size()], random);
    const std::string items =
        objectText("i-1", good) + "," + objectText("odd", odd) + "," + objectText("i-2", good);
    const Result<platform::ListPage> page =
        platform::readListPage(R"({"items":[)" + items + R"(],"more":false,"at":9})");
    BOOST_REQUIRE(page.has_value());
    std::size_t readable = 0;
    for (const store::Object& object : page.value().objects) {
      readAsEveryKind(object);
      const store::Object relayed = relay::toObjectOrUnreadable(relay::toMessage(object, false));
      readAsEveryKind(relayed);
      const bool isGood = object.name == "i-1" || object.name == "i-2";
      readable += isGood && schema.readServer(object) && schema.readServer(relayed) ? 1 : 0;
    }
    BOOST_TEST(readable == 2U, "lost beside: " << odd.substr(0, 200));
    std::string events = R"({"events":[{"gone":false,"object":)" + objectText("odd", odd);
    events += R"(},{"gone":false,"object":)" + objectText("i-2", good) + R"(}],"at":9})";
    const Result<platform::ChangesRead> changes = platform::readChanges(events);
    BOOST_REQUIRE(changes.has_value());
    const auto& read = changes.value().batch.changes;
    BOOST_TEST((!read.empty() && read.back().object.name == "i-2" &&
                schema.readServer(read.back().object)));
  }
}

const std::vector<std::string> kReportedEntries{"nested", "number", "port"};

std::string reportedEntry(const std::string& how, json::object entry) {
  if (how == "nested") {
    const std::string levels(200'000, '[');
    return R"({"service":"app","slots":)" + levels + std::string(levels.size(), ']') + "}";
  }
  std::string text = json::serialize(entry);
  if (how == "number") {
    const std::string field = R"("slots":8)";
    return text.replace(text.find(field), field.size(), R"("slots":1e400)");
  }
  entry["address"] = "127.0.0.1:65536";
  return json::serialize(entry);
}

/// Guards against nodes that end, or no longer follow the list, because of one odd entry in it.
BOOST_DATA_TEST_CASE(nodesFollowAListWithAnOddEntry, data::make(kReportedEntries), how) {
  GatewayFleet fleet(3, 1);
  const json::object entry = fleet.servers.back()->entry().as_object();
  fleet.store.putRawSpec("servers", "odd-before", reportedEntry(how, entry));
  fleet.run([&]() -> awaitable<void> {
    fleet.store.putRawSpec("servers", "odd", reportedEntry(how, entry));
    co_await fleet.pause(Milliseconds(300));
    // A listing, too: a node that has lost the history reads one.
    fleet.store.compact();
    ServerStandIn& added = fleet.addServer("app-2", "app", "");
    for (std::size_t node = 0; node < fleet.size(); ++node) {
      const std::size_t before = added.arrivals().size();
      co_await fleet.waitUntil([&] { return fleet.node(node).ready(); });
      for (int count = 0; count < 40 && added.arrivals().size() == before; ++count) {
        http::Request message = GatewayFixture::request("/safe/a");
        const unsigned status = co_await fleet.call(node, std::move(message));
        BOOST_TEST(status == 200U);
        co_await fleet.pause(Milliseconds(50));
      }
      BOOST_TEST(added.arrivals().size() > before, "the node does not follow the list");
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
