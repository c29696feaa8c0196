#include "config/freshness_tracker.h"

#include <boost/test/unit_test.hpp>

#include "support/bundles.h"

namespace calicodrift::config {
namespace {

constexpr Milliseconds kTerm{7000};

struct FreshnessFixture {
  FreshnessFixture() { adopt(1); }
  void adopt(std::uint64_t version) {
    BOOST_REQUIRE(holder.adopt(signers.sign(text(version))).has_value());
    freshness.onAdopted();
  }
  static std::string text(std::uint64_t version) { return testing::largeBundleText(version, 1); }
  void confirm(std::uint64_t version, MonotonicTime readAt) {
    freshness.confirm(BundleVersion(version), digestOf(text(version)), readAt);
  }

  testing::Signers signers;
  BundleHolder holder{signers.rule(), [](const bundle::Bundle&) {}};
  FreshnessTracker freshness{kTerm, holder};
  MonotonicTime start = MonotonicTime(std::chrono::hours(1));
};

BOOST_FIXTURE_TEST_CASE(aConfirmationExpiresAfterItsTerm, FreshnessFixture) {
  BOOST_TEST(!freshness.confirmed(start));
  confirm(1, start);
  BOOST_TEST(freshness.confirmed(start + kTerm));
  BOOST_TEST(!freshness.confirmed(start + kTerm + Milliseconds(1)));
  // An older confirmation that arrives later has no effect.
  confirm(1, start - Milliseconds(500));
  BOOST_TEST(freshness.confirmed(start + kTerm));
}

BOOST_FIXTURE_TEST_CASE(aConfirmationOfANewerVersionCountsOnceItIsActive, FreshnessFixture) {
  confirm(1, start);
  confirm(2, start + Milliseconds(5000));
  BOOST_TEST(!freshness.confirmed(start + kTerm + Milliseconds(1)));
  adopt(2);
  BOOST_TEST(freshness.confirmed(start + Milliseconds(5000) + kTerm));
  // The store was read before the change, while this node had the old version active.
  confirm(1, start + Milliseconds(6000));
  BOOST_TEST(freshness.confirmed(start + Milliseconds(6000) + kTerm));
}

BOOST_FIXTURE_TEST_CASE(aConfirmationOfADifferentTextUnderTheSameVersionNeverCounts,
                        FreshnessFixture) {
  freshness.confirm(BundleVersion(1), digestOf("another text"), start);
  BOOST_TEST(!freshness.confirmed(start));
  adopt(2);
  freshness.confirm(BundleVersion(1), digestOf("another text"), start);
  BOOST_TEST(!freshness.confirmed(start));
}

}  // namespace
}  // namespace calicodrift::config
