#include "replay/trace.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "replay/lru_cache.h"
#include "replay/trace_generator.h"

namespace calicodrift::replay {
namespace {

const std::string kGood =
    R"({"timestamp": 27482, "input_length": 6955, "output_length": 52, "hash_ids": [46, 47, 2354]})";

BOOST_AUTO_TEST_CASE(aPublishedLineAndOptionalFieldsAreRead) {
  const auto plain = parseTraceLine(kGood);
  BOOST_REQUIRE(plain.has_value());
  BOOST_TEST(plain.value().timestampMs == 27482);
  BOOST_TEST(plain.value().hashIds.size() == 3U);
  BOOST_TEST(plain.value().tenant.value() == "default");
  const auto full = parseTraceLine(
      R"({"timestamp":1.0,"input_length":600,"output_length":0,"hash_ids":[1,2],"tenant":"t",)"
      R"("model":"x","priority":"high","repeatable":false,"chat_id":7})");
  BOOST_REQUIRE(full.has_value());
  BOOST_TEST((full.value().priority == Priority::kHigh));
  BOOST_TEST(!full.value().repeatable);
  // The second block is filled in part, so no engine caches it.
  BOOST_TEST(blocksOf(full.value()).size() == 1U);
  BOOST_TEST((parseTraceLine(toTraceLine(full.value())).value() == full.value()));
}

BOOST_AUTO_TEST_CASE(malformedLinesAreRefusedWithTheirNumber) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {"not json", "JSON"},
      {"[1]", "JSON"},
      {R"({"timestamp":1,"output_length":1,"hash_ids":[]})", "input_length"},
      {R"({"timestamp":-1,"input_length":1,"output_length":1,"hash_ids":[]})", "timestamp"},
      {R"({"timestamp":1.5,"input_length":1,"output_length":1,"hash_ids":[]})", "timestamp"},
      {R"({"timestamp":1,"input_length":"1","output_length":1,"hash_ids":[]})", "input_length"},
      {R"({"timestamp":1,"input_length":1,"output_length":1})", "hash_ids"},
      {R"({"timestamp":1,"input_length":1,"output_length":1,"hash_ids":[-1]})", "hash_ids"},
      {R"({"timestamp":1,"input_length":1,"output_length":1,"hash_ids":["a"]})", "hash_ids"},
      {R"({"timestamp":1,"input_length":1,"output_length":1,"hash_ids":[],"priority":"x"})",
       "priority"},
      {R"({"timestamp":1,"input_length":1,"output_length":1,"hash_ids":[],"tenant":3})", "tenant"},
      {R"({"timestamp":1,"input_length":1,"output_length":1,"hash_ids":[],"repeatable":1})",
       "repeatable"},
  };
  for (const auto& [line, named] : cases) {
    std::stringstream input;
    input << kGood << "\n\n" << line << "\n" << kGood << "\n";
    const auto trace = readTrace(input);
    BOOST_REQUIRE_MESSAGE(!trace.has_value(), line);
    BOOST_TEST(trace.error().detail.starts_with("line 3: "));
    BOOST_TEST(trace.error().detail.find(named) != std::string::npos, line);
  }
}

BOOST_AUTO_TEST_CASE(theOracleServesWhatOneLargeCacheWouldHold) {
  const auto request = [](std::vector<std::uint64_t> ids) {
    TraceRequest made;
    made.inputLength = ids.size() * kTraceBlockTokens;
    made.hashIds = std::move(ids);
    return made;
  };
  const Trace trace{request({1, 2}), request({1, 2}), request({3, 4}), request({1, 2})};
  BOOST_TEST(oracleHitRate(trace, 4) == 0.5);
  // Two blocks only: the third prompt pushes the first one out.
  BOOST_TEST(oracleHitRate(trace, 2) == 0.25);
}

BOOST_AUTO_TEST_CASE(equalSeedsGiveEqualTracesWithNestedPrefixes) {
  TraceOrder order;
  order.deployment = *findDeployment("trinacria");
  order.shape = *findShape("campaigns");
  order.requests = 300;
  const Trace trace = generateTrace(order);
  BOOST_TEST((trace == generateTrace(order)));
  order.seed = 2;
  BOOST_TEST((trace != generateTrace(order)));
  BOOST_TEST(oracleHitRate(trace, 100'000) > 0.3);
}

}  // namespace
}  // namespace calicodrift::replay
