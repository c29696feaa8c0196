// Length of the reports that a node receives, by the number of servers with load.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "exchange/node_exchange.h"
#include "peer/codec.h"

namespace calicodrift::exchange {
namespace {

LoadEntry entryOf(std::uint64_t server, std::uint16_t requests, std::uint32_t prefill = 0) {
  LoadEntry entry;
  entry.server = server * 0x9E37'79B9'7F4A'7C15U;
  entry.requests = requests;
  entry.tokens = requests * 1000U;
  entry.prefillTokens = prefill;
  return entry;
}

std::vector<LoadEntry> entriesOf(std::size_t servers) {
  std::vector<LoadEntry> entries;
  for (std::size_t number = 0; number < servers; ++number) {
    entries.push_back(entryOf(number + 1, static_cast<std::uint16_t>(1 + number % 7)));
  }
  return entries;
}

BOOST_AUTO_TEST_SUITE(report_length)

// The interval stops at its maximum, so that reports of every server with load took more of a link,
// the more servers there were: 880 KB/s at 10,000.
BOOST_AUTO_TEST_CASE(reportsKeepWithinTheirBandwidthWhateverTheNumberOfServers) {
  const NodeExchangeSettings settings;
  constexpr double kMsPerSecond = 1000;
  for (const std::size_t servers : {100U, 1'000U, 10'000U, 40'000U}) {
    const auto sent = heaviest(entriesOf(servers), maxReportedServers(settings));
    const double perSecond = kMsPerSecond / toMilliseconds(intervalFor(settings, sent.size()));
    const auto bytes = static_cast<double>(peer::encode(sent).size());
    // Large numbers take more than the entry's usual length.
    constexpr double kTolerance = 1.5;
    BOOST_TEST(bytes * perSecond <= kTolerance * settings.bytesPerSecond,
               servers << " servers: " << bytes * perSecond << " bytes a second");
  }
}

BOOST_AUTO_TEST_CASE(shortReportsAreWhole) {
  const NodeExchangeSettings settings;
  BOOST_TEST(heaviest(entriesOf(240), maxReportedServers(settings)).size() == 240U);
}

BOOST_AUTO_TEST_CASE(theLongestQueuesAndWhatExcludesAServerComeFirst) {
  std::vector<LoadEntry> entries = entriesOf(500);
  LoadEntry unreachable = entryOf(1000, 0);
  unreachable.unreachableFrom = 2;
  LoadEntry loading = entryOf(1001, 0);
  loading.loadingWeights = 3;
  const LoadEntry prefilling = entryOf(1002, 1, 9000);
  const LoadEntry busy = entryOf(1003, 60);
  for (const LoadEntry& entry : {unreachable, loading, prefilling, busy}) {
    entries.push_back(entry);
  }
  const std::vector<LoadEntry> kept = heaviest(entries, 4);
  BOOST_REQUIRE(kept.size() == 4U);
  for (const LoadEntry& wanted : {unreachable, loading, prefilling, busy}) {
    const bool found = std::any_of(kept.begin(), kept.end(), [&wanted](const LoadEntry& entry) {
      return entry.server == wanted.server;
    });
    BOOST_TEST(found);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::exchange
