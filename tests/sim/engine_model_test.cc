#include "sim/engine_model.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::sim {
namespace {

EngineModelSettings smallSettings() {
  EngineModelSettings settings;
  settings.blockTokens = 4;
  settings.cacheBlocks = 2;
  settings.maxBatch = 1;
  return settings;
}

EngineRequest requestWith(std::uint64_t id, std::vector<BlockHash> blocks) {
  EngineRequest request;
  request.id = id;
  request.blocks = std::move(blocks);
  request.promptTokens = request.blocks.size() * 4;
  request.outputTokens = 2;
  return request;
}

std::vector<TokenEvent> runToEnd(EngineModel& model) {
  std::vector<TokenEvent> tokens;
  while (!model.idle()) {
    model.planStep();
    for (const TokenEvent& token : model.finishStep()) {
      tokens.push_back(token);
    }
  }
  return tokens;
}

BOOST_AUTO_TEST_CASE(tokensComeInOrderAndTheSecondRequestHitsTheCache) {
  EngineModel model(smallSettings());
  model.submit(requestWith(1, {BlockHash(10), BlockHash(11)}));
  model.submit(requestWith(2, {BlockHash(10), BlockHash(11)}));
  const std::vector<TokenEvent> tokens = runToEnd(model);
  BOOST_REQUIRE_EQUAL(tokens.size(), 4U);
  BOOST_TEST(tokens[0].cachedTokens == 0U);
  BOOST_TEST(tokens[1].last);
  BOOST_TEST(tokens[2].cachedTokens == 8U);
}

BOOST_AUTO_TEST_CASE(evictionIsLeastRecentlyUsedAndShowsInTheEvents) {
  EngineModel model(smallSettings());
  for (std::uint64_t block : {1U, 2U, 3U}) {
    model.submit(requestWith(block, {BlockHash(block)}));
  }
  runToEnd(model);
  BOOST_TEST(!model.holds(BlockHash(1)));
  BOOST_TEST(model.holds(BlockHash(3)));
  const std::vector<CacheEvent> events = model.takeCacheEvents();
  BOOST_REQUIRE_EQUAL(events.size(), 4U);
  BOOST_TEST(!events[2].stored);
  BOOST_TEST(events[3].sequence == 4U);
}

BOOST_AUTO_TEST_CASE(highPriorityGoesFirstAndResumeStartsAtTheNextToken) {
  EngineModel model(smallSettings());
  EngineRequest low = requestWith(1, {BlockHash(1)});
  low.priority = Priority::kLow;
  EngineRequest high = requestWith(2, {BlockHash(2)});
  high.priority = Priority::kHigh;
  high.resumeFrom = 1;
  model.submit(low);
  model.submit(high);
  const std::vector<TokenEvent> tokens = runToEnd(model);
  BOOST_REQUIRE_EQUAL(tokens.size(), 3U);
  BOOST_TEST(tokens[0].id == 2U);
  BOOST_TEST(tokens[0].index == 1U);
}

}  // namespace
}  // namespace calicodrift::sim
