#pragma once

#include <optional>
#include <string>

#include "common/error.h"
#include "forward/protocol.h"
#include "forward/retry_rules.h"
#include "http/body_end.h"
#include "quarantine/fingerprint.h"
#include "routing/policy.h"
#include "stream_versions/version_core.h"

/// All log events about a request; docs/operations/gateway.md lists them.
namespace calicodrift::forward {

/// Fields of a refusal's log event besides the error.
struct RefusalFacts {
  std::string requestId;
  ConfigVersion config;
  /// Age of the proof that the configuration was the newest.
  Milliseconds proofAge{0};
  AttemptCount attempts;
  BackendId server;
};

/// Fields of the log event for a dispatch.
struct DispatchFacts {
  const Request& request;
  const Grant& grant;
  const Dispatch& dispatch;
  const routing::Candidate& candidate;
  std::string_view reason;
  std::size_t candidates = 0;
  std::size_t attempt = 0;
  /// Prompt tokens queued for prefill on the server, including the request's own.
  std::size_t waitingTokens = 0;
  /// Identifies the prompt's common prefix within its cache scope.
  std::uint64_t prefix = 0;
  /// How long newer weights than the server's have been named; empty if it has the newest.
  std::optional<Milliseconds> outdatedFor;
  /// Source of the knowledge about newer weights; empty if there are none.
  std::string_view outdatedBy;
  /// Uptime of this node, which can't know the age of what it has only just discovered.
  Milliseconds upFor{0};
  /// Age of the other nodes' load data that the choice used; empty if there was none.
  std::optional<Milliseconds> peerLoadAge;
  /// Counts of servers that were not usable: those chosen before that were at their announced
  /// limits, and those that asked to receive no requests for now.
  std::size_t atLimitCount = 0;
  std::size_t restingCount = 0;
};

void logDispatched(const DispatchFacts& facts);
/// Wait in which a caller left if the event loop has not reported its close yet.
inline constexpr std::string_view kUnreportedClose = "unreported";
/// Fields of the log event for a request that its server is about to get.
struct SendFacts {
  const RequestId& id;
  const BackendId& server;
  /// The wait in which the caller left; empty if it is there.
  std::string_view callerLeftIn{};
  /// Time since it was last checked that the request may be sent, and since its server was chosen.
  Milliseconds sinceCheck{0};
  Milliseconds sinceDispatch{0};
  /// Time since its unit of the server's limit was asked for; empty if it needs none.
  std::optional<Milliseconds> unitAge{};
};
/// Logs a request whose caller has left, whose checks are old, or that uses a server's unit; the
/// event for the dispatch says enough of the others.
void logSent(const SendFacts& facts);
/// Logs how the version of a stream that a caller takes up was found.
void logStreamVersion(const Request& request, const stream_versions::Resolution& found);
void logRetried(const RequestId& id, const BackendId& server, const Error& cause);
/// Fields of the log event for an answer to a caller.
struct AnswerFacts {
  const RequestId& id;
  unsigned status = 0;
  const BackendId& server;
  std::size_t sent = 0;
  /// Time to the end of the answer; for a stream also to its first chunk, and its longest pause.
  Milliseconds duration{0};
  std::optional<Milliseconds> firstChunk;
  Milliseconds longestPause{0};
  /// How long newer weights had been named when the server began.
  std::optional<Milliseconds> outdatedAtStart;
  /// How the body of the server's answer ended; empty if it is not known.
  std::optional<http::BodyEnd> bodyEnd;
};
void logAnswered(const AnswerFacts& facts);
/// Logs that requests were recalled from servers that had not begun them.
void logRecalled(const ModelId& model, WeightsVersion least, std::size_t count);
void logRefused(const RefusalFacts& facts, const Error& error);
void logBroken(const RequestId& id, const BackendId& server, const Error& error);
/// A request that was in flight at a server when the server's process ended.
struct InterruptionFacts {
  const RequestId& id;
  const quarantine::RequestFingerprint& fingerprint;
  /// Ids of the parts of the prompt, separated by commas.
  const std::string& promptParts;
  /// How long the request had been in flight.
  Milliseconds underWay{0};
  /// How long ago the first bytes of the answer had arrived; empty if none had.
  std::optional<Milliseconds> begunFor;
  const BackendId& server;
  const Error& cause;
};
/// Logs that a server's process ended while it was running the request.
void logServerEnded(const InterruptionFacts& facts);
void logCancelled(const RequestId& id, const Error& error);

}  // namespace calicodrift::forward
