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

SoakCounts judgeOne(std::size_t tries, const std::vector<std::string>& answers,
                    std::uint64_t runs) {
  OneTimeRecord record;
  record.key = "k";
  record.tries = tries;
  for (const std::string& answer : answers) {
    record.countAnswer(answer);
  }
  SoakCounts counts;
  checkOneTime(record, runs == 0 ? RunsByKey{} : RunsByKey{{"k", runs}}, counts);
  return counts;
}

BOOST_AUTO_TEST_CASE(oneTimeRequestsAreJudgedByWhatRan) {
  BOOST_TEST(judgeOne(1, {"yes"}, 1).violations() == 0U);
  BOOST_TEST(judgeOne(2, {"yes"}, 2).doubled == 1U);
  BOOST_TEST(judgeOne(2, {"no", "no"}, 1).falseNotRun == 1U);
  BOOST_TEST(judgeOne(2, {"no", "no"}, 0).violations() == 0U);
  // A try without an answer may have run: nothing was promised.
  BOOST_TEST(judgeOne(2, {"no"}, 1).violations() == 0U);
  BOOST_TEST(judgeOne(2, {"no", "maybe"}, 1).violations() == 0U);
  BOOST_TEST(judgeOne(1, {"yes"}, 0).lost == 1U);
  BOOST_TEST(judgeOne(3, {}, 0).lost == 1U);
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
