#include "server_limits/limit_table.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace calicodrift::server_limits {
namespace {

const fleet::ServerKey kServer(7);

BOOST_AUTO_TEST_SUITE(limit_table)

BOOST_AUTO_TEST_CASE(limitHoldsUntilALaterAnswerNamesNone) {
  LimitTable table;
  BOOST_TEST(!table.recordAnswer(kServer, LimitVersion(), std::nullopt));
  BOOST_TEST(table.recordAnswer(kServer, LimitVersion(), 1.0));
  BOOST_TEST(table.limitOf(kServer).value() == 1.0);
  BOOST_TEST(table.countLimited() == 1U);
  // Sent before the limit was known here, so the answer may predate the limit.
  BOOST_TEST(!table.recordAnswer(kServer, LimitVersion(), std::nullopt));
  BOOST_TEST(table.recordAnswer(kServer, table.versionOf(kServer), std::nullopt));
  BOOST_TEST(!table.limitOf(kServer).has_value());
  BOOST_TEST(table.countLimited() == 0U);
}

BOOST_AUTO_TEST_CASE(possiblyOlderAnswerCanOnlyTightenALimit) {
  LimitTable table;
  table.recordAnswer(kServer, LimitVersion(), 4.0);
  BOOST_TEST(!table.recordAnswer(kServer, LimitVersion(), 8.0));
  BOOST_TEST(table.recordAnswer(kServer, LimitVersion(), 2.0));
  BOOST_TEST(table.limitOf(kServer).value() == 2.0);
  BOOST_TEST(table.recordAnswer(kServer, table.versionOf(kServer), 8.0));
  BOOST_TEST(table.limitOf(kServer).value() == 8.0);
}

BOOST_AUTO_TEST_CASE(smallChangesOfALimitAreIgnored) {
  LimitTable table;
  table.recordAnswer(kServer, LimitVersion(), 1.0);
  const std::uint64_t before = table.changes();
  BOOST_TEST(!table.recordAnswer(kServer, table.versionOf(kServer), 1.03));
  BOOST_TEST(!table.recordAnswer(kServer, table.versionOf(kServer), 0.97));
  BOOST_TEST(table.changes() == before);
}

/// Nodes that have exchanged all their records agree, in whatever order they did so.
BOOST_AUTO_TEST_CASE(nodesThatExchangedTheirTablesAgree) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<LimitTable> nodes(5);
    const auto any = [&random](std::size_t below) { return random() % below; };
    for (int step = 0; step < 60; ++step) {
      LimitTable& node = nodes[any(nodes.size())];
      const LimitVersion seen = any(2) == 0 ? node.versionOf(kServer) : LimitVersion();
      const auto named =
          any(3) == 0 ? std::nullopt : std::optional(static_cast<double>(1 + any(4)));
      node.recordAnswer(kServer, seen, named);
      LimitTable& other = nodes[any(nodes.size())];
      for (const LimitRecord& record : node.changedSince(0)) {
        other.merge(record);
      }
    }
    // Each node sends its records to the next one, for two rounds.
    for (std::size_t step = 0; step < 2 * nodes.size(); ++step) {
      for (const LimitRecord& record : nodes[step % nodes.size()].changedSince(0)) {
        nodes[(step + 1) % nodes.size()].merge(record);
      }
    }
    for (const LimitTable& node : nodes) {
      BOOST_TEST((node.changedSince(0) == nodes.front().changedSince(0)), "seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(unlistedRunsAreRemoved) {
  LimitTable table;
  table.recordAnswer(kServer, LimitVersion(), 1.0);
  const auto noneListed = [](fleet::ServerKey) { return false; };
  table.removeUnlisted(noneListed);
  BOOST_TEST(table.countLimited() == 1U);
  table.removeUnlisted(noneListed);
  BOOST_TEST(table.countLimited() == 0U);
  BOOST_TEST(table.find(kServer) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
