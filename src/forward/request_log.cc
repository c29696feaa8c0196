#include "forward/request_log.h"

#include <cmath>

#include "log/log.h"
#include "routing/cost.h"

namespace calicodrift::forward {
namespace {

std::string nameOf(const Error& error) {
  return std::string(errorRow(error.kind).name);
}

/// Returns an empty string if there is no value.
std::string textOf(const std::optional<Milliseconds>& time) {
  return time ? std::to_string(time->count()) : "";
}

}  // namespace

void logDispatched(const DispatchFacts& facts) {
  const std::optional<Endpoint>& source = facts.dispatch.fetchCacheFrom;
  log::write(
      log::Level::kInfo, "request_dispatched",
      {{"id", facts.request.id.value()},
       {"server", facts.dispatch.server.id.value()},
       {"version", facts.dispatch.server.version.value()},
       {"resumes", facts.request.resumes ? facts.request.resumes->value() : ""},
       {"reason", std::string(facts.reason)},
       {"route", facts.grant.route->name},
       {"tenant", facts.grant.tenant != nullptr ? facts.grant.tenant->id.value() : ""},
       {"config", std::to_string(facts.grant.table->version().value())},
       {"weights", std::to_string(facts.candidate.weights.value())},
       {"candidates", std::to_string(facts.candidates)},
       {"outstanding", std::to_string(facts.candidate.outstanding)},
       {"attempt", std::to_string(facts.attempt)},
       {"waiting_tokens", std::to_string(facts.waitingTokens)},
       {"expected_wait_ms", std::to_string(std::lround(routing::expectedWaitMs(facts.candidate)))},
       {"way_ms", std::to_string(std::lround(facts.candidate.rttMs))},
       {"outdated_ms", textOf(facts.outdatedFor)},
       {"outdated_by", std::string(facts.outdatedBy)},
       {"up_ms", std::to_string(facts.upFor.count())},
       {"peer_load_ms", textOf(facts.peerLoadAge)},
       {"at_limits", std::to_string(facts.atLimitCount)},
       {"at_rest", std::to_string(facts.restingCount)},
       {"prefix", std::to_string(facts.prefix)},
       {"fetch", source ? source->toString() : ""}});
}

void logSent(const SendFacts& facts) {
  /// More than a round trip between two zones, and a connection.
  constexpr Milliseconds kNotableWait{50};
  const bool waited = facts.sinceCheck >= kNotableWait;
  if (facts.callerLeftIn.empty() && !waited && !facts.unitAge) {
    return;
  }
  log::write(log::Level::kInfo, "request_sent",
             {{"id", facts.id.value()},
              {"server", facts.server.value()},
              {"caller", facts.callerLeftIn.empty() ? "present" : "left"},
              {"left_in", std::string(facts.callerLeftIn)},
              {"checked_ms", std::to_string(facts.sinceCheck.count())},
              {"chosen_ms", std::to_string(facts.sinceDispatch.count())},
              {"unit_ms", textOf(facts.unitAge)}});
}

void logStreamVersion(const Request& request, const stream_versions::Resolution& found) {
  log::write(log::Level::kInfo, "stream_version",
             {{"id", request.id.value()},
              {"resumes", request.resumes ? request.resumes->value() : ""},
              {"source", std::string(toString(found.source))},
              {"version", found.version.value()},
              {"age_ms", textOf(found.age)}});
}

void logRetried(const RequestId& id, const BackendId& server, const Error& cause) {
  log::write(log::Level::kInfo, "request_retried",
             {{"id", id.value()},
              {"server", server.value()},
              {"cause", nameOf(cause)},
              {"detail", cause.detail}});
}

void logAnswered(const AnswerFacts& facts) {
  log::write(log::Level::kInfo, "request_answered",
             {{"id", facts.id.value()},
              {"status", std::to_string(facts.status)},
              {"server", facts.server.value()},
              {"sent", std::to_string(facts.sent)},
              {"ms", std::to_string(facts.duration.count())},
              {"first_ms", textOf(facts.firstChunk)},
              {"pause_ms", std::to_string(facts.longestPause.count())},
              {"begun_outdated_ms", textOf(facts.outdatedAtStart)},
              {"end", std::string(facts.bodyEnd ? toString(*facts.bodyEnd) : "")}});
}

void logRecalled(const ModelId& model, WeightsVersion least, std::size_t count) {
  log::write(log::Level::kInfo, "waiting_recalled",
             {{"model", model.value()},
              {"least", std::to_string(least.value())},
              {"count", std::to_string(count)}});
}

void logRefused(const RefusalFacts& facts, const Error& error) {
  log::write(log::Level::kWarning, "request_refused",
             {{"id", facts.requestId},
              {"cause", nameOf(error)},
              {"run", std::string(toString(errorRow(error.kind).run))},
              {"config", std::to_string(facts.config.value())},
              {"config_proof_ms", std::to_string(facts.proofAge.count())},
              {"sent", std::to_string(facts.attempts.sent)},
              {"server", facts.server.value()},
              {"detail", error.detail}});
}

void logBroken(const RequestId& id, const BackendId& server, const Error& error) {
  log::write(log::Level::kWarning, "request_broken",
             {{"id", id.value()},
              {"server", server.value()},
              {"cause", nameOf(error)},
              {"reason", std::string(error.reason)},
              {"detail", error.detail}});
}

void logServerEnded(const InterruptionFacts& facts) {
  log::write(log::Level::kWarning, "server_ended_under_request",
             {{"id", facts.id.value()},
              {"request", quarantine::toString(facts.fingerprint)},
              {"parts", facts.promptParts},
              {"under_way_ms", std::to_string(facts.underWay.count())},
              {"begun_ms", textOf(facts.begunFor)},
              {"server", facts.server.value()},
              {"cause", nameOf(facts.cause)}});
}

void logCancelled(const RequestId& id, const Error& error) {
  log::write(log::Level::kInfo, "request_cancelled",
             {{"id", id.value()}, {"detail", error.detail}});
}

}  // namespace calicodrift::forward
