#include <boost/test/unit_test.hpp>

#include "forwarding_fixture.h"

namespace calicodrift::forward {
namespace {

BOOST_FIXTURE_TEST_SUITE(unread_weights, ForwardingFixture)

/// Guards against model requests on outdated servers: a node that has read the server list but not
/// the named weights can't tell which servers are outdated. Requests without a model are still
/// served.
BOOST_AUTO_TEST_CASE(noModelRequestIsSentBeforeTheNamedWeightsWereRead) {
  VersionServer& server = addServer("old", kOld);
  weightsProvenAt = MonotonicTime{};
  BOOST_TEST(call("/model/x") == 503U);
  BOOST_TEST(server.requests.empty());
  BOOST_TEST(call("/safe/x") == 200U);
  weightsProvenAt = monotonicNow();
  BOOST_TEST(call("/model/x") == 200U);
  BOOST_TEST(server.requests.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
