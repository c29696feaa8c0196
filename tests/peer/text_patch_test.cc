#include "peer/text_patch.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace calicodrift::peer {
namespace {

std::string randomText(std::mt19937_64& random) {
  static const std::vector<std::string> kMembers{
      "{\"id\":\"tenant-with-a-long-name\",", "\"weight\":1}", ",", "\n", "plain",
      "\"requests_per_second\":1000,"};
  std::string text;
  for (std::uint64_t left = random() % 60; left > 0; --left) {
    text += kMembers[random() % kMembers.size()];
  }
  return text;
}

BOOST_AUTO_TEST_CASE(aPatchAlwaysProducesItsTarget) {
  std::mt19937_64 random(1);
  for (int round = 0; round < 500; ++round) {
    const std::string base = randomText(random);
    const std::string target = randomText(random);
    BOOST_TEST(applyPatch(base, makePatch(base, target)).value() == target);
    BOOST_TEST(applyPatch("", makePatch("", target)).value() == target);
  }
}

BOOST_AUTO_TEST_CASE(anInvalidPatchIsRejected) {
  BOOST_TEST(!applyPatch("short", TextPatch{{{0, 6, ""}}}).has_value());
  BOOST_TEST(!applyPatch("short", TextPatch{{{6, 0, "x"}}}).has_value());
  const std::string large(kMaxTextBytes, 'x');
  BOOST_TEST(!applyPatch(large, TextPatch{{{0, 8'388'608, "y"}}}).has_value());
}

}  // namespace
}  // namespace calicodrift::peer
