#include "bench/soak_checker.h"

#include <boost/test/unit_test.hpp>

#include "sim/answer_text.h"

namespace calicodrift::bench {
namespace {

BOOST_AUTO_TEST_CASE(foreignTextIsMixedAndAShortOneIncomplete) {
  const std::string own = sim::answerText("mine", 0, 5);
  BOOST_TEST((checkText("mine", 5, own) == TextCheck::kWhole));
  BOOST_TEST((checkText("mine", 5, sim::answerText("mine", 0, 4)) == TextCheck::kIncomplete));
  BOOST_TEST((checkText("mine", 5, sim::answerText("other", 0, 5)) == TextCheck::kMixed));
  BOOST_TEST((checkText("mine", 5, own + sim::answerText("mine", 4, 5)) == TextCheck::kMixed));
}

/// One try as its caller and its server saw it; an empty `told` is no answer.
struct SeenTry {
  std::string told;
  bool ran = false;
};

SoakCounts judgeOne(const std::vector<SeenTry>& seen) {
  OneTimeRecord record;
  record.key = "k";
  ServiceRuns runs;
  for (const SeenTry& attempt : seen) {
    const std::string id = "k-" + std::to_string(record.tries.size());
    record.tries.push_back({id, std::nullopt});
    if (!attempt.told.empty()) {
      record.tries.back().told = parseRunStatement(attempt.told);
    }
    if (attempt.ran) {
      ++runs.byKey["k"];
      ++runs.byRequest[id];
    }
  }
  SoakCounts counts;
  checkOneTime(record, runs, counts);
  return counts;
}

BOOST_AUTO_TEST_CASE(oneTimeRequestsAreJudgedByWhatRan) {
  BOOST_TEST(judgeOne({{"yes", true}}).violations() == 0U);
  BOOST_TEST(judgeOne({{"", true}, {"yes", true}}).doubled == 1U);
  BOOST_TEST(judgeOne({{"no", true}, {"no", false}}).falseNotRun == 1U);
  BOOST_TEST(judgeOne({{"no", true}, {"maybe", false}}).falseNotRun == 1U);
  BOOST_TEST(judgeOne({{"no", false}, {"no", false}}).violations() == 0U);
  // A try without an answer may have run: nothing was promised.
  BOOST_TEST(judgeOne({{"", true}, {"no", false}}).violations() == 0U);
  BOOST_TEST(judgeOne({{"maybe", true}, {"no", false}}).violations() == 0U);
  BOOST_TEST(judgeOne({{"yes", false}}).lost == 1U);
  BOOST_TEST(judgeOne({{"", false}, {"", false}}).lost == 1U);
}

BOOST_AUTO_TEST_CASE(aVersionRevertsWhenItFallsButNotWhenThereIsNone) {
  VersionWatch watch;
  const NodeId node("r1");
  BOOST_TEST(!watch.observe(node, BundleVersion(3)));
  BOOST_TEST(!watch.observe(node, BundleVersion(0)));
  BOOST_TEST(watch.observe(node, BundleVersion(2)));
  BOOST_TEST(!watch.observe(node, BundleVersion(3)));
  BOOST_TEST(!watch.observe(NodeId("r2"), BundleVersion(1)));
}

BOOST_AUTO_TEST_CASE(onlyTriesThatBreakWithinAStopOfTheirRouterAreCut) {
  const MonotonicTime start{};
  const auto at = [start](int second) { return start + std::chrono::seconds(second); };
  const std::vector<StopWindow> stops{{1, at(10), at(20)}};
  const std::vector<BrokenTry> broken{{1, at(5), at(15), ""},
                                      {2, at(5), at(15), ""},
                                      {1, at(5), at(9), ""},
                                      {1, at(5), at(21), ""}};
  BOOST_TEST(cutByStops(broken, stops).size() == 1U);
}

}  // namespace
}  // namespace calicodrift::bench
