#include <boost/test/unit_test.hpp>

#include "names.h"
#include "operator_servers.h"

namespace calicodrift::testing {
namespace {

Result<std::optional<double>> read(const std::vector<std::string>& values) {
  http::Response head;
  for (const std::string& value : values) {
    head.headers.add(std::string(platform::kServerLimit), value);
  }
  return platform::OperatorServers().noticesOf(head).requestLimit;
}

BOOST_AUTO_TEST_SUITE(server_limit_heads)

BOOST_AUTO_TEST_CASE(ratesAreRead) {
  BOOST_TEST(!read({}).value().has_value());
  BOOST_TEST(read({"0"}).value().value() == 0);
  BOOST_TEST(read({"0.25"}).value().value() == 0.25);
  BOOST_TEST(read({"1"}).value().value() == 1);
  BOOST_TEST(read({"1e9"}).value().value() == 1e9);
}

BOOST_AUTO_TEST_CASE(whatIsNoRateIsAnError) {
  for (const std::string value : {"", "-1", "nan", "inf", "one", "1 a second", " 1", "1,5"}) {
    BOOST_TEST(!read({value}).has_value(), "'" << value << "'");
  }
  BOOST_TEST(!read({"1", "1"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
