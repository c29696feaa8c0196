#include "ctl/log_trace.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::ctl {
namespace {

BOOST_AUTO_TEST_CASE(linesOfAllNodesComeInOrderWithTheCause) {
  const std::string first =
      "2026-01-01T00:00:02.000000 n1 info request_dispatched id=\"r1\" server=\"s1\"\n"
      "2026-01-01T00:00:02.500000 n1 info request_dispatched id=\"r2\" server=\"s1\"\n"
      "2026-01-01T00:00:03.000000 n1 warning request_refused id=\"r1\" "
      "cause=\"outcome_unknown\" detail=\"no \\\"answer\\\"\"\n";
  const std::string second = "2026-01-01T00:00:01.000000 n2 info request_cancelled id=\"r1\"\n";
  const Result<std::string> trace = traceRequest({first, second}, "r1");
  BOOST_REQUIRE(trace);
  const std::string& text = trace.value();
  BOOST_TEST(text.find("n2") < text.find("n1"));
  BOOST_TEST(text.find("r2") == std::string::npos);
  BOOST_TEST(text.ends_with("cause: request_refused: outcome_unknown (no \"answer\")\n"));
}

BOOST_AUTO_TEST_CASE(unknownRequestIsAnError) {
  BOOST_TEST(
      (traceRequest({"2026 n1 info x id=\"r1\"\n"}, "r").error().kind == ErrorKind::kNotFound));
  BOOST_TEST((traceRequestInFiles("r", {}).error().kind == ErrorKind::kSettingsInvalid));
}

}  // namespace
}  // namespace calicodrift::ctl
