#include "store/position.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::store {
namespace {

BOOST_AUTO_TEST_CASE(laterErasAreAboveAllPositionsOfEarlierOnes) {
  BOOST_TEST((makeRevision(Era(2), 1) > makeRevision(Era(1), 1'000'000)));
  BOOST_TEST((makeRevision(Era(1), 2) > makeRevision(Era(1), 1)));
  BOOST_TEST((eraOf(makeRevision(Era(7), 9)) == Era(7)));
  BOOST_TEST(numberOf(makeRevision(Era(7), 9)) == 9U);
  BOOST_TEST(toString(makeRevision(Era(7), 9)) == "7:9");
  BOOST_TEST(toString(Revision(9)) == "9");
}

// Revision 0 stands for no object: with an era it would be a condition that no state meets.
BOOST_AUTO_TEST_CASE(onlyRevisionsOfObjectsGetAnEra) {
  BOOST_TEST((withEra(Revision(9), Era(7)) == makeRevision(Era(7), 9)));
  BOOST_TEST((withEra(makeRevision(Era(3), 9), Era(7)) == makeRevision(Era(3), 9)));
  BOOST_TEST((withEra(Revision(), Era(7)) == Revision()));
}

}  // namespace
}  // namespace calicodrift::store
