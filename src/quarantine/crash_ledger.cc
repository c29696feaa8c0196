#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <tuple>

#include "common/hashing.h"

namespace calicodrift::quarantine {
namespace {

/// Inserts the missing runs, up to kMaxRunsPerRequest in total. @return whether any was inserted.
bool insertMissing(std::vector<ServerRun>& runs, const std::vector<ServerRun>& more) {
  bool added = false;
  for (const ServerRun run : more) {
    const auto place = std::lower_bound(runs.begin(), runs.end(), run);
    const bool isKnown = place != runs.end() && *place == run;
    if (!isKnown && runs.size() < CrashLedger::kMaxRunsPerRequest) {
      runs.insert(place, run);
      added = true;
    }
  }
  return added;
}

}  // namespace

ServerRun runOf(const BackendId& server, Incarnation incarnation) {
  return ServerRun(hashPair(hashBytes(server.value()), incarnation.value()));
}

ServerRun runOf(const fleet::Server& server) {
  return runOf(server.id, fleet::incarnationOf(server));
}

bool CrashLedger::recordCrash(const RequestFingerprint& request, ServerRun run,
                              Milliseconds underWay, MonotonicTime now) {
  return merge({request, {run}, {}, static_cast<std::uint32_t>(underWay.count())}, now);
}

bool CrashLedger::recordStart(const ServerStart& start) {
  Start& known = starts_[start.server];
  if (start.started <= known.started) {
    return false;
  }
  known = {start.started, changes_->next()};
  if (starts_.size() > kMaxStarts) {
    starts_.erase(
        std::min_element(starts_.begin(), starts_.end(), [](const auto& first, const auto& second) {
          return first.second.changedAt < second.second.changedAt;
        }));
  }
  return true;
}

std::vector<ServerStart> CrashLedger::startsSince(std::uint64_t version) const {
  std::vector<ServerStart> found;
  for (const auto& [server, start] : starts_) {
    if (start.changedAt > version) {
      found.push_back({server, start.started});
    }
  }
  return found;
}

bool CrashLedger::clear(const RequestFingerprint& request) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return false;
  }
  Entry& entry = found->second;
  const bool cleared = insertMissing(entry.suspect.cleared, entry.suspect.ended);
  if (cleared) {
    entry.changedAt = changes_->next();
  }
  return cleared;
}

bool CrashLedger::merge(const Suspect& suspect, MonotonicTime now) {
  const auto [place, isNew] = entries_.try_emplace(suspect.request);
  Entry& entry = place->second;
  entry.suspect.request = suspect.request;
  const bool ended = insertMissing(entry.suspect.ended, suspect.ended);
  const bool cleared = insertMissing(entry.suspect.cleared, suspect.cleared);
  const bool longer = suspect.longestMs > entry.suspect.longestMs;
  entry.suspect.longestMs = std::max(entry.suspect.longestMs, suspect.longestMs);
  if (!ended && !cleared && !longer) {
    if (isNew) {
      entries_.erase(place);
    }
    return false;
  }
  entry.changedAt = changes_->next();
  indexRuns(entry.suspect, now);
  evictOne(suspect.request);
  return true;
}

void CrashLedger::indexRuns(const Suspect& suspect, MonotonicTime now) {
  for (const ServerRun key : suspect.ended) {
    Run& run = runs_.try_emplace(key, Run{now, {}}).first->second;
    const bool isKnown =
        std::find(run.requests.begin(), run.requests.end(), suspect.request) != run.requests.end();
    if (!isKnown) {
      run.requests.push_back(suspect.request);
    }
  }
}

void CrashLedger::recordCrashTime(ServerRun run, MonotonicTime at) {
  if (runs_.try_emplace(run, Run{at, {}}).second) {
    idleCrashes_.push_back(run);
    trimIdleCrashes();
  }
}

void CrashLedger::trimIdleCrashes() {
  while (idleCrashes_.size() > kMaxIdleCrashes) {
    const auto oldest = runs_.find(idleCrashes_.front());
    idleCrashes_.pop_front();
    if (oldest != runs_.end() && oldest->second.requests.empty()) {
      runs_.erase(oldest);
    }
  }
}

std::size_t CrashLedger::incriminatingRuns(const Suspect& suspect) {
  return static_cast<std::size_t>(
      std::count_if(suspect.ended.begin(), suspect.ended.end(),
                    [&suspect](ServerRun run) { return incriminates(suspect, run); }));
}

bool CrashLedger::incriminates(const Suspect& suspect, ServerRun run) {
  return std::binary_search(suspect.ended.begin(), suspect.ended.end(), run) &&
         !std::binary_search(suspect.cleared.begin(), suspect.cleared.end(), run);
}

MonotonicTime CrashLedger::latestCrash(const Suspect& suspect) const {
  MonotonicTime newest{};
  for (const ServerRun key : suspect.ended) {
    if (incriminates(suspect, key)) {
      newest = std::max(newest, runs_.at(key).at);
    }
  }
  return newest;
}

bool CrashLedger::hasLikelierCause(ServerRun key, const Suspect& suspect) const {
  const std::size_t runs = incriminatingRuns(suspect);
  const std::vector<RequestFingerprint>& coRunning = runs_.at(key).requests;
  return std::any_of(coRunning.begin(), coRunning.end(), [&](const RequestFingerprint& request) {
    const Suspect& other = entries_.at(request).suspect;
    const std::size_t otherRuns = incriminatingRuns(other);
    if (request == suspect.request || !incriminates(other, key) || otherRuns < runs) {
      return false;
    }
    // A barred request gets no further runs, so a bystander of several such requests could reach
    // the same count.
    const bool barredBefore =
        otherRuns >= kCrashesToBar && latestCrash(other) < latestCrash(suspect);
    const bool crashesSooner = runs > 1 && other.longestMs < suspect.longestMs;
    return otherRuns > runs || barredBefore || crashesSooner;
  });
}

bool CrashLedger::isExplained(ServerRun key, const Run& run) const {
  constexpr std::size_t kMinRuns = 2;
  return std::any_of(run.requests.begin(), run.requests.end(), [&](const auto& request) {
    const Suspect& suspect = entries_.at(request).suspect;
    return incriminates(suspect, key) && incriminatingRuns(suspect) >= kMinRuns;
  });
}

bool CrashLedger::hasConcurrentCrashes(const RequestFingerprint& request, const Run& run) const {
  const Suspect& suspect = entries_.at(request).suspect;
  const auto others = std::count_if(runs_.begin(), runs_.end(), [&](const auto& entry) {
    return areConcurrent(entry.second.at, run.at) && !incriminates(suspect, entry.first) &&
           !isExplained(entry.first, entry.second);
  });
  return others >= kMinConcurrentCrashes;
}

std::size_t CrashLedger::crashCount(const RequestFingerprint& request) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return 0;
  }
  const Suspect& suspect = found->second.suspect;
  return static_cast<std::size_t>(
      std::count_if(suspect.ended.begin(), suspect.ended.end(), [&](ServerRun key) {
        return incriminates(suspect, key) && !hasLikelierCause(key, suspect) &&
               !hasConcurrentCrashes(request, runs_.at(key));
      }));
}

std::size_t CrashLedger::crashesToBar(const Suspect& suspect) {
  return Milliseconds(suspect.longestMs) < kLongRequest ? kCrashesToBar : kCrashesToBar + 1;
}

Standing CrashLedger::standingOf(const RequestFingerprint& request) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return Standing::kClear;
  }
  const Suspect& suspect = found->second.suspect;
  const std::size_t count = crashCount(request);
  if (count >= crashesToBar(suspect) || incriminatingRuns(suspect) >= kCrashesToBarRegardless) {
    return Standing::kBarred;
  }
  return count > 0 ? Standing::kSuspect : Standing::kClear;
}

bool CrashLedger::isBarred(const RequestFingerprint& request) const {
  const auto found = entries_.find(request);
  return found != entries_.end() && incriminatingRuns(found->second.suspect) >= kCrashesToBar &&
         standingOf(request) == Standing::kBarred;
}

std::size_t CrashLedger::countBarred() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [this](const auto& entry) { return isBarred(entry.first); }));
}

Suspect CrashLedger::suspect(const RequestFingerprint& request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? Suspect{request, {}, {}, 0} : found->second.suspect;
}

std::vector<Suspect> CrashLedger::atLeast(std::size_t count) const {
  std::vector<Suspect> found;
  for (const auto& [request, entry] : entries_) {
    // Most have one run, so the cheap check comes first.
    if (incriminatingRuns(entry.suspect) >= count && crashCount(request) >= count) {
      found.push_back(entry.suspect);
    }
  }
  return found;
}

std::vector<Suspect> CrashLedger::changedSince(std::uint64_t version) const {
  std::vector<Suspect> changed;
  for (const auto& [request, entry] : entries_) {
    if (entry.changedAt > version) {
      changed.push_back(entry.suspect);
    }
  }
  return changed;
}

void CrashLedger::evictOne(const RequestFingerprint& kept) {
  if (entries_.size() <= maxRequests_) {
    return;
  }
  const auto weight = [](const auto& entry) {
    return std::tuple(incriminatingRuns(entry.second.suspect), entry.second.changedAt);
  };
  auto lightest = entries_.end();
  for (auto place = entries_.begin(); place != entries_.end(); ++place) {
    const bool isLighter = lightest == entries_.end() || weight(*place) < weight(*lightest);
    if (place->first != kept && isLighter) {
      lightest = place;
    }
  }
  for (const ServerRun key : lightest->second.suspect.ended) {
    const auto run = runs_.find(key);
    std::erase(run->second.requests, lightest->first);
    if (run->second.requests.empty()) {
      runs_.erase(run);
    }
  }
  entries_.erase(lightest);
  ++evicted_;
}

}  // namespace calicodrift::quarantine
