// What the head of a server's answer is read as: each notice, well formed, malformed, twice, and
// from another server.

#include <boost/test/unit_test.hpp>

#include "names.h"
#include "operator_servers.h"

namespace calicodrift::testing {
namespace {

using forward::ServerNotices;

http::Response headOf(unsigned status, std::string_view name,
                      const std::vector<std::string>& values) {
  http::Response head;
  head.status = status;
  for (const std::string& value : values) {
    head.headers.add(std::string(name), value);
  }
  return head;
}

ServerNotices read(unsigned status, std::string_view name, const std::vector<std::string>& values) {
  return platform::OperatorServers().noticesOf(headOf(status, name, values));
}

Result<std::optional<double>> readLimit(const std::vector<std::string>& values) {
  return read(200, platform::kServerLimit, values).requestLimit;
}

BOOST_AUTO_TEST_SUITE(server_notice_heads)

BOOST_AUTO_TEST_CASE(headThatSaysNothingHasNoNotices) {
  for (const unsigned status : {200U, 421U, 429U, 500U, 503U}) {
    const ServerNotices notices = read(status, platform::kSeal, {"seal"});
    BOOST_TEST(!notices.leaving);
    BOOST_TEST(!notices.rest.has_value());
    BOOST_TEST(!notices.requestLimit.value().has_value());
    BOOST_TEST(notices.unreadable.empty());
  }
}

BOOST_AUTO_TEST_CASE(ratesAreRead) {
  BOOST_TEST(!readLimit({}).value().has_value());
  BOOST_TEST(readLimit({"0"}).value().value() == 0);
  BOOST_TEST(readLimit({"0.25"}).value().value() == 0.25);
  BOOST_TEST(readLimit({"1"}).value().value() == 1);
  BOOST_TEST(readLimit({"1e9"}).value().value() == 1e9);
}

BOOST_AUTO_TEST_CASE(whatIsNoRateIsAnError) {
  for (const std::string value : {"", "-1", "nan", "inf", "one", "1 a second", " 1", "1,5"}) {
    BOOST_TEST(!readLimit({value}).has_value(), "'" << value << "'");
  }
  BOOST_TEST(!readLimit({"1", "1"}).has_value());
}

BOOST_AUTO_TEST_CASE(leavingIsReadWhateverTheStatus) {
  for (const unsigned status : {200U, 202U, 409U, 421U, 429U, 500U, 503U}) {
    const ServerNotices notices = read(status, platform::kServerLeaving, {"1"});
    BOOST_TEST(notices.leaving);
    BOOST_TEST(notices.unreadable.empty());
  }
}

BOOST_AUTO_TEST_CASE(whatDoesNotSayLeavingChangesNothing) {
  const std::vector<std::vector<std::string>> unreadable = {
      {"0"}, {""}, {"1", "1"}, {"1", "0"}, {"-1"}, {"nan"}, {"true"}, {"1 "}, {"1e9"}};
  for (const std::vector<std::string>& values : unreadable) {
    const ServerNotices notices = read(200, platform::kServerLeaving, values);
    BOOST_TEST(!notices.leaving, "'" << values.front() << "'");
    BOOST_TEST(notices.unreadable.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(onlyRefusalsAskForRest) {
  for (const unsigned status : {429U, 503U}) {
    BOOST_TEST((read(status, platform::kRetryAfter, {"3"}).rest == Milliseconds(3000)));
    BOOST_TEST((read(status, platform::kRetryAfter, {"0.25"}).rest == Milliseconds(250)));
    BOOST_TEST((read(status, platform::kRetryAfter, {"0.0001"}).rest == Milliseconds(1)));
    BOOST_TEST((read(status, platform::kRetryAfter, {"3600"}).rest == Milliseconds(3'600'000)));
  }
  for (const unsigned status : {200U, 202U, 421U, 500U, 502U}) {
    const ServerNotices notices = read(status, platform::kRetryAfter, {"3"});
    BOOST_TEST(!notices.rest.has_value());
    BOOST_TEST(notices.unreadable.empty());
  }
}

BOOST_AUTO_TEST_CASE(whatIsNoRestChangesNothing) {
  const std::vector<std::vector<std::string>> unreadable = {
      {"0"},   {""},       {"-3"},     {"nan"}, {"inf"},
      {"1e9"}, {"3600.5"}, {"3", "3"}, {"3 s"}, {"Thu, 03 Dec 2026 12:00:00 GMT"}};
  for (const std::vector<std::string>& values : unreadable) {
    const ServerNotices notices = read(503, platform::kRetryAfter, values);
    BOOST_TEST(!notices.rest.has_value(), "'" << values.front() << "'");
    BOOST_TEST(notices.unreadable.size() == 1U);
  }
}

/// One notice that can't be read does not hide the others of the same head.
BOOST_AUTO_TEST_CASE(noticesOfOneHeadAreReadEachForItself) {
  http::Response head = headOf(503, platform::kRetryAfter, {"soon"});
  head.headers.add(std::string(platform::kServerLeaving), "1");
  head.headers.add(std::string(platform::kServerLimit), "2");
  const ServerNotices notices = platform::OperatorServers().noticesOf(head);
  BOOST_TEST(notices.leaving);
  BOOST_TEST(!notices.rest.has_value());
  BOOST_TEST(notices.requestLimit.value().value() == 2);
  BOOST_TEST(notices.unreadable.size() == 1U);
}

BOOST_AUTO_TEST_CASE(headSpeaksForTheServerThatItIsOf) {
  fleet::Server server;
  server.id = BackendId("a");
  const platform::OperatorServers protocol;
  for (const unsigned status : {200U, 421U, 503U}) {
    BOOST_TEST(protocol.isFromServer(server, headOf(status, platform::kInstance, {"a"})));
    BOOST_TEST(!protocol.isFromServer(server, headOf(status, platform::kInstance, {"b"})));
  }
  // Requests name the server that is meant, and another one refuses them so.
  BOOST_TEST(protocol.isFromServer(server, headOf(200, platform::kSeal, {"seal"})));
  BOOST_TEST(protocol.isFromServer(server, headOf(503, platform::kNotExecuted, {"1"})));
  BOOST_TEST(!protocol.isFromServer(server, headOf(421, platform::kNotExecuted, {"1"})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
