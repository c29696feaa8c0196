#include "ctl/policy_commands.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::ctl {
namespace {

BOOST_AUTO_TEST_CASE(reportsOfSeveralRoutersAreMerged) {
  // Hit ratios 0 and 1 on one router, 1 and 1 on the other.
  const std::string first =
      R"({"A":{"prompt_tokens":100,"cached_tokens":50,"hit_ratio":{"count":2,"mean":0.5,)"
      R"("squares":0.5},"first_token_ms":{"count":2,"mean":10.0,"squares":2.0}}})";
  const std::string second =
      R"({"A":{"prompt_tokens":300,"cached_tokens":300,"hit_ratio":{"count":2,"mean":1,)"
      R"("squares":0},"first_token_ms":{"count":0,"mean":0,"squares":0}}})";
  const Result<std::string> json = mergedReport({first, second}, true);
  BOOST_REQUIRE(json.has_value());
  BOOST_TEST(json.value().find(R"("requests":4)") != std::string::npos);
  BOOST_TEST(json.value().find(R"("hit_rate":8.75E-1)") != std::string::npos);
  BOOST_TEST(json.value().find(R"("hit_ratio_mean":7.5E-1)") != std::string::npos);
  // Sample variance 0.25 over 4 values.
  BOOST_TEST(json.value().find(R"("hit_ratio_confidence95":4.9E-1)") != std::string::npos);
  BOOST_TEST(mergedReport({first, second}, false).value().find("0.8750") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(answersOfAnotherFormAndMissingRoutersAreRefused) {
  for (const std::string& answer :
       {std::string("{"), std::string("[]"), std::string(R"({"A":1})")}) {
    const Result<std::string> report = mergedReport({answer}, false);
    BOOST_REQUIRE(!report.has_value());
    BOOST_TEST((report.error().kind == ErrorKind::kProtocolViolation));
  }
  BOOST_TEST((policyReport(CtlSettings{}).error().kind == ErrorKind::kSettingsInvalid));
  BOOST_TEST((explainRequest(CtlSettings{}, "x").error().kind == ErrorKind::kSettingsInvalid));
}

}  // namespace
}  // namespace calicodrift::ctl
