#pragma once

#include <string>

#include "common/clock.h"
#include "forward/cache_moves.h"
#include "forward/queue_admission.h"

namespace calicodrift::forward {

/// How requests are sent to servers.
struct ForwardSettings {
  /// Name of the routing policy for requests with a model, and for others.
  std::string modelPolicy;
  std::string servicePolicy;
  Milliseconds connectTimeout{300};
  /// Written bytes that a server doesn't acknowledge for so long break the connection.
  Milliseconds unacknowledgedTimeout{1000};
  /// An idempotent request moves on where nothing of its answer has come within so many times its
  /// target latency.
  double patienceTargets = 3.5;
  /// Longest pause between two events of a stream that can go on elsewhere.
  Milliseconds eventTimeout{1500};
  /// A server that refused gets nothing for so long.
  Milliseconds refusalPause{250};
  /// The same where newer weights than its own were named, as it may be loading them; it is used
  /// again as soon as it shows them.
  Milliseconds loadPause{1000};
  /// When a refused caller should come back.
  Milliseconds retryAfter{300};
  /// No request begins on older weights so long after newer ones were named.
  Milliseconds weightsBound{8000};
  /// Second dispatches that one request earns, and those of a quiet node a second and at once.
  double retryFraction = 0.15;
  double retryFloorPerSecond = 0.3;
  double retryFloorBurst = 3;
  /// Whether a failed request may go to another server at all.
  bool retries = true;
  /// Whether a request leaves a server that is silent for longer than its patience.
  bool movesOn = true;
  /// Whether requests that no server can begin with in time are refused.
  bool admit = true;
  /// Whether the speed of servers is learnt.
  bool learnRates = true;
  CacheMoveSettings cacheMoves;
  QueueAdmissionSettings admission;
};

}  // namespace calicodrift::forward
