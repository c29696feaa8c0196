#pragma once

#include <optional>
#include <string>

#include "common/error.h"
#include "forward/protocol.h"
#include "forward/retry_rules.h"
#include "quarantine/fingerprint.h"
#include "routing/policy.h"

/// The log lines that name a request, all in one place; docs/operations/gateway.md lists them.
namespace calicodrift::forward {

/// What a refusal's line tells beside the error.
struct RefusalFacts {
  std::string requestId;
  ConfigVersion config;
  /// Age of the proof that it was the newest.
  Milliseconds proofAge{0};
  AttemptCount attempts;
  BackendId server;
};

/// A server was chosen.
struct DispatchFacts {
  const Request& request;
  const Grant& grant;
  const Dispatch& dispatch;
  const routing::Candidate& candidate;
  std::string_view reason;
  std::size_t candidates = 0;
  std::size_t attempt = 0;
  /// Prompt tokens to prefill there, the request's own with them.
  std::size_t waitingTokens = 0;
  /// Names the prompt's common part under its cache scope.
  std::uint64_t prefix = 0;
  /// For how long newer weights than the server's have been named; nothing where it has the newest.
  std::optional<Milliseconds> outdatedFor;
  /// How this node knows of those newer weights; empty where there are none.
  std::string_view outdatedBy;
  /// For how long this node has been up: what it has only just found it can't know the age of.
  Milliseconds upFor{0};
  /// How old the other nodes' load is that the choice went by; nothing where none was told.
  std::optional<Milliseconds> peerLoadAge;
  /// Servers that it could not go to: those chosen before that were at the limits that they name,
  /// and those at rest.
  std::size_t atLimits = 0;
  std::size_t atRest = 0;
};

void logDispatched(const DispatchFacts& facts);
void logRetried(const RequestId& id, const BackendId& server, const Error& cause);
/// How an answer reached its caller.
struct AnswerFacts {
  const RequestId& id;
  unsigned status = 0;
  const BackendId& server;
  std::size_t sent = 0;
  /// Until its end; of a stream also until its first piece, and its longest pause.
  Milliseconds duration{0};
  std::optional<Milliseconds> firstPiece;
  Milliseconds longestPause{0};
  /// For how long newer weights had been named when the server began.
  std::optional<Milliseconds> begunOutdatedFor;
};
void logAnswered(const AnswerFacts& facts);
/// Requests were taken back from servers that had not begun with them.
void logRecalled(const ModelId& model, WeightsVersion least, std::size_t count);
void logRefused(const RefusalFacts& facts, const Error& error);
void logBroken(const RequestId& id, const BackendId& server, const Error& error);
/// A server's process has ended while the request was under way there.
void logServerEnded(const RequestId& id, const quarantine::RequestFingerprint& fingerprint,
                    const BackendId& server, const Error& cause);
void logCancelled(const RequestId& id);

}  // namespace calicodrift::forward
