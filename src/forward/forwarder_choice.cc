// Chooses a server for one dispatch of a job.

#include <algorithm>

#include "forward/allowed_servers.h"
#include "forward/forward_job.h"
#include "forward/trial_choice.h"
#include "limits/return_time.h"
#include "routing/cost.h"

namespace calicodrift::forward {

using service_rollout::Track;

namespace {

/// Servers whose permits a request asks for, one after the other, before it is refused. Each takes
/// a round trip, and a caller who cannot be served is told at once.
constexpr std::size_t kMaxPermitsAsked = 6;

}  // namespace

AllowedServers Forwarder::serversFor(const Job& job, bool mayBeCanary, MonotonicTime now) {
  const ServerQuery query{job.service, job.request.model, job.routeKey(), job.routeRequest.avoided,
                          mayBeCanary, job.streamVersion};
  return allowedServers(context_.rollouts, context_.pool, query, now);
}

std::vector<quarantine::ServerRun> Forwarder::trialServerRuns(Job& job) {
  const AllowedServers allowed = serversFor(job, false, monotonicNow());
  return allowed.set().empty() ? std::vector<quarantine::ServerRun>()
                               : trialChoices(job.routeRequest, allowed.set());
}

bool Forwarder::hasUntriedServer(const Job& job) {
  return containsUntried(serversFor(job, false, monotonicNow()).set(), job.routeRequest.avoided);
}

boost::asio::awaitable<Result<Forwarder::ChosenServer>> Forwarder::chooseWithinLimits(Job& job) {
  server_limits::ServerLimitNode& limits = context_.serverLimits;
  Result<ChosenServer> choice = chooseServer(job, job.attempts.sent == 0, monotonicNow());
  // Servers at their limit are also avoided, but only for this choice: they are appended to those
  // tried before and removed at the end.
  std::vector<BackendId>& avoided = job.routeRequest.avoided;
  const auto triedBefore = static_cast<std::ptrdiff_t>(avoided.size());
  Milliseconds soonest = Milliseconds::max();
  std::size_t permitsAsked = 0;
  while (choice && limits.restrictsAny()) {
    const fleet::Server server = choice.value().server;
    if (std::find(avoided.begin() + triedBefore, avoided.end(), server.id) != avoided.end()) {
      choice = atLimitsError(job, soonest);
      break;
    }
    const MonotonicTime askedAt = monotonicNow();
    const std::optional<Grants> taken = co_await takeGrants(job, server);
    if (!taken) {
      choice = endOf(job);
      break;
    }
    const auto& [unit, permit] = *taken;
    if (unit.granted && permit.granted) {
      choice.value().usedLimitUnit = unit.usedLimitUnit;
      choice.value().unitAskedAt = askedAt;
      choice.value().permitted = permit.asked;
      choice.value().permit = permit.number;
      choice.value().atLimitCount = avoided.size() - static_cast<std::size_t>(triedBefore);
      break;
    }
    const Milliseconds wait = unit.granted ? permit.wait : unit.wait;
    permitsAsked += permit.asked ? 1 : 0;
    const MonotonicTime now = monotonicNow();
    context_.pool.pause(server.id, now + std::min(wait, limits.kMaxRefusalTime), now);
    soonest = std::min(soonest, wait);
    if (permitsAsked >= kMaxPermitsAsked) {
      choice = atLimitsError(job, soonest);
      break;
    }
    avoided.push_back(server.id);
    choice = chooseServer(job, false, now);
  }
  avoided.erase(avoided.begin() + triedBefore, avoided.end());
  co_return choice;
}

boost::asio::awaitable<std::optional<Forwarder::Grants>> Forwarder::takeGrants(
    Job& job, fleet::Server server) {
  const std::optional<server_limits::UnitResult> unit = co_await takeUnit(job, server);
  if (!unit) {
    co_return std::nullopt;
  }
  Grants grants{*unit, {}};
  if (!unit->granted) {
    co_return grants;
  }
  const std::optional<server_limits::PermitResult> permit = co_await takePermit(job, server);
  if (unit->usedLimitUnit && !(permit && permit->granted)) {
    context_.serverLimits.giveBack(server);
  }
  if (!permit) {
    co_return std::nullopt;
  }
  grants.permit = *permit;
  co_return grants;
}

boost::asio::awaitable<std::optional<server_limits::UnitResult>> Forwarder::takeUnit(
    Job& job, fleet::Server server) {
  using server_limits::UnitResult;
  server_limits::ServerLimitNode& limits = context_.serverLimits;
  if (!limits.isLimited(server)) {
    co_return UnitResult{};
  }
  std::function<boost::asio::awaitable<UnitResult>()> take = [&limits, server] {
    return limits.take(server);
  };
  const auto giveBack = [&limits, server](const UnitResult& late) {
    if (late.usedLimitUnit) {
      limits.giveBack(server);
    }
  };
  const DispatchWaitGuard waiting(job.wait, DispatchWait::kServerLimit);
  co_return co_await waitUnlessOver<UnitResult>(
      context_.executor, job.waits, std::move(take), [&job] { return job.isOver(); }, giveBack);
}

boost::asio::awaitable<std::optional<server_limits::PermitResult>> Forwarder::takePermit(
    Job& job, fleet::Server server) {
  using server_limits::PermitResult;
  server_limits::ServerLimitNode& limits = context_.serverLimits;
  if (!limits.needsPermit(server)) {
    co_return PermitResult{};
  }
  std::function<boost::asio::awaitable<PermitResult>()> acquire = [&limits, server] {
    return limits.acquirePermit(server);
  };
  const auto giveBack = [&limits, server](const PermitResult& late) {
    if (late.number) {
      limits.endPermit(server, *late.number, server_limits::PermitEnd::kReturned);
    }
  };
  const DispatchWaitGuard waiting(job.wait, DispatchWait::kServerLimit);
  co_return co_await waitUnlessOver<PermitResult>(
      context_.executor, job.waits, std::move(acquire), [&job] { return job.isOver(); }, giveBack);
}

void Forwarder::endPermit(const Job& job, const ChosenServer& chosen, const Result<void>& outcome) {
  using server_limits::PermitEnd;
  server_limits::ServerLimitNode& limits = context_.serverLimits;
  const fleet::Server& server = chosen.server;
  const bool refused = !outcome && outcome.error().kind == ErrorKind::kBackendRefused &&
                       !context_.pool.backoffs().excludedUntil(server.id, monotonicNow());
  if (!chosen.permit) {
    if (refused && limits.isSpared(server)) {
      limits.reportRefusal(server);
    }
    return;
  }
  const bool notRun = !job.handedOver || (!outcome && provesNotRun(outcome.error().kind));
  PermitEnd end = notRun ? PermitEnd::kReturned : PermitEnd::kEnded;
  end = refused ? PermitEnd::kRefused : end;
  limits.endPermit(server, *chosen.permit, end);
}

Error Forwarder::atLimitsError(const Job& job, Milliseconds wait) {
  Error error = fail(ErrorKind::kOverloaded,
                     "all servers of '" + job.service + "' have reached their request limits");
  error.reason = "servers_at_limits";
  error.retryAfter = limits::spreadReturn(wait, random_);
  return error;
}

Error Forwarder::noServerError(const Job& job, MonotonicTime now) {
  if (job.streamVersion && !context_.streamVersions.isListed(job.service, *job.streamVersion)) {
    return fail(ErrorKind::kStreamVersionGone, "no server of '" + job.service + "' has version '" +
                                                   job.streamVersion->value() +
                                                   "', which began the stream");
  }
  const fleet::BackedOffServers backedOff =
      context_.pool.backedOffServers(job.service, job.request.model, now);
  if (!backedOff.firstEnd) {
    const fleet::ServiceReach reach = context_.pool.reachOf(job.service);
    return fail(ErrorKind::kNoBackend, "no usable server of '" + job.service +
                                           "': " + std::to_string(reach.listed) + " listed, " +
                                           std::to_string(reach.unreachable) + " unreachable, " +
                                           std::to_string(reach.unreachableElsewhere) +
                                           " of these unreachable from other nodes, too");
  }
  Error error = fail(ErrorKind::kOverloaded, "all servers of '" + job.service +
                                                 "' have asked to receive no requests for now");
  error.reason = "servers_at_rest";
  error.retryAfter =
      limits::spreadReturn(std::chrono::ceil<Milliseconds>(*backedOff.firstEnd - now), random_);
  return error;
}

Result<Forwarder::ChosenServer> Forwarder::chooseServer(Job& job, bool mayBeCanary,
                                                        MonotonicTime now) {
  const AllowedServers allowed = serversFor(job, mayBeCanary, now);
  Result<ChosenServer> chosen = chooseFrom(job, allowed, now);
  if (!chosen && allowed.canary) {
    // The canary servers have no capacity; the stable version may have.
    chosen = chooseFrom(job, serversFor(job, false, now), now);
  }
  if (!chosen && allowed.canaryBudgetAsked && context_.rollouts.onRefused) {
    context_.rollouts.onRefused(allowed.order, job.routeKey());
  }
  return chosen;
}

Result<Forwarder::ChosenServer> Forwarder::chooseFrom(Job& job, const AllowedServers& allowed,
                                                      MonotonicTime now) {
  const routing::CandidateSet& candidates = allowed.set();
  if (candidates.empty()) {
    return noServerError(job, now);
  }
  const routing::Choice choice =
      job.trial.isOfSuspect() ? chooseForTrial(job.routeRequest, candidates, job.trial.server())
                              : policyFor(job).choose(job.routeRequest, candidates, now);
  ChosenServer chosen;
  chosen.candidate = candidates[choice.index];
  if (const Result<void> admitted = admit(job, chosen.candidate, allowed.track, now); !admitted) {
    return admitted.error();
  }
  const fleet::Server* listed = context_.pool.find(chosen.candidate.id);
  if (listed == nullptr) {
    return fail(ErrorKind::kNoBackend, "the chosen server was removed");
  }
  chosen.server = *listed;
  chosen.reason = choice.reason;
  chosen.candidates = candidates.size();
  chosen.uncachedTokens = routing::uncachedTokens(job.routeRequest, choice.expectedCachedBlocks);
  chosen.track = allowed.track;
  chosen.order = allowed.order;
  chosen.latencyRepresentative =
      context_.rollouts.onAnswer && context_.pool.isSpeedSample(chosen.server.id, now);
  if (choice.holder) {
    chosen.holder = candidates[*choice.holder];
  }
  if (allowed.track == Track::kCandidate) {
    if (auto holder = stableHolder(job, now)) {
      chosen.holder = std::move(holder);
    }
  }
  return chosen;
}

std::optional<routing::Candidate> Forwarder::stableHolder(Job& job, MonotonicTime now) {
  if (job.request.model.value().empty()) {
    return std::nullopt;
  }
  const routing::CandidateSet& stable =
      context_.pool.candidates(job.service, job.request.model, now);
  if (stable.empty()) {
    return std::nullopt;
  }
  const routing::Choice choice = policyFor(job).choose(job.routeRequest, stable, now);
  return stable[choice.holder.value_or(choice.index)];
}

Result<void> Forwarder::admit(const Job& job, const routing::Candidate& candidate, Track track,
                              MonotonicTime now) {
  // A retried request is not refused: it has already waited, and its retry is in the budget. Nor is
  // a stream that its caller takes up again: what was generated of it would be lost.
  const bool goesOn = job.attempts.sent > 0 || job.request.resumeAfter;
  if (!settings_.queueAdmission || job.request.model.value().empty() || goesOn) {
    return boost::outcome_v2::success();
  }
  const double waitMs = routing::expectedWaitMs(candidate) + candidate.rttMs;
  const Milliseconds wait(static_cast<std::int64_t>(waitMs));
  const auto known = admissions_.try_emplace({job.service, track}, settings_.admission).first;
  if (job.grant.table != nullptr) {
    known->second.applyConfiguration(job.grant.table->version());
  }
  const std::optional<Milliseconds> retryAfter =
      known->second.refuse(wait, job.grant.route->targetLatency, job.grant.priority(), now);
  if (!retryAfter) {
    return boost::outcome_v2::success();
  }
  Error error =
      fail(ErrorKind::kOverloaded, "a request would wait for " + std::to_string(wait.count()) +
                                       " ms at the best server of '" + job.service + "'");
  error.retryAfter = retryAfter;
  return error;
}

}  // namespace calicodrift::forward
