#include "common/hashing.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"

namespace calicodrift {
namespace {

CacheScope scopeOf(std::uint64_t weights, const std::string& tenant) {
  return {TenantId(tenant), ModelId("m"), WeightsVersion(weights), ""};
}

BOOST_AUTO_TEST_CASE(sharedPrefixGivesSharedChain) {
  const auto first = chainHashes(scopeOf(1, "a"), "aaaabbbbcccc", 4);
  const auto second = chainHashes(scopeOf(1, "a"), "aaaabbbbdddd", 4);
  BOOST_REQUIRE_EQUAL(first.size(), 3U);
  BOOST_TEST((first[1] == second[1]));
  BOOST_TEST((first[2] != second[2]));
}

BOOST_AUTO_TEST_CASE(scopesNeverShareBlocks) {
  const auto base = chainHashes(scopeOf(1, "a"), "aaaa", 4);
  BOOST_TEST((base[0] != chainHashes(scopeOf(2, "a"), "aaaa", 4)[0]));
  BOOST_TEST((base[0] != chainHashes(scopeOf(1, "b"), "aaaa", 4)[0]));
}

BOOST_AUTO_TEST_CASE(everyErrorKindHasARowWithNameAndRemedy) {
  for (unsigned index = 0; index < static_cast<unsigned>(ErrorKind::kCount); ++index) {
    const ErrorRow& row = errorRow(static_cast<ErrorKind>(index));
    BOOST_TEST(!row.name.empty());
    BOOST_TEST(!row.remedy.empty());
    BOOST_TEST(row.httpStatus >= 400U);
  }
}

}  // namespace
}  // namespace calicodrift
