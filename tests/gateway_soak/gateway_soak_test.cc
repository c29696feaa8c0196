#include "gateway_soak.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace calicodrift::testing {
namespace {

/// One round of namings, or two short ones.
constexpr std::chrono::seconds kRestartsLength{20};

std::uint64_t parameter(const char* name, std::uint64_t absent) {
  const char* given = std::getenv(name);
  return given == nullptr ? absent : std::stoull(given);
}

void tellFaults(const SoakFindings& findings) {
  for (const auto& [fault, count] : findings.faults) {
    BOOST_TEST_MESSAGE("  " << count << " x " << fault);
  }
}

/// All are errors; of many the first ones tell enough.
void tellViolations(std::uint64_t seed, const SoakFindings& findings,
                    const std::filesystem::path& record) {
  constexpr std::size_t kMostTold = 30;
  const std::size_t count = findings.violations.size();
  if (count > 0) {
    BOOST_TEST_MESSAGE("seed " << seed << ": record in " << record.string());
  }
  for (std::size_t number = 0; number < std::min(count, kMostTold); ++number) {
    BOOST_ERROR("seed " << seed << ": " << findings.violations[number]);
  }
  if (count > kMostTold) {
    BOOST_ERROR("seed " << seed << ": and " << count - kMostTold << " more");
  }
}

SoakFindings soak(std::uint64_t seed, Milliseconds length, SoakPlot plot = SoakPlot::kWeights) {
  GatewaySoak soak(seed, length, 5, plot);
  SoakFindings findings = soak.run();
  BOOST_TEST_MESSAGE("seed " << seed << ": " << findings.requests << " requests, "
                             << findings.served << " served");
  BOOST_TEST_MESSAGE("  " << findings.weights);
  tellFaults(findings);
  tellViolations(seed, findings, soak.recordFolder());
  BOOST_TEST(findings.served * 4 > findings.requests, "too little was served to judge");
  BOOST_TEST(findings.faults.size() >= 5U, "too few faults were injected to judge");
  BOOST_TEST(findings.judgedBeginnings > 0U, "no beginning could break the bound on weights");
  BOOST_TEST(findings.judgedNamings > 0U, "no naming was old enough to judge beginnings by");
  return findings;
}

BOOST_AUTO_TEST_SUITE(gateway_soak)

/// Fresh seeds and longer runs by SOAK_SEED and SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(promisesHoldUnderFaults) {
  soak(parameter("SOAK_SEED", 1), std::chrono::seconds(parameter("SOAK_SECONDS", 12)));
}

/// Requests that had been sent within the term of older weights waited at their servers until after
/// the bound, as the wait was predicted at the send and nothing took them back.
BOOST_AUTO_TEST_CASE(waitingRequestsBeginWithinTheBoundOfTheirWeights) {
  soak(4, std::chrono::seconds(12));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_limits)

/// Servers that name limits beside kills, stops, cuts and a store that misbehaves. Fresh seeds and
/// longer runs by SOAK_SEED and SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(limitsOfServersHoldUnderFaults) {
  constexpr std::uint64_t kLength = 25;
  soak(parameter("SOAK_SEED", 1), std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
       SoakPlot::kLimits);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_notices)

/// Servers that say that they leave, or ask for rest, beside kills, stops, cuts and a store that
/// misbehaves. Fresh seeds and longer runs by SOAK_SEED and SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(noticesOfServersHoldUnderFaults) {
  constexpr std::uint64_t kLength = 20;
  const SoakFindings findings =
      soak(parameter("SOAK_SEED", 1), std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
           SoakPlot::kNotices);
  BOOST_TEST(findings.judgedNotices > 0U, "no request could break what a server had said");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_crashes)

/// A request that ends its servers beside kills, stops, cuts and a store that misbehaves. Fresh
/// seeds and longer runs by SOAK_SEED and SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(requestThatEndsItsServersIsBarredUnderFaults) {
  constexpr std::uint64_t kLength = 20;
  const SoakFindings findings =
      soak(parameter("SOAK_SEED", 1), std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
           SoakPlot::kCrashes);
  BOOST_TEST(findings.judgedCrashes >= 3U, "too few servers ended to judge");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_crashing_parts)

/// New requests that share a part which ends their servers, beside kills, stops, cuts and a store
/// that misbehaves. Fresh seeds and longer runs by SOAK_SEED and SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(partThatEndsServersIsBarredUnderFaults) {
  constexpr std::uint64_t kLength = 20;
  const SoakFindings findings =
      soak(parameter("SOAK_SEED", 1), std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
           SoakPlot::kCrashingParts);
  // Nodes that are cut off a root refuse requests with the part from three ends on.
  BOOST_TEST(findings.judgedCrashes >= 3U, "too few servers ended to judge");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_partitions)

/// Nodes that lose the paths to some or all servers beside kills, stops, cuts and a store that
/// misbehaves. Fresh seeds and longer runs by SOAK_SEED and SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(promisesHoldAtNodesThatAreCutOffServers) {
  constexpr std::uint64_t kLength = 20;
  soak(parameter("SOAK_SEED", 1), std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
       SoakPlot::kPartitions);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_silences)

/// Guards against answers of sound servers that are lost because their servers stood still, beside
/// changes of the configuration, kills, stops and signals. Fresh seeds, longer and larger runs by
/// SOAK_SEED, SOAK_SECONDS and SOAK_NODES.
BOOST_AUTO_TEST_CASE(answersOfSilentServersAreNotLost) {
  constexpr std::uint64_t kLength = 10;
  constexpr std::uint64_t kNodes = 5;
  const std::uint64_t seed = parameter("SOAK_SEED", 1);
  GatewaySoak soak(seed, std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
                   parameter("SOAK_NODES", kNodes), SoakPlot::kSilences);
  const SoakFindings findings = soak.run();
  BOOST_TEST_MESSAGE("seed " << seed << ": " << findings.requests << " requests, "
                             << findings.served << " served; " << findings.silences);
  tellFaults(findings);
  tellViolations(seed, findings, soak.recordFolder());
  BOOST_TEST(findings.served * 4 > findings.requests, "too little was served to judge");
  BOOST_TEST(findings.faults.contains("server stands still"), "no server stood still");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_departures)

/// Guards against requests that are sent, and servers that work, for callers who left while a root
/// that gives out units was gone or their node stood still. Fresh seeds, longer and larger runs by
/// SOAK_SEED, SOAK_SECONDS and SOAK_NODES.
BOOST_AUTO_TEST_CASE(noServerWorksForCallersThatHaveLeft) {
  constexpr std::uint64_t kLength = 15;
  constexpr std::uint64_t kNodes = 7;
  const std::uint64_t seed = parameter("SOAK_SEED", 1);
  GatewaySoak soak(seed, std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
                   parameter("SOAK_NODES", kNodes), SoakPlot::kDepartures);
  const SoakFindings findings = soak.run();
  BOOST_TEST_MESSAGE(
      "seed " << seed << ": " << findings.requests << " requests, " << findings.served
              << " served; after the close " << findings.promptArrivals << " arrived in time, "
              << findings.lateArrivals << " late; judged runs " << findings.judgedDepartures);
  tellFaults(findings);
  tellViolations(seed, findings, soak.recordFolder());
  BOOST_TEST(findings.served > 0U, "too little was served to judge");
  BOOST_TEST(findings.judgedDepartures >= 100U, "too few callers left to judge");
  BOOST_TEST(findings.faults.contains("herd killed"), "no herd was killed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_brittle_servers)

/// Guards against servers that fall as nodes together send them more than they have room for. Fresh
/// seeds, longer and larger runs by SOAK_SEED, SOAK_SECONDS and SOAK_NODES.
BOOST_AUTO_TEST_CASE(brittleServersFallNoMoreOftenThanAllowed) {
  constexpr std::uint64_t kLength = 20;
  constexpr std::uint64_t kNodes = 7;
  const std::uint64_t seed = parameter("SOAK_SEED", 1);
  GatewaySoak soak(seed, std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
                   parameter("SOAK_NODES", kNodes), SoakPlot::kBrittleServers);
  const SoakFindings findings = soak.run();
  BOOST_TEST_MESSAGE("seed " << seed << ": " << findings.requests << " requests, "
                             << findings.served << " served; spells " << findings.judgedSpells);
  tellFaults(findings);
  tellViolations(seed, findings, soak.recordFolder());
  BOOST_TEST(findings.served * 10 > findings.requests, "too little was served to judge");
  BOOST_TEST(findings.judgedSpells > 0U, "no spell was judged");
  BOOST_TEST(findings.faults.contains("herd killed"), "no herd was killed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_versions)

/// Servers of several software versions beside kills, stops, pauses and a store that misbehaves.
/// Fresh seeds and longer runs by SOAK_SEED and SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(streamsHoldOneVersionUnderFaults) {
  constexpr std::uint64_t kLength = 20;
  const SoakFindings findings =
      soak(parameter("SOAK_SEED", 1), std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
           SoakPlot::kVersions);
  BOOST_TEST_MESSAGE("  " << findings.begins << " tries to begin a stream, "
                          << findings.beginsThatBegan << " began; " << findings.returns
                          << " returns, " << findings.returnsThatWentOn << " went on");
  BOOST_TEST(findings.returns >= 12U, "too few callers came back to judge");
  // Streams that are taken up go on at least half as often as new ones begin.
  BOOST_TEST(2 * findings.returnsThatWentOn * findings.begins >=
             findings.beginsThatBegan * findings.returns);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_out_of_step)

/// Guards against streams that go on at another version at a node that stood still or lost the
/// store while servers of that version joined. Fresh seeds, longer and larger runs by SOAK_SEED,
/// SOAK_SECONDS and SOAK_NODES.
BOOST_AUTO_TEST_CASE(streamsHoldOneVersionBesideNodesOutOfStep) {
  constexpr std::uint64_t kLength = 20;
  constexpr std::uint64_t kNodes = 7;
  const std::uint64_t seed = parameter("SOAK_SEED", 1);
  GatewaySoak soak(seed, std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
                   parameter("SOAK_NODES", kNodes), SoakPlot::kOutOfStep);
  const SoakFindings findings = soak.run();
  BOOST_TEST_MESSAGE("seed " << seed << ": " << findings.requests << " requests, "
                             << findings.served << " served; " << findings.returns << " returns, "
                             << findings.returnsThatWentOn << " went on");
  tellFaults(findings);
  tellViolations(seed, findings, soak.recordFolder());
  BOOST_TEST(findings.served * 4 > findings.requests, "too little was served to judge");
  BOOST_TEST(findings.returns >= 12U, "too few callers came back to judge");
  BOOST_TEST(findings.faults.contains("version joins"), "no version joined");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_returns)

/// A large configuration and a store that returns from copies beside kills, stops, cuts and a store
/// that misbehaves. Fresh seeds and longer runs by SOAK_SEED and SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(promisesHoldOverReturnsOfTheStore) {
  constexpr std::uint64_t kLength = 20;
  soak(parameter("SOAK_SEED", 1), std::chrono::seconds(parameter("SOAK_SECONDS", kLength)),
       SoakPlot::kReturns);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_restarts)

/// Weights named in a row beside restarts of nodes. Fresh seeds and longer runs by SOAK_SEED and
/// SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(promisesHoldOverRestarts) {
  soak(parameter("SOAK_SEED", 1),
       std::chrono::seconds(parameter("SOAK_SECONDS", kRestartsLength.count())),
       SoakPlot::kRestarts);
}

/// A bad address in a server's entry ended each process that read it; servers were used on whose
/// entries could not be read any more.
BOOST_AUTO_TEST_CASE(badEntriesEndNoProcessAndNameNoServer) {
  soak(2, kRestartsLength, SoakPlot::kRestarts);
}

/// After all nodes had been killed and then stopped in turn, four of five were roots of the relays
/// for eight seconds, and each granted a root's part of the tenant's limit.
BOOST_AUTO_TEST_CASE(limitHoldsWhileRootsAreReplaced) {
  soak(3, kRestartsLength, SoakPlot::kRestarts);
}

/// Nodes that started anew found the newest naming alone, so that weights which had run out long
/// before were outdated only since that one and used again, 21 s after their successor.
BOOST_AUTO_TEST_CASE(weightsThatRanOutStayUnusedOverRestarts) {
  soak(4, kRestartsLength, SoakPlot::kRestarts);
}

/// A request that a node had sent within a second of its start waited at its server as long as if
/// the naming that the node had found were younger, and began after the node had settled.
BOOST_AUTO_TEST_CASE(requestsOfNodesThatStartedAnewWaitNoLonger) {
  soak(5, kRestartsLength, SoakPlot::kRestarts);
}

/// A node started while the naming of the weights was a bad object. It took the naming that came
/// back for one that it had seen made, and told the others so: all used older weights for another
/// term.
BOOST_AUTO_TEST_CASE(namingThatComesBackIsNotMadeAnew) {
  soak(115, kRestartsLength, SoakPlot::kRestarts);
}

/// The same, where the naming counted as found: the node took the time at which it had read the bad
/// object for proof that no newer naming had been made before.
BOOST_AUTO_TEST_CASE(badNamingProvesNothing) {
  soak(118, kRestartsLength, SoakPlot::kRestarts);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_soak_rollouts)

/// Orders of good and bad versions in series, for two services, beside faults of nodes and store.
/// Fresh seeds and longer runs by SOAK_SEED and SOAK_SECONDS.
BOOST_AUTO_TEST_CASE(versionsAreRolledOutAndBackUnderFaults) {
  const std::uint64_t seed = parameter("SOAK_SEED", 1);
  GatewaySoak soak(seed, std::chrono::seconds(parameter("SOAK_SECONDS", 30)), 5,
                   SoakPlot::kRollouts);
  const SoakFindings findings = soak.run();
  BOOST_TEST_MESSAGE("seed " << seed << ": " << findings.requests << " requests, "
                             << findings.served << " served; " << findings.rollouts);
  tellViolations(seed, findings, soak.recordFolder());
  tellFaults(findings);
  BOOST_TEST(findings.served * 4 > findings.requests, "too little was served to judge");
  BOOST_TEST(findings.judgedOrders >= 2U, "too few orders were given to judge");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
