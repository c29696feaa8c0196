#include "config/vouching.h"

#include <boost/test/unit_test.hpp>

#include "support/bundles.h"

namespace calicodrift::config {
namespace {

constexpr Milliseconds kTerm{7000};

struct Vouch {
  Vouch() { adopt(1); }
  void adopt(std::uint64_t version) {
    BOOST_REQUIRE(holder.adopt(signers.sign(text(version))).has_value());
    vouching.onAdopted();
  }
  static std::string text(std::uint64_t version) { return testing::largeBundleText(version, 1); }
  void confirm(std::uint64_t version, MonotonicTime readAt) {
    vouching.confirm(BundleVersion(version), digestOf(text(version)), readAt);
  }

  testing::Signers signers;
  BundleHolder holder{signers.rule(), [](const bundle::Bundle&) {}};
  Vouching vouching{kTerm, holder};
  MonotonicTime start = MonotonicTime(std::chrono::hours(1));
};

BOOST_FIXTURE_TEST_CASE(aConfirmationCountsForItsTermOnly, Vouch) {
  BOOST_TEST(!vouching.vouched(start));
  confirm(1, start);
  BOOST_TEST(vouching.vouched(start + kTerm));
  BOOST_TEST(!vouching.vouched(start + kTerm + Milliseconds(1)));
  // An older confirmation that arrives later changes nothing.
  confirm(1, start - Milliseconds(500));
  BOOST_TEST(vouching.vouched(start + kTerm));
}

BOOST_FIXTURE_TEST_CASE(aConfirmationOfANewerVersionCountsOnceThatIsInForce, Vouch) {
  confirm(1, start);
  confirm(2, start + Milliseconds(5000));
  BOOST_TEST(!vouching.vouched(start + kTerm + Milliseconds(1)));
  adopt(2);
  BOOST_TEST(vouching.vouched(start + Milliseconds(5000) + kTerm));
  // The store was read before the change; the version in force then was this node's own.
  confirm(1, start + Milliseconds(6000));
  BOOST_TEST(vouching.vouched(start + Milliseconds(6000) + kTerm));
}

BOOST_FIXTURE_TEST_CASE(aConfirmationOfAnotherTextUnderTheSameVersionNeverCounts, Vouch) {
  vouching.confirm(BundleVersion(1), digestOf("another text"), start);
  BOOST_TEST(!vouching.vouched(start));
  adopt(2);
  vouching.confirm(BundleVersion(1), digestOf("another text"), start);
  BOOST_TEST(!vouching.vouched(start));
}

}  // namespace
}  // namespace calicodrift::config
