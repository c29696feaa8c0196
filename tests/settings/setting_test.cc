#include "settings/setting.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::settings {
namespace {

SettingDescription describe(std::int64_t minimum, std::int64_t maximum) {
  return {"bound", "1", minimum, maximum, "s", "a bound"};
}

BOOST_AUTO_TEST_CASE(fractionsAreTakenWhereTheSettingHasThem) {
  const auto parsed = parseSetting(describe(1, 10), SettingValue{1.0}, "7.5");
  BOOST_REQUIRE(parsed);
  BOOST_TEST(std::get<double>(parsed.value()) == 7.5);
  BOOST_TEST(!parseSetting(describe(1, 10), SettingValue{1.0}, "10.5"));
  BOOST_TEST(!parseSetting(describe(1, 10), SettingValue{1.0}, "0.5"));
  BOOST_TEST(!parseSetting(describe(1, 10), SettingValue{1.0}, "nan"));
}

BOOST_AUTO_TEST_CASE(wholeNumbersMayBeWrittenWithAFractionOfZero) {
  const auto parsed = parseSetting(describe(1, 20'000), SettingValue{Milliseconds(0)}, "8000.0");
  BOOST_REQUIRE(parsed);
  BOOST_TEST((std::get<Milliseconds>(parsed.value()) == Milliseconds(8000)));
  const auto refused = parseSetting(describe(1, 20'000), SettingValue{std::int64_t{0}}, "8000.5");
  BOOST_REQUIRE(!refused);
  BOOST_TEST(refused.error().detail.find("not a whole number") != std::string::npos);
  for (const std::string text : {"", "x", "8x", "nan", "1e99"}) {
    BOOST_TEST(!parseSetting(describe(1, 20'000), SettingValue{std::int64_t{0}}, text));
  }
}

}  // namespace
}  // namespace calicodrift::settings
