#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <thread>

#include "http/sse.h"
#include "openai/completion.h"
#include "sim/answer_text.h"
#include "support/rollout_fleet.h"

namespace calicodrift::testing {
namespace {

// Streams last longer than a load, so that they overlap the change of weights.
constexpr int kTokens = 100;

/// What the callers saw, over all conversations.
struct Tally {
  std::atomic<int> answers = 0;
  std::atomic<int> newVersion = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> mixed = 0;
  std::atomic<int> foreignCache = 0;
  std::atomic<int> wentBack = 0;
};

struct StreamedAnswer {
  std::string text;
  std::size_t cachedTokens = 0;
  bool done = false;
  bool errorEvent = false;
};

StreamedAnswer readStream(const std::string& body) {
  http::SseReader reader;
  reader.feed(body);
  StreamedAnswer answer;
  while (const auto event = reader.next()) {
    if (event->data == http::kSseDone) {
      answer.done = true;
      continue;
    }
    if (event->event == "error") {
      answer.errorEvent = true;
      continue;
    }
    const auto content = openai::parseChunk(event->data);
    if (content && content.value().hasUsage) {
      answer.cachedTokens = content.value().usage.cachedTokens;
    } else if (content) {
      answer.text += content.value().text;
    }
  }
  return answer;
}

/// One conversation that asks again and again until the roll-out is over.
void converse(int number, const Endpoint& router, const std::atomic<bool>& over, Tally& tally) {
  // Conversations differ from their first block on.
  const std::string prompt = std::to_string(number) + std::string(640, 'p');
  http::Request request =
      authorized("POST", "/v1/completions", completionBody(prompt, kTokens, true));
  request.headers.set("X-Conversation-Id", "conversation-" + std::to_string(number));
  std::set<std::pair<std::string, std::string>> metEngines;
  bool sawNew = false;
  while (!over) {
    const auto response = exchange(router, request);
    ++tally.answers;
    if (!response || response.value().status != 200) {
      ++tally.failed;
      continue;
    }
    const StreamedAnswer answer = readStream(response.value().body);
    const std::string version = response.value().headers.get(http::kWeightsHeader);
    const WeightsVersion weights(version == "2" ? 2 : 1);
    tally.failed += answer.done ? 0 : 1;
    tally.mixed += answer.text == sim::answerText(prompt, 0, kTokens, weights) ? 0 : 1;
    // This prompt is this thread's own: an engine that it meets at a version for the first time
    // can't hold its blocks, unless they are of other weights.
    const bool firstMeeting =
        metEngines.insert({response.value().headers.get(http::kBackendHeader), version}).second;
    tally.foreignCache += firstMeeting && answer.cachedTokens > 0 ? 1 : 0;
    tally.newVersion += version == "2" ? 1 : 0;
    tally.wentBack += sawNew && version != "2" ? 1 : 0;
    sawNew = sawNew || version == "2";
  }
}

BOOST_AUTO_TEST_CASE(trafficDuringARollOutFailsNothingAndMixesNothing) {
  const RolloutFleet rollout(6, 100);
  std::vector<std::unique_ptr<Process>> routers;
  for (int index = 0; index < 2; ++index) {
    routers.push_back(rollout.startRouter("r" + std::to_string(index)));
    BOOST_REQUIRE(waitUntilServing(routers.back()->endpoint("router")));
  }
  Tally tally;
  std::atomic<bool> over = false;
  std::vector<std::thread> conversations;
  constexpr int kConversations = 8;
  for (int number = 0; number < kConversations; ++number) {
    const Endpoint& router = routers[static_cast<std::size_t>(number) % 2]->endpoint("router");
    conversations.emplace_back([&, number, router] { converse(number, router, over, tally); });
  }
  const bool warm = eventually([&] { return tally.answers > 100; });
  rollout.rollOut(2, 2);
  const bool finished = eventually([&] { return rollout.allAt(2); });
  const int atEnd = tally.answers;
  const bool afterwards = eventually([&] { return tally.answers > atEnd + 50; });
  over = true;
  for (std::thread& conversation : conversations) {
    conversation.join();
  }
  BOOST_TEST((warm && finished && afterwards));
  BOOST_TEST_MESSAGE("answers " << tally.answers << ", by new weights " << tally.newVersion
                                << ", failed " << tally.failed << ", mixed " << tally.mixed
                                << ", foreign cache " << tally.foreignCache << ", went back "
                                << tally.wentBack);
  BOOST_TEST(tally.newVersion > 0);
  BOOST_TEST(tally.newVersion < tally.answers);
  BOOST_TEST(tally.failed == 0);
  BOOST_TEST(tally.mixed == 0);
  BOOST_TEST(tally.foreignCache == 0);
  BOOST_TEST(tally.wentBack == 0);
  BOOST_TEST(rollout.storeCount("peak") == 2U);
}

BOOST_AUTO_TEST_CASE(aBrokenStreamNeverContinuesOnOtherWeights) {
  RolloutFleet rollout(0, 50);
  const auto serving = rollout.startEngine("e1");
  const auto router = rollout.startRouter("r1");
  BOOST_REQUIRE(waitUntilServing(router->endpoint("router")));
  const std::string prompt(100, 's');
  constexpr int kLongAnswer = 5000;
  Result<http::Response> response = fail(ErrorKind::kInternal, "no answer yet");
  std::thread caller([&] {
    response =
        exchange(router->endpoint("router"),
                 authorized("POST", "/v1/completions", completionBody(prompt, kLongAnswer, true)));
  });
  const bool running = eventually([&] {
    return RolloutFleet::number(RolloutFleet::json(serving->endpoint("engine"), "/health"),
                                "running") > 0;
  });
  rollout.engines.push_back(rollout.startEngine("e0"));
  rollout.rollOut(2, 2);
  // The router knows of the reloaded engine once it serves from it.
  const bool reloaded = eventually([&] {
    const auto other =
        exchange(router->endpoint("router"),
                 authorized("POST", "/v1/completions", completionBody("x", 1, false)));
    return other && other.value().headers.get(http::kWeightsHeader) == "2";
  });
  serving->killAtOnce();
  caller.join();
  BOOST_REQUIRE((running && reloaded));
  BOOST_REQUIRE(response.has_value());
  const StreamedAnswer answer = readStream(response.value().body);
  BOOST_TEST(!answer.done);
  BOOST_TEST(answer.errorEvent);
  const std::string whole = sim::answerText(prompt, 0, kLongAnswer);
  BOOST_TEST(!answer.text.empty());
  BOOST_TEST_MESSAGE("kept " << answer.text.size() << " bytes of text");
  BOOST_TEST(whole.starts_with(answer.text));
  // Nor does the caller's own attempt to go on, once it names the weights that it has seen.
  http::Request rest =
      authorized("POST", "/v1/completions", completionBody(prompt, kLongAnswer, true));
  rest.headers.set(http::kRequestIdHeader, "broken-one");
  rest.headers.set(http::kLastEventIdHeader, "broken-one/7");
  rest.headers.set("X-Seen-Weights", "1");
  const auto refused = exchange(router->endpoint("router"), rest);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(refused.value().headers.get(http::kErrorKindHeader) == "no_backend");
  BOOST_TEST(refused.value().headers.get(http::kRunHeader) == "no");
}

}  // namespace
}  // namespace calicodrift::testing
