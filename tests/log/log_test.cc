#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "log/line_budget.h"
#include "log/pipe_writer.h"

namespace calicodrift::log {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};

BOOST_AUTO_TEST_CASE(floodOfOneEventLeavesTheOthersTheirLines) {
  LineBudget budget;
  std::size_t written = 0;
  constexpr std::size_t kFlood = 5000;
  for (std::size_t line = 0; line < kFlood; ++line) {
    written += budget.tryTake("request_answered", kStart) ? 1 : 0;
  }
  BOOST_TEST(written == static_cast<std::size_t>(LineBudget::kBurst));
  BOOST_TEST(budget.tryTake("request_refused", kStart));
  BOOST_TEST(budget.takeSuppressed("request_answered") == kFlood - written);
  BOOST_TEST(budget.takeSuppressed("request_answered") == 0U);
  BOOST_TEST(budget.tryTake("request_answered", kStart + Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(fullPipeCostsLinesAndNoTime) {
  std::array<int, 2> ends{};
  BOOST_REQUIRE(::pipe(ends.data()) == 0);
  PipeWriter writer(ends[1]);
  const std::string line(1000, 'x');
  const MonotonicTime begin = monotonicNow();
  constexpr int kLines = 1000;
  for (int number = 0; number < kLines; ++number) {
    writer.write(line);
  }
  // Nobody reads: a writer that waits would never come here.
  BOOST_TEST(writer.dropped() > 0U);
  BOOST_TEST((monotonicNow() - begin < std::chrono::seconds(5)));
  std::array<char, 65536> buffer{};
  BOOST_TEST(::read(ends[0], buffer.data(), buffer.size()) > 0);
  const std::uint64_t dropped = writer.dropped();
  BOOST_TEST(writer.write(line));
  BOOST_TEST(writer.dropped() == dropped);
  ::close(ends[0]);
  ::close(ends[1]);
}

}  // namespace
}  // namespace calicodrift::log
