#include "server_limits/messages.h"

#include <boost/test/unit_test.hpp>

#include "peer/codec.h"

namespace calicodrift::server_limits {
namespace {

const LimitFact kFact{fleet::ServerKey(7), LimitVersion(3), true, 0.25};

BOOST_AUTO_TEST_SUITE(server_limit_messages)

BOOST_AUTO_TEST_CASE(whatALaterFormAppendsIsPassedOver) {
  LimitReport report;
  report.sender = "10.0.0.1:7340";
  report.facts = {kFact};
  const Result<LimitReport> read = peer::decode<LimitReport>(peer::encode(report) + "appended");
  BOOST_REQUIRE(static_cast<bool>(read));
  BOOST_TEST((read.value().facts == report.facts));
  UnitRequest asked;
  asked.limit = kFact;
  asked.givesBack = true;
  const Result<UnitRequest> unit = peer::decode<UnitRequest>(peer::encode(asked) + "appended");
  BOOST_REQUIRE(static_cast<bool>(unit));
  BOOST_TEST((unit.value().limit == kFact));
  BOOST_TEST(unit.value().givesBack);
}

BOOST_AUTO_TEST_CASE(bytesThatAreNoMessageAreRefused) {
  LimitReport report;
  report.facts = {kFact};
  const std::string whole = peer::encode(report);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    BOOST_TEST(!peer::decode<LimitReport>(std::string_view(whole).substr(0, length)));
  }
  const std::string reply = peer::encode(UnitReply());
  for (std::size_t length = 0; length < reply.size(); ++length) {
    BOOST_TEST(!peer::decode<UnitReply>(std::string_view(reply).substr(0, length)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
