#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "soak/soak_fleet.h"

namespace calicodrift::testing {
namespace {

/// What a longer run sets otherwise (scripts/soak.sh); the defaults are the form for CI.
std::string parameter(const char* name, const std::string& absent) {
  const char* given = std::getenv(name);
  return given == nullptr ? absent : given;
}

/// Every kind of fault at least once, on a whole deployment, judged by the checker's counts.
BOOST_AUTO_TEST_CASE(noInvariantBreaksUnderSeededFaults) {
  const std::string report = parameter("SOAK_JSON", "soak-result.json");
  SoakFleet fleet(shapeNamed(parameter("SOAK_SHAPE", "trinacria")));
  Process bench(
      "calicodrift-bench",
      {"soak", "--fleet", fleet.controlEndpoint().toString(), "--seed", parameter("SOAK_SEED", "1"),
       "--seconds", parameter("SOAK_SECONDS", "16"), "--callers", parameter("SOAK_CALLERS", "24"),
       "--leave-limit-ms", parameter("SOAK_LEAVE_LIMIT_MS", "5000"), "--json", report});
  const int verdict = bench.wait();
  std::ifstream file(report);
  std::stringstream text;
  text << file.rdbuf();
  BOOST_TEST_MESSAGE(text.str());
  BOOST_TEST(verdict == 0, "the checker found violations: " << text.str());
  const boost::json::object result = boost::json::parse(text.str()).as_object();
  BOOST_TEST(result.at("requests").to_number<int>() > 0);
  for (const auto& fault : result.at("faults").as_object()) {
    BOOST_TEST(fault.value().to_number<int>() > 0, fault.key() << " was not injected");
  }
}

}  // namespace
}  // namespace calicodrift::testing
