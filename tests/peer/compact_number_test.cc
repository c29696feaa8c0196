#include "peer/compact_number.h"

#include <boost/test/unit_test.hpp>
#include <limits>

#include "peer/codec.h"

namespace calicodrift::peer {
namespace {

struct Message {
  std::uint64_t number = 0;
  std::uint16_t small = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(compact(number), compact(small));
  }
};

/// What the archive itself takes for any message.
std::size_t sizeOf(std::uint64_t number) {
  constexpr std::size_t kArchiveHeader = 1;
  constexpr std::size_t kSmallNumber = 1;
  return encode(Message{number, 3}).size() - kArchiveHeader - kSmallNumber;
}

BOOST_AUTO_TEST_SUITE(compact_number)

BOOST_AUTO_TEST_CASE(numbersComeBackAsTheyWere) {
  for (const std::uint64_t number :
       {std::uint64_t{0}, std::uint64_t{127}, std::uint64_t{128}, std::uint64_t{300},
        std::uint64_t{1} << 32U, std::numeric_limits<std::uint64_t>::max()}) {
    const Result<Message> read = decode<Message>(encode(Message{number, 65'535}));
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().number == number);
    BOOST_TEST(read.value().small == 65'535U);
  }
}

BOOST_AUTO_TEST_CASE(smallNumbersTakeFewBytes) {
  BOOST_TEST(sizeOf(0) == 1U);
  BOOST_TEST(sizeOf(127) == 1U);
  BOOST_TEST(sizeOf(128) == 2U);
  BOOST_TEST(sizeOf(std::numeric_limits<std::uint64_t>::max()) == 10U);
}

BOOST_AUTO_TEST_CASE(numberWithoutEndIsRefused) {
  std::string bytes = encode(Message{});
  bytes.resize(1);
  bytes += std::string(20, '\xff');
  BOOST_TEST(!decode<Message>(bytes));
}

BOOST_AUTO_TEST_CASE(numberThatIsCutOffIsRefused) {
  std::string bytes = encode(Message{1U << 20U, 3});
  bytes.resize(2);
  BOOST_TEST(!decode<Message>(bytes));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::peer
