#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "config/messages.h"

namespace calicodrift::config {

/// Collects the pieces of one transfer and decides which to request next from which peer. Performs
/// no I/O: the relay sends the result of nextRequest().
class Download {
 public:
  /// @param base digest of the text that this node holds, 0 for none.
  Download(BundleVersion version, BundleDigest target, BundleDigest base, const Endpoint& source);

  BundleVersion version() const { return version_; }
  BundleDigest target() const { return target_; }
  BundleDigest base() const { return base_; }
  /// Adds a peer that has the target active. The peer heard from last is asked first, because it is
  /// the most likely to be alive.
  void addSource(const Endpoint& source);
  /// Stores a piece of this transfer; other pieces are ignored.
  void addPiece(const Piece& piece);
  bool complete() const;
  /// Concatenation of all pieces. Requires complete().
  std::string bytes() const;
  /// Restarts the download with the full text because the delta could not be used.
  void restartWithFullText();
  /// Peer that is currently asked.
  const Endpoint& source() const { return sources_.front(); }
  void dropSource();

  struct Request {
    Endpoint to;
    PieceRequest message;
  };
  /// Next request to send, or nullopt while a reply may still arrive.
  std::optional<Request> nextRequest(MonotonicTime now);
  /// True if no source is left.
  bool abandoned() const { return sources_.empty(); }

 private:
  std::vector<std::uint16_t> missing() const;
  bool windowArrived() const;

  /// Number of pieces requested at a time.
  static constexpr std::size_t kWindow = 16;
  static constexpr std::size_t kMaxSources = 8;
  static constexpr std::size_t kMaxPieces = peer::kMaxTextBytes / kPieceBytes;
  /// Number of unanswered requests after which the last remaining source is dropped; other sources
  /// are dropped after one.
  static constexpr int kLastSourceAttempts = 3;
  /// Initial reply timeout; doubled with each attempt on the same source.
  static constexpr Milliseconds kAnswerTimeout{250};

  BundleVersion version_;
  BundleDigest target_;
  BundleDigest base_;
  std::deque<Endpoint> sources_;
  /// Empty until the first piece reports the number of pieces.
  std::vector<std::optional<std::string>> pieces_;
  std::vector<std::uint16_t> requestedPieces_;
  MonotonicTime requestedAt_{};
  int attempts_ = 0;
};

}  // namespace calicodrift::config
