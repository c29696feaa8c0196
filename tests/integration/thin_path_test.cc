#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "openai/completion.h"
#include "sim/answer_text.h"
#include "support/fleet.h"

namespace calicodrift::testing {
namespace {

struct ThinPath {
  ThinPath() {
    fleet.submitBundle(Fleet::bundleText(1));
    engine = fleet.startEngine("e1");
    router = fleet.startRouter("r1");
    BOOST_REQUIRE(waitUntilServing(router->endpoint("router")));
  }
  Result<http::Response> ask(const std::string& body) const {
    return exchange(router->endpoint("router"), authorized("POST", "/v1/completions", body));
  }

  Fleet fleet;
  std::unique_ptr<Process> engine;
  std::unique_ptr<Process> router;
};

BOOST_FIXTURE_TEST_CASE(answersAreWholeAndTheSecondOneHitsTheCache, ThinPath) {
  const std::string prompt(640, 'p');
  for (int round = 0; round < 2; ++round) {
    const auto response = ask(completionBody(prompt, 8, false));
    BOOST_REQUIRE(response.has_value());
    BOOST_REQUIRE_EQUAL(response.value().status, 200U);
    const auto content = openai::parseCompletionBody(response.value().body);
    BOOST_REQUIRE(content.has_value());
    BOOST_TEST(content.value().text == sim::answerText(prompt, 0, 8));
    BOOST_TEST(content.value().usage.cachedTokens == (round == 0 ? 0U : 160U));
    BOOST_TEST(response.value().headers.get(http::kRunHeader) == "yes");
  }
}

BOOST_FIXTURE_TEST_CASE(badInputGetsItsErrorKindAndTheNextRequestWorks, ThinPath) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {"{", "malformed_request"},
      {R"({"model":"m"})", "malformed_request"},
      {R"({"model":"m","prompt":7})", "malformed_request"},
      {R"({"model":"m","prompt":"x","max_tokens":-1})", "malformed_request"},
      {R"({"model":"other","prompt":"x"})", "unknown_model"},
  };
  for (const auto& [body, kind] : cases) {
    const auto response = ask(body);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().headers.get(http::kErrorKindHeader) == kind);
    BOOST_TEST(response.value().headers.get(http::kRunHeader) == "no");
  }
  http::Request stranger = authorized("POST", "/v1/completions", "{}");
  stranger.headers.set("Authorization", "Bearer wrong");
  BOOST_TEST(exchange(router->endpoint("router"), stranger).value().status == 401U);
  const std::size_t kOversizeBytes = 9'000'000;
  http::Request large = authorized("POST", "/v1/completions", std::string(kOversizeBytes, ' '));
  const auto refused = exchange(router->endpoint("router"), large);
  BOOST_TEST((!refused || refused.value().status == 413U));
  BOOST_TEST(ask(completionBody("x", 1, false)).value().status == 200U);
}

}  // namespace
}  // namespace calicodrift::testing
