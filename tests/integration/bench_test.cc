#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "support/fleet.h"

namespace calicodrift::testing {
namespace {

struct BenchFleet {
  BenchFleet() {
    fleet.submitBundle(Fleet::bundleText(1));
    engine = fleet.startEngine("e1");
    router = fleet.startRouter("r1");
    BOOST_REQUIRE(waitUntilServing(router->endpoint("router")));
  }
  /// Runs a role of calicodrift-bench to its end and gives its JSON line.
  boost::json::object run(std::vector<std::string> arguments) const {
    arguments.insert(arguments.end(),
                     {"--router", router->endpoint("router").toString(), "--api-key", kTestApiKey});
    Process bench("calicodrift-bench", arguments);
    const std::string output = bench.remainingOutput();
    BOOST_TEST(bench.wait() == 0);
    return boost::json::parse(output).as_object();
  }

  Fleet fleet;
  std::unique_ptr<Process> engine;
  std::unique_ptr<Process> router;
};

BOOST_FIXTURE_TEST_CASE(overheadMeasuresBothWaysInOneRun, BenchFleet) {
  const auto result = run({"overhead", "--engine", engine->endpoint("engine").toString(),
                           "--requests", "20", "--warm-up", "2", "--prompt-bytes", "64"});
  for (const char* key : {"direct_p50_ms", "router_p50_ms", "direct_p99_ms", "router_p99_ms",
                          "requests_per_second"}) {
    BOOST_TEST(result.at(key).to_number<double>() > 0);
  }
  BOOST_TEST(result.at("failures").to_number<int>() == 0);
  BOOST_TEST(result.at("requests").to_number<int>() == 20);
}

BOOST_FIXTURE_TEST_CASE(streamsAreAllCheckedAndTheMemoryIsRead, BenchFleet) {
  const auto result = run({"streams", "--count", "64", "--max-tokens", "10"});
  BOOST_TEST(result.at("complete").to_number<int>() == 64);
  BOOST_TEST(result.at("failed").to_number<int>() == 0);
  BOOST_TEST(result.at("router_memory_most_mib").to_number<double>() > 1);
}

}  // namespace
}  // namespace calicodrift::testing
