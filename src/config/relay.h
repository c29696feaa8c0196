#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "common/clock.h"
#include "config/bundle_holder.h"
#include "config/download.h"
#include "config/freshness_tracker.h"
#include "config/messages.h"
#include "config/metrics.h"
#include "config/roster.h"
#include "peer/transport.h"

namespace calicodrift::config {

struct RelaySettings {
  /// Number of peers to which each node that adopts a new version announces it.
  std::size_t announcedInZone = 4;
  std::size_t announcedElsewhere = 2;
  /// Interval between two status queries.
  Milliseconds queryInterval{1000};
  /// Limit on the pieces sent to peers, so that many nodes restarting at once cannot overload this
  /// one.
  std::size_t piecesPerSecond = 800;
};

/// Distributes bundles and confirmations between nodes. Performs no I/O of its own and reads no
/// clock.
///
/// A node that adopts a version announces it once to a few peers, which fetch it as a delta from
/// their own text and announce it in turn. A node that missed the announcement learns of the
/// version from the status query that each node sends to a peer every second. Received bundles are
/// adopted through the BundleHolder only, so no message can activate an unsigned, incomplete or
/// older bundle.
class Relay {
 public:
  Relay(RelaySettings settings, peer::Transport& transport, Roster& roster, BundleHolder& holder,
        FreshnessTracker& freshness, ConfigMetrics& metrics, std::uint64_t seed);

  /// Handles a message on Channel::kConfig.
  void receive(const Endpoint& from, std::string_view payload, MonotonicTime now);
  /// Must be called about ten times a second.
  void tick(MonotonicTime now);
  /// Announces the active version unless that was already done. Must be called after an adoption.
  void announceIfNew(MonotonicTime now);

 private:
  void handle(const Endpoint& from, const StatusQuery& query, MonotonicTime now);
  void handle(const Endpoint& from, const StatusReply& reply, MonotonicTime now);
  void handle(const Endpoint& from, const Announcement& announcement, MonotonicTime now);
  void handle(const Endpoint& from, const PieceRequest& request, MonotonicTime now);
  void handle(const Endpoint& from, const Piece& piece, MonotonicTime now);

  void send(const Endpoint& to, const RelayMessage& message);
  void sendStatusQueries(MonotonicTime now);
  void sendQuery(const Endpoint& to, MonotonicTime now);
  /// Handles the fact that a peer has this version active.
  void handlePeerVersion(BundleVersion version, BundleDigest digest, const Endpoint& from,
                         MonotonicTime now);
  void continueDownload(MonotonicTime now);
  void finishDownload(MonotonicTime now);
  /// Encoded transfer from `base` to the active version.
  const std::string& transferFrom(BundleDigest base);
  Result<bundle::SignedBundle> assemble(const Download& download) const;

  RelaySettings settings_;
  peer::Transport& transport_;
  Roster& roster_;
  BundleHolder& holder_;
  FreshnessTracker& freshness_;
  ConfigMetrics& metrics_;
  std::mt19937_64 random_;
  BundleDigest announced_;
  std::optional<Download> download_;
  /// Peers whose text with this digest failed verification, and the time until which it is not
  /// fetched from them again. Other peers may have the same text with valid signatures.
  std::map<std::pair<BundleDigest, Endpoint>, MonotonicTime> rejections_;
  std::map<BundleDigest, std::string> transfers_;
  std::unordered_map<std::uint64_t, MonotonicTime> querySentAt_;
  MonotonicTime nextQuery_{};
  int unansweredQueries_ = 0;
  double servingBudget_ = 0;
  MonotonicTime budgetAt_{};
};

}  // namespace calicodrift::config
