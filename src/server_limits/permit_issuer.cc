#include "server_limits/permit_issuer.h"

#include <algorithm>
#include <cmath>

namespace calicodrift::server_limits {
namespace {

constexpr double kMsPerSecond = 1000;
/// After it a refused request has been reported, unless messages are late.
constexpr Milliseconds kReportTime{50};
/// A request that has been held for so long was accepted: servers refuse at once, and late messages
/// take no longer.
constexpr Milliseconds kAcceptedAfter{150};
/// Ends of requests that a server may have seen before it got a request that was issued a permit
/// this long before they were reported.
constexpr Milliseconds kEndReportTime{10};
/// Until the nodes' permits are known to a new issuer, the reported load counts as well.
constexpr Milliseconds kTransition{1000};
/// Until a request is part of the reported load.
constexpr Milliseconds kLoadReportTime{500};
constexpr Milliseconds kFirstTryBackoff{1000};
constexpr Milliseconds kMaxTryBackoff{16'000};
constexpr Milliseconds kTryAfterShrink{300};
constexpr Milliseconds kFirstClosedTime{100};
constexpr Milliseconds kMaxClosedTime{2000};
/// Servers that are not used for so long are forgotten.
constexpr Milliseconds kRetention{30'000};
/// Bounds the memory of a server's ends within a window.
constexpr std::size_t kMaxEnds = 4096;

template <typename Times>
void dropBefore(Times& times, MonotonicTime begin) {
  while (!times.empty() && times.front() <= begin) {
    times.pop_front();
  }
}

std::size_t allowanceOf(const ServerCapacity& capacity) {
  constexpr double kMost = 1e6;
  return static_cast<std::size_t>(std::floor(std::min(capacity.refusalLimit, kMost)));
}

}  // namespace

PermitIssuer::State& PermitIssuer::stateOf(const ServerCapacity& capacity, MonotonicTime now) {
  const auto [found, isNew] = servers_.try_emplace(capacity.server);
  State& state = found->second;
  if (isNew) {
    state.beganAt = now;
    state.tryBackoff = kFirstTryBackoff;
    state.closedBackoff = kFirstClosedTime;
  }
  if (state.room == 0 || (capacity.slots > 0 && state.slots != capacity.slots)) {
    const std::size_t unknown = std::max<std::size_t>(capacity.reportedLoad, 1);
    state.room = capacity.slots > 0 ? capacity.slots : unknown;
    state.slots = capacity.slots;
  }
  state.usedAt = now;
  prune(state, now);
  return state;
}

void PermitIssuer::prune(State& state, MonotonicTime now) {
  dropBefore(state.refusals, now - kRefusalWindow);
  dropBefore(state.ends, now - kRefusalWindow);
  std::erase_if(state.issued,
                [now](const auto& item) { return now - item.second.renewedAt > kPermitTerm; });
}

std::size_t PermitIssuer::inFlight(const State& state, const ServerCapacity& capacity,
                                   MonotonicTime now) {
  const std::size_t issued = state.issued.size();
  if (now - state.beganAt >= kTransition) {
    return issued;
  }
  const auto unreported = static_cast<std::size_t>(
      std::count_if(state.issued.begin(), state.issued.end(), [now](const auto& item) {
        return !item.second.accepted && now - item.second.at < kLoadReportTime;
      }));
  return std::max(issued, capacity.reportedLoad + unreported);
}

PermitDecision PermitIssuer::acquire(const ServerCapacity& capacity, const Permit& permit,
                                     MonotonicTime settledAt, MonotonicTime now) {
  State& state = stateOf(capacity, now);
  if (state.issued.contains(permit)) {
    return {true, Milliseconds(0)};
  }
  state.awaitingPredecessor = state.awaitingPredecessor && now < settledAt;
  if (state.awaitingPredecessor) {
    // The transition begins when this node does.
    state.beganAt = now;
    return {false, std::min(std::chrono::ceil<Milliseconds>(settledAt - now), kMaxWait)};
  }
  const std::size_t before = inFlight(state, capacity, now);
  if (!mayIssue(state, capacity, before, now)) {
    return {false, waitOf(state, permit.holder, now)};
  }
  state.waiting.erase(permit.holder);
  state.issued[permit] = {now, now, before + 1, before >= state.room};
  return {true, Milliseconds(0)};
}

bool PermitIssuer::mayIssue(const State& state, const ServerCapacity& capacity,
                            std::size_t inFlight, MonotonicTime now) {
  if (now < state.closedUntil) {
    return false;
  }
  const std::size_t allowance = allowanceOf(capacity);
  const std::size_t recent = state.refusals.size();
  if (now < state.cautiousUntil && recent + countOpen(state, now - kAcceptedAfter) >= allowance) {
    return false;
  }
  if (inFlight >= state.room) {
    return mayTry(state, allowance, now);
  }
  // Faster than requests end, permits are only issued in a burst.
  constexpr double kShareOfEnds = 1.5;
  const double endsInReportTime = static_cast<double>(state.ends.size()) *
                                  toMilliseconds(kReportTime) / toMilliseconds(kRefusalWindow);
  const auto usual = static_cast<std::size_t>(std::ceil(kShareOfEnds * endsInReportTime));
  return countOpen(state, now - kReportTime) < std::max<std::size_t>({allowance, usual, 1});
}

bool PermitIssuer::mayTry(const State& state, std::size_t allowance, MonotonicTime now) {
  const bool atSlots = state.slots > 0 && state.room >= state.slots;
  if (atSlots || now < state.nextTryAt) {
    return false;
  }
  const bool tryOpen = std::any_of(state.issued.begin(), state.issued.end(), [](const auto& item) {
    return item.second.isTry && !item.second.accepted;
  });
  return !tryOpen && state.refusals.size() < allowance;
}

std::size_t PermitIssuer::countOpen(const State& state, MonotonicTime since) {
  return static_cast<std::size_t>(std::count_if(
      state.issued.begin(), state.issued.end(),
      [since](const auto& item) { return !item.second.accepted && item.second.at > since; }));
}

Milliseconds PermitIssuer::waitOf(State& state, std::uint64_t holder, MonotonicTime now) {
  state.waiting[holder] = now;
  std::erase_if(state.waiting, [now](const auto& item) { return now - item.second > kMaxWait; });
  // A freed place should not wait long for the next holder, nor should many ask in vain.
  constexpr double kAsksPerHoldTime = 30;
  const auto room = static_cast<double>(std::max<std::size_t>(state.room, 1));
  const double endsPerSecond = std::max(static_cast<double>(state.ends.size()), room);
  const double asksPerSecond = endsPerSecond * (1 + kAsksPerHoldTime / room);
  const double waitMs = kMsPerSecond * static_cast<double>(state.waiting.size()) / asksPerSecond;
  MonotonicTime earliest = state.closedUntil;
  if (state.refusals.size() > 0 && now < state.cautiousUntil && state.issued.empty()) {
    earliest = std::max(earliest, state.cautiousUntil);
  }
  const auto blocked = std::chrono::ceil<Milliseconds>(std::max(earliest, now) - now);
  constexpr Milliseconds kMinWait{5};
  return std::clamp(std::max(blocked, Milliseconds(std::llround(std::min(waitMs, 1e6)))), kMinWait,
                    kMaxWait);
}

void PermitIssuer::release(fleet::ServerKey server, const Permit& permit, MonotonicTime now) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  State& state = found->second;
  const auto issued = state.issued.find(permit);
  if (issued == state.issued.end()) {
    return;
  }
  const Issued ended = issued->second;
  state.issued.erase(issued);
  if (ended.isTry && !ended.accepted) {
    growRoom(state, ended);
  }
  state.closedBackoff = kFirstClosedTime;
  state.ends.push_back(now);
  if (state.ends.size() > kMaxEnds) {
    state.ends.pop_front();
  }
}

void PermitIssuer::growRoom(State& state, const Issued& issued) {
  const auto maybeEnded = static_cast<std::size_t>(std::count_if(
      state.ends.begin(), state.ends.end(),
      [&issued](MonotonicTime at) { return at > issued.at && at <= issued.at + kEndReportTime; }));
  const std::size_t shown = issued.level - std::min(issued.level, maybeEnded);
  const std::size_t bound = state.slots > 0 ? std::min(shown, state.slots) : shown;
  if (bound > state.room) {
    state.room = bound;
    state.tryBackoff = kFirstTryBackoff;
  }
}

void PermitIssuer::takeBack(fleet::ServerKey server, const Permit& permit) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    found->second.issued.erase(permit);
  }
}

void PermitIssuer::recordRefusal(const ServerCapacity& capacity, const Permit& permit,
                                 MonotonicTime now) {
  State& state = stateOf(capacity, now);
  Issued refused;
  refused.at = now;
  if (const auto found = state.issued.find(permit); found != state.issued.end()) {
    refused = found->second;
    state.issued.erase(found);
  }
  state.refusals.push_back(now);
  const std::size_t others = inFlight(state, capacity, now);
  if (refused.isTry) {
    recordFailedTry(state, others, now);
  } else {
    shrinkRoom(state, others, refused.at, now);
  }
}

void PermitIssuer::recordFailedTry(State& state, std::size_t others, MonotonicTime now) {
  state.room = std::clamp<std::size_t>(others, 1, state.room);
  state.nextTryAt = now + state.tryBackoff;
  state.tryBackoff = std::min(2 * state.tryBackoff, kMaxTryBackoff);
}

void PermitIssuer::shrinkRoom(State& state, std::size_t others, MonotonicTime issuedAt,
                              MonotonicTime now) {
  state.cautiousUntil = now + kRefusalWindow;
  if (issuedAt < state.shrunkAt) {
    // Issued under a former presumption, which has been corrected since.
    return;
  }
  constexpr double kKeptShare = 0.7;
  const std::size_t bound = std::min(others, state.room);
  state.room = static_cast<std::size_t>(kKeptShare * static_cast<double>(bound));
  state.room = std::max<std::size_t>(state.room, 1);
  state.shrunkAt = now;
  state.nextTryAt = std::max(state.nextTryAt, now + kTryAfterShrink);
  if (others == 0) {
    state.closedUntil = now + state.closedBackoff;
    state.closedBackoff = std::min(2 * state.closedBackoff, kMaxClosedTime);
  }
}

void PermitIssuer::renew(const ServerCapacity& capacity, std::uint64_t holder,
                         const std::vector<std::uint64_t>& held, MonotonicTime now) {
  State& state = stateOf(capacity, now);
  for (const std::uint64_t number : held) {
    const auto [found, isNew] = state.issued.try_emplace(Permit{holder, number});
    Issued& issued = found->second;
    if (isNew) {
      // Issued by a predecessor.
      issued = {now, now, 0, false, true};
    }
    issued.renewedAt = now;
    if (!issued.accepted && now - issued.at >= kAcceptedAfter) {
      issued.accepted = true;
      if (issued.isTry) {
        growRoom(state, issued);
      }
    }
  }
  std::erase_if(state.issued, [&](const auto& item) {
    return item.first.holder == holder && item.second.renewedAt != now &&
           now - item.second.at > kTransition;
  });
}

void PermitIssuer::expire(MonotonicTime now) {
  std::erase_if(servers_,
                [now](const auto& item) { return now - item.second.usedAt > kRetention; });
}

std::vector<fleet::ServerKey> PermitIssuer::servers() const {
  std::vector<fleet::ServerKey> keys;
  keys.reserve(servers_.size());
  for (const auto& [server, state] : servers_) {
    keys.push_back(server);
  }
  return keys;
}

std::size_t PermitIssuer::roomOf(fleet::ServerKey server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 0 : found->second.room;
}

std::size_t PermitIssuer::issuedFor(fleet::ServerKey server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 0 : found->second.issued.size();
}

}  // namespace calicodrift::server_limits
