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
#include "config/messages.h"
#include "config/metrics.h"
#include "config/roster.h"
#include "config/vouching.h"
#include "peer/transport.h"

namespace calicodrift::config {

struct RelaySettings {
  /// Peers that hear of a new version from each node that adopts it.
  std::size_t announcedInZone = 4;
  std::size_t announcedElsewhere = 2;
  /// Between two questions for a peer's version and confirmation.
  Milliseconds queryInterval{1000};
  /// Bound on what peers are sent, so that a herd of fresh nodes can't take up this one.
  std::size_t piecesPerSecond = 800;
};

/// Carries bundles and confirmations between nodes. Does no I/O of its own and reads no clock.
///
/// A node that adopts a version announces it once to a few peers, who fetch it as a delta from
/// their own text and announce it in turn. Whoever missed that learns of it from the question that
/// each node asks a peer every second. What arrives is adopted through the BundleHolder only, so
/// no message can bring an unsigned, half or older bundle into force.
class Relay {
 public:
  Relay(RelaySettings settings, peer::Transport& transport, Roster& roster, BundleHolder& holder,
        Vouching& vouching, ConfigMetrics& metrics, std::uint64_t seed);

  /// A message of Channel::kConfig.
  void receive(const Endpoint& from, std::string_view payload, MonotonicTime now);
  /// To be called about ten times a second.
  void tick(MonotonicTime now);
  /// Announces the version in force where that has not been done. To be called after an adoption.
  void announceIfNew(MonotonicTime now);

 private:
  void handle(const Endpoint& from, const StatusQuery& query, MonotonicTime now);
  void handle(const Endpoint& from, const StatusReply& reply, MonotonicTime now);
  void handle(const Endpoint& from, const Announcement& announcement, MonotonicTime now);
  void handle(const Endpoint& from, const PieceRequest& request, MonotonicTime now);
  void handle(const Endpoint& from, const Piece& piece, MonotonicTime now);

  void send(const Endpoint& to, const RelayMessage& message);
  void askForStatus(MonotonicTime now);
  void sendQuery(const Endpoint& to, MonotonicTime now);
  /// A peer has this version in force.
  void heardOf(BundleVersion version, BundleDigest digest, const Endpoint& from, MonotonicTime now);
  void continueDownload(MonotonicTime now);
  void finishDownload(MonotonicTime now);
  /// The whole transfer from `base` to the version in force, encoded.
  const std::string& transferFrom(BundleDigest base);
  Result<bundle::SignedBundle> assemble(const Download& download) const;

  RelaySettings settings_;
  peer::Transport& transport_;
  Roster& roster_;
  BundleHolder& holder_;
  Vouching& vouching_;
  ConfigMetrics& metrics_;
  std::mt19937_64 random_;
  BundleDigest announced_;
  std::optional<Download> download_;
  /// Peers whose text under a digest failed the verification, and until when it is not fetched
  /// from them again. Others may have the same text with better signatures.
  std::map<std::pair<BundleDigest, Endpoint>, MonotonicTime> refused_;
  std::map<BundleDigest, std::string> transfers_;
  std::unordered_map<std::uint64_t, MonotonicTime> askedAt_;
  MonotonicTime nextQuery_{};
  int unanswered_ = 0;
  double servingBudget_ = 0;
  MonotonicTime budgetAt_{};
};

}  // namespace calicodrift::config
