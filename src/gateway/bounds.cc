#include "gateway/bounds.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace calicodrift::gateway {
namespace {

/// Requests that are sent at the end of the term have the time until the recall to come through
/// their server's queue. It is a matter of choice, not of the bound: one that does not come through
/// is taken back.
constexpr Milliseconds kWeightsMargin{2000};
/// What is left of the bound when requests are taken back that wait at a server with older weights:
/// for the node to hear of the naming, for a busy node to get to it, and for the closed connection
/// to reach the server.
constexpr Milliseconds kWeightsRecallMargin{500};
/// A request takes its way to a server, and a proof counts from when it was asked for.
constexpr Milliseconds kRevocationMargin{1200};
/// Before a bound on the age of a view: for the deeper nodes to wait for those above, and for two
/// calls to the store that fail. Two fifths, but no less than a view takes on a calm day.
constexpr Milliseconds kViewMargin{800};
constexpr int kViewMarginTenths = 4;
/// What was cut off at the end of a planned stop must still be told to callers.
constexpr Milliseconds kStopMargin{300};
/// A holder's clock starts before its renewal is acknowledged.
constexpr Milliseconds kLeaseMargin{500};
/// A planned stop has callers come for this share of its time at most.
constexpr int kAcceptShare = 3;
constexpr Milliseconds kLongestAccept{2500};
constexpr int kRenewalsInALease = 3;
/// Part of the time in which a bad candidate has to be stopped that is the permit of a node which
/// hears nothing of it. The rest is for its last answers to come in, and to be told up and down a
/// tree of depth 3 (six reports of 250 ms at most) and judged. A shorter permit costs the candidate
/// requests where views are older, and nothing else, so that no bound is too short.
constexpr double kPermitShare = 0.3;
constexpr Milliseconds kLongestPermit{1500};
/// Of the link, for a child: the compressed text of a whole configuration must arrive well within
/// its bound, and leave the rest to callers. Changes of a few routes need a hundredth of that.
constexpr double kMbpsOfAFollower = 4;
/// With fewer than two there would be a chain in place of a tree; with more than 32 a node's own
/// processor, not its link, is what binds.
constexpr std::int64_t kFewestFollowers = 2;
constexpr std::int64_t kMostFollowers = 32;
constexpr Milliseconds kLongestRenewInterval{800};

/// One bound and what is taken off it.
struct Rule {
  std::string boundName;
  Milliseconds bound;
  Milliseconds margin;
  std::string name;
  Milliseconds& value;
  std::string breaks;
  /// Taken where the bound less the margin is below it; 0: none.
  Milliseconds shortest{0};
};

Milliseconds viewMargin(Milliseconds bound) {
  return std::max(kViewMargin, bound * kViewMarginTenths / 10);
}

std::vector<Rule> rulesOf(GatewaySettings& settings) {
  // At the age at which roots look for another one, nodes would read the store all the time.
  const Milliseconds shortestReadAge = settings.relayProofAge + Milliseconds(1);
  // A quarter, so that a long bound leaves room for longer queues too.
  const Milliseconds weightsMargin = std::max(kWeightsMargin, settings.weightsBound / 4);
  const Milliseconds permit = std::min(
      kLongestPermit,
      Milliseconds(std::llround(kPermitShare * toMilliseconds(settings.rolloutStopBound))));
  const Milliseconds stopBound(static_cast<std::int64_t>(settings.stopBoundSeconds * 1000));
  return {
      {"weights-bound-ms", settings.weightsBound, weightsMargin, "weights-term-ms",
       settings.weightsTerm, "requests begin on weights that were replaced too long ago"},
      {"weights-bound-ms", settings.weightsBound, kWeightsRecallMargin, "weights-wait-ms",
       settings.weightsWait,
       "requests that wait at a server begin on weights that were replaced too long ago"},
      {"revocation-bound-ms", settings.revocationBound, kRevocationMargin, "key-proof-age-ms",
       settings.keyProofAge, "requests are served for keys that were withdrawn"},
      {"config-bound-ms", settings.configBound, viewMargin(settings.configBound),
       "config-read-age-ms", settings.configReadAge,
       "requests are served by a configuration that was replaced too long ago", shortestReadAge},
      {"drain-bound-ms", settings.drainBound, viewMargin(settings.drainBound), "server-read-age-ms",
       settings.serverReadAge,
       "requests are sent to servers that were marked as draining too long ago", shortestReadAge},
      {"stop-bound-s", stopBound, kStopMargin, "drain-timeout-ms", settings.drainTimeout,
       "a planned stop is ended from outside and cuts requests"},
      {"lease-bound-ms", settings.leaseBound, kLeaseMargin, "lease-duration-ms",
       settings.leaseDuration, "two nodes give orders at once"},
      {"rollout-stop-bound-ms", settings.rolloutStopBound, settings.rolloutStopBound - permit,
       "rollout-permit-term-ms", settings.rolloutPermitTerm,
       "a node that is cut off sends requests to a candidate that was found to be bad"},
  };
}

std::string textOf(Milliseconds time) {
  return std::to_string(time.count()) + " ms";
}

DerivedSetting deriveMaxFollowers(GatewaySettings& settings) {
  DerivedSetting row{"relay-max-followers", "", "given",
                     "views reach children late when the configuration changes often"};
  if (settings.relayMaxFollowers == 0) {
    const auto carried = static_cast<std::int64_t>(settings.linkMbps / kMbpsOfAFollower);
    settings.relayMaxFollowers = std::clamp(carried, kFewestFollowers, kMostFollowers);
    row.from = "link-mbps / 4, 2 to 32";
  }
  row.value = std::to_string(settings.relayMaxFollowers);
  return row;
}

/// The nodes can't know of each other at once, so that a limit without any excess can't be kept by
/// what they have told each other; a tenth of a second's use is the least.
Result<DerivedSetting> checkLimitBounds(const GatewaySettings& settings) {
  const double excessSeconds = settings.limitOvershoot * settings.limitWindowSeconds;
  constexpr double kLeastExcessSeconds = 0.1;
  if (excessSeconds < kLeastExcessSeconds && settings.limitSlack <= 0) {
    return fail(ErrorKind::kSettingsInvalid,
                "limit-overshoot lets tenants' limits be passed by " +
                    std::to_string(excessSeconds) +
                    " s of use in limit-window-s; they can't be kept over several nodes below " +
                    std::to_string(kLeastExcessSeconds) + " s where limit-slack is 0");
  }
  std::ostringstream value;
  value << excessSeconds << " s of use + " << settings.limitSlack;
  return DerivedSetting{"(excess over tenants' limits)", value.str(),
                        "limit-overshoot x limit-window-s + limit-slack",
                        "the nodes together let through more than a tenant's limit"};
}

/// Of ages that were given themselves: at the age at which roots look for another one and below,
/// nodes would read the store all the time.
Result<void> checkReadAges(const GatewaySettings& settings) {
  const std::pair<std::string, Milliseconds> ages[] = {
      {"config-read-age-ms", settings.configReadAge},
      {"server-read-age-ms", settings.serverReadAge}};
  for (const auto& [name, age] : ages) {
    if (age <= settings.relayProofAge) {
      return fail(ErrorKind::kSettingsInvalid,
                  name + " is too short: views would be read from the store when they are " +
                      textOf(age) + " old, as on a calm day; relay-proof-age-ms is " +
                      textOf(settings.relayProofAge));
    }
  }
  return boost::outcome_v2::success();
}

Result<DerivedSetting> derive(const Rule& rule) {
  const bool hasShortest = rule.shortest > Milliseconds(0);
  const Milliseconds longestUnkept = hasShortest ? rule.shortest : rule.margin;
  if (rule.bound <= longestUnkept) {
    return fail(ErrorKind::kSettingsInvalid,
                rule.boundName + " is " + textOf(rule.bound) + "; it can't be kept below " +
                    textOf(longestUnkept + Milliseconds(1)) + ", as else " + rule.breaks);
  }
  if (hasShortest && rule.bound - rule.margin < rule.shortest) {
    rule.value = rule.shortest;
    return DerivedSetting{
        rule.name, textOf(rule.value),
        rule.boundName + " is too short to be kept by the tree: read at " + textOf(rule.value),
        rule.breaks};
  }
  rule.value = rule.bound - rule.margin;
  return DerivedSetting{rule.name, textOf(rule.value),
                        rule.boundName + " - " + std::to_string(rule.margin.count()), rule.breaks};
}

}  // namespace

Result<std::vector<DerivedSetting>> applyBounds(GatewaySettings& settings) {
  std::vector<DerivedSetting> derived;
  for (const Rule& rule : rulesOf(settings)) {
    if (rule.value > Milliseconds(0)) {
      derived.push_back({rule.name, textOf(rule.value), "given", rule.breaks});
      continue;
    }
    BOOST_OUTCOME_TRY(const DerivedSetting row, derive(rule));
    derived.push_back(row);
  }
  BOOST_OUTCOME_TRY(checkReadAges(settings));
  if (settings.weightsWait < settings.weightsTerm) {
    return fail(ErrorKind::kSettingsInvalid,
                "weights-wait-ms is " + textOf(settings.weightsWait) + " and weights-term-ms " +
                    textOf(settings.weightsTerm) +
                    "; requests would be sent to servers from which they are taken back at once");
  }
  settings.leaseRenewInterval =
      std::min(settings.leaseDuration / kRenewalsInALease, kLongestRenewInterval);
  derived.push_back({"lease-renew-interval-ms", textOf(settings.leaseRenewInterval),
                     "lease-duration-ms / " + std::to_string(kRenewalsInALease),
                     "a lease lapses though its holder lives"});
  if (settings.drainAccept == Milliseconds(0)) {
    settings.drainAccept = std::min(kLongestAccept, settings.drainTimeout / kAcceptShare);
  }
  derived.push_back({"drain-accept-ms", textOf(settings.drainAccept),
                     "drain-timeout-ms / " + std::to_string(kAcceptShare) + ", 2500 at most",
                     "callers that have not heard of the stop are turned away"});
  derived.push_back(deriveMaxFollowers(settings));
  BOOST_OUTCOME_TRY(const DerivedSetting limits, checkLimitBounds(settings));
  derived.push_back(limits);
  return derived;
}

std::string describeDerived(const std::vector<DerivedSetting>& derived) {
  std::ostringstream text;
  text << "| setting | value | from | where it is missed |\n|---|---|---|---|\n";
  for (const DerivedSetting& row : derived) {
    text << "| `" << row.name << "` | " << row.value << " | " << row.from << " | " << row.breaks
         << " |\n";
  }
  return text.str();
}

}  // namespace calicodrift::gateway
