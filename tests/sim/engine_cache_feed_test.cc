#include "sim/engine_cache_feed.h"

#include <boost/test/unit_test.hpp>

#include "sim/engine_cache_api.h"

namespace calicodrift::sim {
namespace {

std::vector<CacheEvent> storedEvents(std::uint64_t from, std::uint64_t to) {
  std::vector<CacheEvent> events;
  for (std::uint64_t sequence = from; sequence < to; ++sequence) {
    events.push_back({sequence, true, BlockHash(sequence)});
  }
  return events;
}

BOOST_AUTO_TEST_CASE(eventsAreLateAndGapsShowInTheirNumbers) {
  EngineCacheFeed feed({Milliseconds(100), 30, 4096}, 1);
  const MonotonicTime start{};
  feed.publish(storedEvents(1, 1001), start);
  BOOST_TEST(feed.readAfter(0, start + Milliseconds(99)).empty());
  const std::vector<CacheEvent> seen = feed.readAfter(0, start + Milliseconds(100));
  BOOST_TEST(seen.size() > 600U);
  BOOST_TEST(seen.size() < 800U);
  BOOST_TEST(seen.back().sequence > seen.size());
  const std::uint64_t half = seen[seen.size() / 2].sequence;
  BOOST_TEST(feed.readAfter(half, start + Milliseconds(100)).front().sequence > half);
}

BOOST_AUTO_TEST_CASE(theLoadReportIsThatOfAWhileAgo) {
  LaggingLoad load(Milliseconds(500));
  const MonotonicTime start{};
  load.record({1, 1}, start);
  load.record({2, 2}, start + Milliseconds(400));
  load.record({3, 3}, start + Milliseconds(800));
  BOOST_TEST(load.report(start + Milliseconds(499)).running == 0U);
  BOOST_TEST(load.report(start + Milliseconds(899)).running == 1U);
  BOOST_TEST(load.report(start + Milliseconds(900)).running == 2U);
  BOOST_TEST(load.report(start + Milliseconds(5000)).running == 3U);
}

BOOST_AUTO_TEST_CASE(exportedBlocksAreImportedOnlyByEnginesWithTheSameWeights) {
  EngineModel source{EngineModelSettings{}};
  source.importBlocks({BlockHash(7), BlockHash(9)});
  http::Request request;
  request.target = "/kv/export?blocks=7,8,9";
  const http::Response exported = kvExportResponse(request, source, WeightsVersion(2));
  EngineModel target{EngineModelSettings{}};
  http::Request import;
  import.body = exported.body;
  BOOST_TEST(kvImportResponse(import, target, WeightsVersion(1)).status == 412U);
  BOOST_TEST(target.cachedBlocks() == 0U);
  BOOST_TEST(kvImportResponse(import, target, WeightsVersion(2)).status == 200U);
  BOOST_TEST(target.cachedBlocks() == 2U);
  BOOST_TEST(!target.holds(BlockHash(8)));
}

}  // namespace
}  // namespace calicodrift::sim
