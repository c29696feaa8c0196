#include "bundle/review.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>

#include "bundle/difference.h"
#include "routing/policy.h"

namespace calicodrift::bundle {
namespace {

std::string readExample(const std::string& name) {
  std::ifstream file(std::string(CALICODRIFT_EXAMPLES) + "/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

BOOST_AUTO_TEST_CASE(theExampleBundlesHaveNothingToComplainOf) {
  for (const std::string name : {"tatra-bundle.json", "trinacria-bundle.json"}) {
    const BundleReading reading = readBundle(readExample(name));
    BOOST_TEST(reading.problems.empty(), name);
    BOOST_TEST(reviewBundle(reading.bundle, routing::policyNames()).empty(), name);
    BOOST_TEST(reading.bundle.tenants.size() == 8U);
  }
}

BOOST_AUTO_TEST_CASE(everyProblemIsNamedByItsPath) {
  const BundleReading reading =
      readBundle(R"({"version":0,"tenants":[{"id":"a","wieght":2},{"id":"a"}],)"
                 R"("policies":[{"arms":[{"policy":"RoundRobin","share":99}]}]})");
  const std::vector<std::string> expected{
      "$.version must be a whole number from 1 to 9223372036854775807",
      "$.tenants[0].wieght is unknown; remove it or correct its name",
      "$.policies[0].arms must have shares that add up to 100", "$.tenants names 'a' twice"};
  BOOST_TEST(reading.problems == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aReviewFindsWhatANodeWouldTake) {
  const std::string hash(64, 'a');
  const BundleReading reading = readBundle(
      R"({"version":1,"tenants":[{"id":"a","api_key_sha256":[")" + hash +
      R"("]},{"id":"b","api_key_sha256":[")" + hash +
      R"("]}],"services":[{"name":"x","path_prefix":"/x/"},{"name":"y","path_prefix":"/x/y/"}],)" +
      R"("policies":[{"tenant":"c","model":"m","arms":[{"policy":"RoundRobbin"}]},)" +
      R"({"arms":[{"policy":"RoundRobin"}]},{"tenant":"a","arms":[{"policy":"RoundRobin"}]}]})");
  BOOST_REQUIRE(reading.problems.empty());
  const std::string unknownPolicy =
      "$.policies[0].arms[0].policy names 'RoundRobbin', which is no policy; the policies are "
      "RoundRobin, LeastOutstanding";
  const std::string neverReached =
      "$.policies[2] is never reached, as $.policies[1] matches the same requests before; remove "
      "it or put it first";
  const std::string hiddenService =
      "$.services[1].path_prefix is never reached, as $.services[0] takes its paths; put the "
      "longer prefix first";
  const std::vector<std::string> expected{
      unknownPolicy,
      "$.policies[0].tenant names 'c', which is not among $.tenants",
      "$.policies[0].model names 'm', which is not among $.models",
      neverReached,
      "$.tenants[1].api_key_sha256 holds a key of 'a' too; give each tenant its own keys",
      hiddenService};
  const std::vector<std::string> found =
      reviewBundle(reading.bundle, {"RoundRobin", "LeastOutstanding"});
  BOOST_TEST(found == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(differencesAreNamedByTheEntriesIds) {
  const auto found = findDifferences(
      R"({"version":1,"tenants":[{"id":"a","weight":1},{"id":"b"}],"services":[]})",
      R"({"version":2,"tenants":[{"id":"c"},{"weight":4,"id":"a"}],"services":[]})");
  std::vector<std::string> lines;
  for (const Difference& difference : found.value()) {
    lines.push_back(difference.path + " " + difference.before + " > " + difference.after);
  }
  const std::vector<std::string> expected{"$.tenants[a].weight 1 > 4",
                                          R"($.tenants[b] {"id":"b"} > )",
                                          R"($.tenants[c]  > {"id":"c"})", "$.version 1 > 2"};
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

}  // namespace
}  // namespace calicodrift::bundle
