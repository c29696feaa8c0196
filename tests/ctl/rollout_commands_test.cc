#include "ctl/rollout_commands.h"

#include <boost/test/unit_test.hpp>
#include <iterator>
#include <sstream>

namespace calicodrift::ctl {
namespace {

const std::string kPage =
    R"(# HELP calicodrift_service_rollout_info How a service's roll-out stands here
# TYPE calicodrift_service_rollout_info gauge
calicodrift_service_rollout_info{service="quotes",stable="1",candidate="2",phase="baking",use="canary",target="2",state="running",verdict="undecided"} 1
calicodrift_service_rollout_info{service="tags",stable="7",candidate="",phase="steady",use="nothing",target="7",state="completed",verdict=""} 1
calicodrift_service_rollout_reached{service="quotes"} 1200
calicodrift_service_rollout_exposed{service="quotes"} 60
calicodrift_service_rollout_age_seconds{service="quotes"} 1.5
calicodrift_servers 14
)";

std::vector<std::string> wordsOfLine(const std::string& text, std::size_t line) {
  std::istringstream lines(text);
  std::string found;
  for (std::size_t at = 0; at <= line; ++at) {
    std::getline(lines, found);
  }
  std::istringstream words(found);
  return {std::istream_iterator<std::string>(words), {}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rollout_commands)

BOOST_AUTO_TEST_CASE(theTableHasALineForEachService) {
  const std::string table = rolloutTable(kPage);
  const std::vector<std::string> quotes{"quotes", "2",         "running", "baking", "1",  "2",
                                        "canary", "undecided", "60",      "1200",   "1.5"};
  const std::vector<std::string> tags{"tags",    "7", "completed", "steady", "7", "-",
                                      "nothing", "-", "-",         "-",      "-"};
  BOOST_TEST(wordsOfLine(table, 1) == quotes, boost::test_tools::per_element());
  BOOST_TEST(wordsOfLine(table, 2) == tags, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aPageWithoutRolloutsSaysSo) {
  BOOST_TEST(rolloutTable("calicodrift_servers 14\n") == "no roll-out\n");
  BOOST_TEST(rolloutTable("") == "no roll-out\n");
}

BOOST_AUTO_TEST_CASE(escapedLabelsAreReadBack) {
  const auto samples = samplesOf("m{a=\"x\\\"y\\\\z\\n\",b=\"}\"} 2\n", "m");
  BOOST_REQUIRE(samples.size() == 1U);
  BOOST_TEST(samples[0].labels.at("a") == "x\"y\\z\n");
  BOOST_TEST(samples[0].labels.at("b") == "}");
  BOOST_TEST(samples[0].value == "2");
}

BOOST_AUTO_TEST_CASE(linesThatAreCutAreLeftOut) {
  for (const std::string_view line : {"m{", "m{a", "m{a=", "m{a=\"b", "m{a=\"b\"", "m{a=\"b\"}"}) {
    BOOST_TEST(samplesOf(line, "m").empty(), line);
  }
}

BOOST_AUTO_TEST_CASE(aMetricWhoseNameGoesOnIsAnother) {
  BOOST_TEST(samplesOf("m_total{a=\"b\"} 1\n", "m").empty());
}

BOOST_AUTO_TEST_CASE(theStatusNeedsANodeThatAnswers) {
  BOOST_TEST((rolloutStatus(CtlSettings{}).error().kind == ErrorKind::kSettingsInvalid));
  CtlSettings settings;
  settings.routers = {{"127.0.0.1", 1}};
  BOOST_TEST((rolloutStatus(settings).error().kind == ErrorKind::kConnectFailed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::ctl
