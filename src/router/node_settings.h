#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "control/control_plane.h"
#include "settings/table.h"

namespace calicodrift::router {

/// Everything that a router node is told at its start. The table in the .cc drives --help, the
/// check and the reference page.
struct NodeSettings {
  std::string nodeId;
  std::string zone;
  std::string region;
  Endpoint listen;
  Endpoint peerListen;
  std::vector<Endpoint> seeds;
  std::vector<Endpoint> objectApi;
  std::vector<Endpoint> machineList;
  std::vector<std::string> trustedSigners;
  std::int64_t requiredSignatures = 0;
  Milliseconds storePollInterval{0};
  Milliseconds machineListInterval{0};
  Milliseconds probeInterval{0};
  Milliseconds probeTimeout{0};
  Milliseconds connectTimeout{0};
  Milliseconds engineHeaderTimeout{0};
  Milliseconds engineTokenTimeout{0};
  Milliseconds defaultDeadline{0};
  std::int64_t maxAttempts = 0;
  std::int64_t retryBudgetPercent = 0;
  std::int64_t fleetNodes = 0;
  Milliseconds limitLease{0};
  std::int64_t maxBodyBytes = 0;
  std::int64_t maxHeaderBytes = 0;
  std::int64_t maxConnections = 0;
  Milliseconds readTimeout{0};
  Milliseconds idleTimeout{0};
  Milliseconds writeTimeout{0};
  Milliseconds drainTimeout{0};
  Milliseconds memberProbeInterval{0};
  Milliseconds memberProbeTimeout{0};
  std::int64_t memberIndirectProbes = 0;
  Milliseconds memberSuspicionTimeout{0};
  Milliseconds memberTombstoneRetention{0};
  Milliseconds memberJoinRetry{0};
  std::int64_t orderLeaseCandidates = 0;
  Milliseconds orderLeaseDuration{0};
  Milliseconds orderLeaseRenewInterval{0};
  Milliseconds orderInterval{0};
  Milliseconds weightsLoadTimeout{0};
  Milliseconds claimClockBound{0};
  Milliseconds claimRetention{0};
  Milliseconds claimTimeout{0};
  std::int64_t claimMaxRecords = 0;
  Milliseconds claimViewChangeDelay{0};
};

const settings::SettingsTable<NodeSettings>& nodeSettingsTable();

/// Settings of a node's control side that starts now.
control::ControlPlaneSettings controlPlaneSettings(const NodeSettings& settings,
                                                   const Endpoint& peerEndpoint);

}  // namespace calicodrift::router
