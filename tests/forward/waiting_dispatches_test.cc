#include "forward/waiting_dispatches.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

namespace calicodrift::forward {
namespace {

const ModelId kModel("m");
const ModelId kOtherModel("n");

struct WaitingFixture {
  WaitingDispatches list;
  std::vector<std::string> recalled;

  WaitingDispatches::Recall note(const std::string& name) {
    return [this, name] { recalled.push_back(name); };
  }
};

BOOST_FIXTURE_TEST_SUITE(waiting_dispatches, WaitingFixture)

BOOST_AUTO_TEST_CASE(onlyOlderWeightsOfTheModelAreRecalled) {
  const WaitingDispatches::Guard older(list, kModel, WeightsVersion(1), note("older"));
  const WaitingDispatches::Guard newer(list, kModel, WeightsVersion(2), note("newer"));
  const WaitingDispatches::Guard other(list, kOtherModel, WeightsVersion(1), note("other"));
  BOOST_TEST(list.recall(kModel, WeightsVersion(2)) == 1U);
  BOOST_TEST((recalled == std::vector<std::string>{"older"}));
}

BOOST_AUTO_TEST_CASE(startedDispatchIsNotRecalled) {
  WaitingDispatches::Guard begun(list, kModel, WeightsVersion(1), note("begun"));
  begun.end();
  BOOST_TEST(list.recall(kModel, WeightsVersion(2)) == 0U);
  BOOST_TEST(recalled.empty());
}

BOOST_AUTO_TEST_CASE(dispatchIsRecalledOnceThoughItEndsLater) {
  const WaitingDispatches::Guard waiting(list, kModel, WeightsVersion(1), note("waiting"));
  BOOST_TEST(list.recall(kModel, WeightsVersion(2)) == 1U);
  BOOST_TEST(list.recall(kModel, WeightsVersion(3)) == 0U);
  BOOST_TEST(recalled.size() == 1U);
}

BOOST_AUTO_TEST_CASE(dispatchThatAnotherRecallEndsIsNotRecalled) {
  std::optional<WaitingDispatches::Guard> second;
  const WaitingDispatches::Guard first(list, kModel, WeightsVersion(1),
                                       [&second] { second.reset(); });
  second.emplace(list, kModel, WeightsVersion(1), note("second"));
  BOOST_TEST(list.recall(kModel, WeightsVersion(2)) == 1U);
  BOOST_TEST(recalled.empty());
  BOOST_TEST(list.size() == 1U);
}

BOOST_AUTO_TEST_CASE(guardMayOutliveTheList) {
  auto list = std::make_optional<WaitingDispatches>();
  WaitingDispatches::Guard guard(*list, kModel, WeightsVersion(1), note("late"));
  list.reset();
  guard.end();
  BOOST_TEST(recalled.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
