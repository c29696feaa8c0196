#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "gateway/mechanisms.h"
#include "settings/table.h"

namespace calicodrift::gateway {

/// Everything that a gateway is told at its start. The table in the .cc drives --help, the check
/// and the reference page.
struct GatewaySettings {
  std::string nodeId;
  std::string zone;
  Endpoint listen;
  Endpoint readyListen;
  /// Port 0: none.
  Endpoint metricsListen;
  Endpoint store;
  /// Empty: the system chooses.
  std::string sourceAddress;
  /// Port 0: the node reads the store itself.
  Endpoint relayListen;
  std::string relayGroup;
  /// All groups of the fleet; the same one may stand there more than once.
  std::vector<std::string> relayGroups;
  /// The region of each zone, "zone=region".
  std::vector<std::string> zoneRegions;
  Milliseconds regionWay{0};
  std::int64_t relayMaxFollowers = 0;
  /// Whether all nodes of the fleet start for the first time.
  bool firstStart = false;
  Milliseconds relayProofAge{0};
  /// Mechanisms that are off, by name; and the same as switches.
  std::vector<std::string> without;
  Mechanisms mechanisms;
  std::string modelPolicy;
  std::string servicePolicy;
  std::int64_t prefillTokensPerMs = 0;
  Milliseconds configWatch{0};
  Milliseconds configChangePause{0};
  Milliseconds configProofAge{0};
  Milliseconds configReadAge{0};
  Milliseconds serverReadAge{0};
  Milliseconds serverWatch{0};
  Milliseconds serverChangePause{0};
  Milliseconds weightsWatch{0};
  Milliseconds keyProofAge{0};
  Milliseconds absenceProofAge{0};
  Milliseconds connectTimeout{0};
  Milliseconds unacknowledgedTimeout{0};
  Milliseconds refusalPause{0};
  Milliseconds retryAfter{0};
  std::int64_t retryPercent = 0;
  std::int64_t retryFloor = 0;
  Milliseconds streamLife{0};
  /// Bounds of the deployment; bounds.h says what follows from them.
  Milliseconds weightsBound{0};
  Milliseconds revocationBound{0};
  Milliseconds configBound{0};
  Milliseconds drainBound{0};
  double stopBoundSeconds = 0;
  Milliseconds leaseBound{0};
  double linkMbps = 0;
  /// How far the sum over all nodes may pass a tenant's limit.
  double limitWindowSeconds = 0;
  double limitOvershoot = 0;
  double limitSlack = 0;
  /// Most of a service's requests that a candidate of a roll-out may get up to its deadline, and so
  /// many beside; 0: versions are not told apart, and roll-outs are not served.
  double rolloutExposureShare = 0;
  double rolloutExposureSlack = 0;
  /// From a bad candidate's last tolerated answer to the last request that it gets.
  Milliseconds rolloutStopBound{0};
  /// How old the views may be by which a candidate gets requests.
  Milliseconds rolloutPermitTerm{0};
  Milliseconds rolloutIdleWatch{0};
  Milliseconds weightsTerm{0};
  Milliseconds weightsWait{0};
  std::int64_t maxConcurrentLoads = 0;
  Milliseconds leaseDuration{0};
  Milliseconds leaseRenewInterval{0};
  Milliseconds drainAccept{0};
  Milliseconds drainTimeout{0};
  std::int64_t maxConnections = 0;
  Milliseconds maxLoopDelay{0};
  std::int64_t maxTunnels = 0;
  /// In megabytes.
  std::int64_t heldRequestsMb = 0;
  /// In kilobytes.
  std::int64_t heldAnswerKb = 0;
  Milliseconds writeTimeout{0};
};

const settings::SettingsTable<GatewaySettings>& gatewaySettingsTable();

}  // namespace calicodrift::gateway
