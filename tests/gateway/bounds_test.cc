#include "gateway/bounds.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::gateway {
namespace {

GatewaySettings makeSettings() {
  return settings::defaultSettings(gatewaySettingsTable());
}

BOOST_AUTO_TEST_CASE(settingsFollowFromTheBoundsWithAMargin) {
  GatewaySettings settings = makeSettings();
  settings.weightsBound = Milliseconds(10'000);
  settings.revocationBound = Milliseconds(5000);
  settings.stopBoundSeconds = 15;
  settings.leaseBound = Milliseconds(3000);
  BOOST_REQUIRE(applyBounds(settings));
  BOOST_TEST(settings.weightsTerm == Milliseconds(7500));
  BOOST_TEST(settings.weightsWait == Milliseconds(9500));
  BOOST_TEST(settings.keyProofAge == Milliseconds(3800));
  BOOST_TEST(settings.drainTimeout == Milliseconds(14'700));
  BOOST_TEST(settings.leaseDuration == Milliseconds(2500));
  BOOST_TEST(settings.drainAccept == Milliseconds(2500));
}

BOOST_AUTO_TEST_CASE(shorterBoundsGiveShorterSettings) {
  GatewaySettings settings = makeSettings();
  settings.weightsBound = Milliseconds(6000);
  settings.revocationBound = Milliseconds(3000);
  settings.stopBoundSeconds = 5.5;
  settings.leaseBound = Milliseconds(1500);
  BOOST_REQUIRE(applyBounds(settings));
  BOOST_TEST(settings.weightsTerm == Milliseconds(4000));
  BOOST_TEST(settings.weightsWait == Milliseconds(5500));
  BOOST_TEST(settings.keyProofAge == Milliseconds(1800));
  BOOST_TEST(settings.drainTimeout == Milliseconds(5200));
  BOOST_TEST(settings.drainAccept < Milliseconds(1800));
  BOOST_TEST(settings.leaseDuration == Milliseconds(1000));
  // Two renewals may fail before the lease lapses.
  BOOST_TEST(3 * settings.leaseRenewInterval <= settings.leaseDuration);
}

BOOST_AUTO_TEST_CASE(whatIsGivenGoesBeforeTheBound) {
  GatewaySettings settings = makeSettings();
  settings.keyProofAge = Milliseconds(700);
  BOOST_REQUIRE(applyBounds(settings));
  BOOST_TEST(settings.keyProofAge == Milliseconds(700));
}

BOOST_AUTO_TEST_CASE(boundThatCannotBeKeptIsAnErrorThatNamesIt) {
  GatewaySettings settings = makeSettings();
  settings.weightsBound = Milliseconds(2000);
  const auto derived = applyBounds(settings);
  BOOST_REQUIRE(!derived);
  BOOST_TEST((derived.error().kind == ErrorKind::kSettingsInvalid));
  BOOST_TEST(derived.error().detail.find("weights-bound-ms") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requestsAreNotTakenBackWhileTheyAreStillSent) {
  GatewaySettings settings = makeSettings();
  settings.weightsTerm = Milliseconds(7600);
  const auto derived = applyBounds(settings);
  BOOST_REQUIRE(!derived);
  BOOST_TEST((derived.error().kind == ErrorKind::kSettingsInvalid));
  BOOST_TEST(derived.error().detail.find("weights-wait-ms") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(limitsWithoutAnyExcessAreAnErrorThatNamesThem) {
  GatewaySettings settings = makeSettings();
  settings.limitOvershoot = 0;
  const auto derived = applyBounds(settings);
  BOOST_REQUIRE(!derived);
  BOOST_TEST((derived.error().kind == ErrorKind::kSettingsInvalid));
  BOOST_TEST(derived.error().detail.find("limit-overshoot") != std::string::npos);
  settings.limitSlack = 5;
  BOOST_TEST(applyBounds(settings).has_value());
}

BOOST_AUTO_TEST_CASE(viewsAreReadFromTheStoreWellBeforeTheirBounds) {
  for (const int bound : {2000, 3000, 4000}) {
    GatewaySettings settings = makeSettings();
    settings.configBound = Milliseconds(bound);
    settings.drainBound = Milliseconds(bound);
    BOOST_REQUIRE(applyBounds(settings));
    BOOST_TEST(settings.configReadAge == Milliseconds(bound * 3 / 5));
    BOOST_TEST(settings.serverReadAge == Milliseconds(bound * 3 / 5));
    // Above the age at which roots and their children look for another source.
    BOOST_TEST(settings.configReadAge > settings.relayProofAge + Milliseconds(150));
  }
}

BOOST_AUTO_TEST_CASE(boundsOfViewsThatTheTreeCannotKeepAreReadAsEarlyAsACalmDayAllows) {
  for (const bool configuration : {true, false}) {
    for (const int bound : {1002, 1700, 1800}) {
      GatewaySettings settings = makeSettings();
      (configuration ? settings.configBound : settings.drainBound) = Milliseconds(bound);
      const auto derived = applyBounds(settings);
      BOOST_REQUIRE(derived);
      const Milliseconds age = configuration ? settings.configReadAge : settings.serverReadAge;
      BOOST_TEST(age == settings.relayProofAge + Milliseconds(1));
      BOOST_TEST(age < Milliseconds(bound));
      const std::string name = configuration ? "config" : "drain";
      BOOST_TEST(describeDerived(derived.value())
                     .find("| 1001 ms | " + name +
                           "-bound-ms is too short to be kept by the tree: read at 1001 ms |") !=
                 std::string::npos);
    }
    GatewaySettings settings = makeSettings();
    (configuration ? settings.configBound : settings.drainBound) = Milliseconds(1801);
    const auto derived = applyBounds(settings);
    BOOST_REQUIRE(derived);
    BOOST_TEST(describeDerived(derived.value()).find("too short") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(boundsOfViewsBelowWhatACalmDayTakesAreErrorsThatNameThem) {
  for (const bool configuration : {true, false}) {
    for (const int bound : {700, 900, 1001}) {
      GatewaySettings settings = makeSettings();
      (configuration ? settings.configBound : settings.drainBound) = Milliseconds(bound);
      const auto derived = applyBounds(settings);
      BOOST_REQUIRE(!derived);
      BOOST_TEST((derived.error().kind == ErrorKind::kSettingsInvalid));
      const char* name = configuration ? "config-bound-ms" : "drain-bound-ms";
      BOOST_TEST(derived.error().detail.find(name) != std::string::npos);
      BOOST_TEST(derived.error().detail.find("below 1002 ms") != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(agesOfReadingThatAreGivenTooShortAreErrorsThatNameThem) {
  for (const bool configuration : {true, false}) {
    GatewaySettings settings = makeSettings();
    (configuration ? settings.configReadAge : settings.serverReadAge) = settings.relayProofAge;
    const auto derived = applyBounds(settings);
    BOOST_REQUIRE(!derived);
    BOOST_TEST((derived.error().kind == ErrorKind::kSettingsInvalid));
    const char* name = configuration ? "config-read-age-ms" : "server-read-age-ms";
    BOOST_TEST(derived.error().detail.find(name) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(slowerLinksHaveFewerFollowers) {
  GatewaySettings settings = makeSettings();
  settings.linkMbps = 20;
  BOOST_REQUIRE(applyBounds(settings));
  BOOST_TEST(settings.relayMaxFollowers == 5);
  settings = makeSettings();
  settings.linkMbps = 1;
  BOOST_REQUIRE(applyBounds(settings));
  BOOST_TEST(settings.relayMaxFollowers == 2);
  settings = makeSettings();
  settings.linkMbps = 20;
  settings.relayMaxFollowers = 9;
  BOOST_REQUIRE(applyBounds(settings));
  BOOST_TEST(settings.relayMaxFollowers == 9);
}

BOOST_AUTO_TEST_CASE(permitsOfRollOutsAreAPartOfTheTimeToStopABadCandidate) {
  GatewaySettings settings = makeSettings();
  settings.rolloutStopBound = Milliseconds(5000);
  BOOST_REQUIRE(applyBounds(settings));
  BOOST_TEST(settings.rolloutPermitTerm == Milliseconds(1500));
  settings = makeSettings();
  settings.rolloutStopBound = Milliseconds(2000);
  BOOST_REQUIRE(applyBounds(settings));
  BOOST_TEST(settings.rolloutPermitTerm == Milliseconds(600));
}

BOOST_AUTO_TEST_CASE(theTableSaysWhereEachValueIsFrom) {
  GatewaySettings settings = makeSettings();
  const auto derived = applyBounds(settings);
  BOOST_REQUIRE(derived);
  const std::string table = describeDerived(derived.value());
  BOOST_TEST(table.find("| `weights-term-ms` | 6000 ms | weights-bound-ms - 2000 |") !=
             std::string::npos);
  BOOST_TEST(table.find("| `weights-wait-ms` | 7500 ms | weights-bound-ms - 500 |") !=
             std::string::npos);
  BOOST_TEST(table.find("lease-renew-interval-ms") != std::string::npos);
  BOOST_TEST(table.find("| `relay-max-followers` | 32 | link-mbps / 4, 2 to 32 |") !=
             std::string::npos);
}

}  // namespace
}  // namespace calicodrift::gateway
