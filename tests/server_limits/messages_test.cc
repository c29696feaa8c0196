#include "server_limits/messages.h"

#include <boost/test/unit_test.hpp>

#include "peer/codec.h"

namespace calicodrift::server_limits {
namespace {

const LimitRecord kRecord{fleet::ServerKey(7), LimitVersion(3), true, 0.25};

BOOST_AUTO_TEST_SUITE(server_limit_messages)

BOOST_AUTO_TEST_CASE(fieldsAppendedByLaterFormatsAreIgnored) {
  LimitReport report;
  report.sender = "10.0.0.1:7340";
  report.records = {kRecord};
  const Result<LimitReport> read = peer::decode<LimitReport>(peer::encode(report) + "appended");
  BOOST_REQUIRE(static_cast<bool>(read));
  BOOST_TEST((read.value().records == report.records));
  UnitRequest asked;
  asked.limit = kRecord;
  asked.isReturn = true;
  const Result<UnitRequest> unit = peer::decode<UnitRequest>(peer::encode(asked) + "appended");
  BOOST_REQUIRE(static_cast<bool>(unit));
  BOOST_TEST((unit.value().limit == kRecord));
  BOOST_TEST(unit.value().isReturn);
}

/// Earlier builds send neither permits nor refusal limits, and read neither.
BOOST_AUTO_TEST_CASE(messagesOfBuildsWithoutPermitsAreRead) {
  UnitRequest asked;
  asked.form = kFormWithPermits - 1;
  asked.limit = kRecord;
  asked.permit.operation = PermitOperation::kAcquire;
  const Result<UnitRequest> unit = peer::decode<UnitRequest>(peer::encode(asked));
  BOOST_REQUIRE(static_cast<bool>(unit));
  BOOST_TEST((unit.value().limit == kRecord));
  BOOST_TEST((unit.value().permit.operation == PermitOperation::kNone));
  LimitReport report;
  report.form = kFormWithPermits - 1;
  report.refusalLimits = {kRecord};
  const Result<LimitReport> read = peer::decode<LimitReport>(peer::encode(report));
  BOOST_REQUIRE(static_cast<bool>(read));
  BOOST_TEST(read.value().refusalLimits.empty());
}

BOOST_AUTO_TEST_CASE(truncatedMessagesAreRejected) {
  LimitReport report;
  report.records = {kRecord};
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
