#pragma once

#include <cstddef>
#include <string>

#include "common/clock.h"
#include "forward/cache_moves.h"
#include "forward/queue_admission.h"
#include "server_paths/server_paths.h"

namespace calicodrift::forward {

/// Settings for sending requests to servers.
struct ForwardSettings {
  /// Names of the routing policies for requests with a model and for all others.
  std::string modelPolicy;
  std::string servicePolicy;
  Milliseconds connectTimeout{300};
  /// A connection is closed if the server doesn't acknowledge sent bytes for this long.
  Milliseconds unacknowledgedTimeout{4000};
  /// An idempotent request fails over if no part of its answer has arrived within this multiple of
  /// its target latency.
  double failoverTargets = 3.5;
  /// The same after the first bytes of a stream, and after the last byte of an answer whose end has
  /// to be proven.
  Milliseconds maxServerSilence = server_paths::kMaxServerSilence;
  /// A server that refused a request receives none for this long.
  Milliseconds refusalPause{250};
  /// The same if newer weights than the server's were named, because it may be loading them; it is
  /// used again as soon as it reports them.
  Milliseconds weightsLoadPause{1000};
  /// Retry-After for refused callers if the error has no retry time of its own.
  Milliseconds retryAfter{300};
  /// No request begins on outdated weights later than this after newer ones were named.
  Milliseconds outdatedStartBound{8000};
  /// Retry budget: retries earned per request, and a floor for nodes with few requests: retries per
  /// second and the most that accumulate.
  double retryFraction = 0.15;
  double retryFloorPerSecond = 0.3;
  double retryFloorBurst = 3;
  /// Most bytes that are held of an answer that is not a stream; see AttemptBounds.
  std::size_t maxHeldAnswerBytes = 65'536;
  /// Whether a failed request may go to another server at all.
  bool retries = true;
  /// Whether a request fails over from a server that has not sent the head of its answer, or the
  /// next event, in time.
  bool failoverOnSilence = true;
  /// Whether requests that no server can begin in time are refused.
  bool queueAdmission = true;
  /// Whether the prefill rates of servers are learnt.
  bool learnPrefillRates = true;
  CacheMoveSettings cacheMoves;
  QueueAdmissionSettings admission;
};

}  // namespace calicodrift::forward
