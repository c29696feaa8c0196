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

/// The pieces of one transfer as they arrive, and which to ask for again from whom. Does no I/O:
/// the relay sends what nextRequest() says.
class Download {
 public:
  /// @param base text that this node holds, 0 for none.
  Download(BundleVersion version, BundleDigest target, BundleDigest base, const Endpoint& source);

  BundleVersion version() const { return version_; }
  BundleDigest target() const { return target_; }
  BundleDigest base() const { return base_; }
  /// Another peer that has the target in force; the one heard of last is asked first, as it is
  /// the most likely to be alive.
  void addSource(const Endpoint& source);
  /// Takes a piece of this transfer; others are ignored.
  void take(const Piece& piece);
  bool complete() const;
  /// All pieces in order; only where complete().
  std::string bytes() const;
  /// Starts anew for the whole text: the delta was of no use.
  void restartWhole();
  /// The peer that is asked now.
  const Endpoint& source() const { return sources_.front(); }
  void dropSource();

  struct Request {
    Endpoint to;
    PieceRequest message;
  };
  /// What to send now, or nothing while an answer may still come.
  std::optional<Request> nextRequest(MonotonicTime now);
  /// No source answers.
  bool abandoned() const { return sources_.empty(); }

 private:
  std::vector<std::uint16_t> missing() const;
  bool windowArrived() const;

  /// Pieces asked for at once.
  static constexpr std::size_t kWindow = 16;
  static constexpr std::size_t kMaxSources = 8;
  static constexpr std::size_t kMaxPieces = kMaxTextBytes / kPieceBytes;
  /// Unanswered requests to the last source left; the others are given up after one.
  static constexpr int kTriesOfLastSource = 3;
  /// First wait for an answer; doubles with each try of the same source.
  static constexpr Milliseconds kAnswerTimeout{250};

  BundleVersion version_;
  BundleDigest target_;
  BundleDigest base_;
  std::deque<Endpoint> sources_;
  /// Empty until the first piece tells their number.
  std::vector<std::optional<std::string>> pieces_;
  std::vector<std::uint16_t> asked_;
  MonotonicTime askedAt_{};
  int tries_ = 0;
};

}  // namespace calicodrift::config
