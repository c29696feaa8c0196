#include "quarantine/part_ledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace calicodrift::quarantine {
namespace {

/// Joins sorted digests and keeps the smallest, so that the result does not depend on the order.
std::vector<std::uint64_t> joinRequests(const std::vector<std::uint64_t>& first,
                                        const std::vector<std::uint64_t>& second) {
  std::vector<std::uint64_t> joined;
  std::set_union(first.begin(), first.end(), second.begin(), second.end(),
                 std::back_inserter(joined));
  if (joined.size() > PartLedger::kMaxRequestsPerCrash) {
    joined.resize(PartLedger::kMaxRequestsPerCrash);
  }
  return joined;
}

/// @return whether any of it is new.
bool joinCrash(std::vector<PartCrash>& crashes, const PartCrash& crash) {
  const auto place =
      std::lower_bound(crashes.begin(), crashes.end(), crash.run,
                       [](const PartCrash& one, ServerRun run) { return one.run < run; });
  if (place == crashes.end() || place->run != crash.run) {
    if (crashes.size() >= PartLedger::kMaxCrashesPerPart) {
      return false;
    }
    crashes.insert(place, crash);
    return true;
  }
  const PartCrash joined{crash.run, joinRequests(place->requests, crash.requests),
                         place->trial || crash.trial, place->versionIsSound || crash.versionIsSound,
                         place->servedBefore || crash.servedBefore};
  return std::exchange(*place, joined) != joined;
}

/// Null if the run is not among the part's crashes.
const PartCrash* crashOf(const PartSuspect& suspect, ServerRun run) {
  const auto place =
      std::lower_bound(suspect.crashes.begin(), suspect.crashes.end(), run,
                       [](const PartCrash& one, ServerRun key) { return one.run < key; });
  return place != suspect.crashes.end() && place->run == run ? &*place : nullptr;
}

std::size_t countIf(const std::vector<const PartCrash*>& crashes, bool PartCrash::*property) {
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [property](const PartCrash* crash) { return crash->*property; }));
}

/// Number of requests that explain all of the crashes, by always taking the one that explains the
/// most of those that are left.
std::size_t requestsToExplain(std::vector<const PartCrash*> crashes) {
  std::size_t taken = 0;
  while (!crashes.empty()) {
    std::map<std::uint64_t, std::size_t> explained;
    for (const PartCrash* crash : crashes) {
      for (const std::uint64_t request : crash->requests) {
        ++explained[request];
      }
    }
    if (explained.empty()) {
      return taken;
    }
    const std::uint64_t best = std::max_element(explained.begin(), explained.end(),
                                                [](const auto& one, const auto& other) {
                                                  return one.second < other.second;
                                                })
                                   ->first;
    std::erase_if(crashes, [best](const PartCrash* crash) {
      return crash->requests.empty() ||
             std::binary_search(crash->requests.begin(), crash->requests.end(), best);
    });
    ++taken;
  }
  return taken;
}

}  // namespace

bool PartLedger::recordCrash(const PartFingerprint& part, PartCrash crash, MonotonicTime now) {
  const auto known = entries_.find(part);
  const std::uint32_t generation =
      known == entries_.end() ? evictedGeneration_ : known->second.suspect.generation;
  return merge({part, generation, {std::move(crash)}}, now);
}

void PartLedger::recordCrashTime(ServerRun run, MonotonicTime at) {
  if (!crashTimes_.try_emplace(run, at).second) {
    return;
  }
  judgementsAreStale_ = true;
  crashTimeOrder_.push_back(run);
  if (crashTimeOrder_.size() > kMaxCrashTimes) {
    crashTimes_.erase(crashTimeOrder_.front());
    crashTimeOrder_.pop_front();
  }
}

std::optional<MonotonicTime> PartLedger::crashTime(ServerRun run) const {
  const auto found = crashTimes_.find(run);
  return found == crashTimes_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<MonotonicTime> PartLedger::firstCrash(const PartFingerprint& part) const {
  const auto found = entries_.find(part);
  if (found == entries_.end() || found->second.suspect.crashes.empty()) {
    return std::nullopt;
  }
  MonotonicTime first = MonotonicTime::max();
  for (const PartCrash& crash : found->second.suspect.crashes) {
    first = std::min(first, crashTime(crash.run).value_or(kUnknownCrashTime));
  }
  return first;
}

bool PartLedger::clear(const PartFingerprint& part) {
  const auto found = entries_.find(part);
  if (found == entries_.end() || found->second.suspect.crashes.empty()) {
    return false;
  }
  ++found->second.suspect.generation;
  found->second.suspect.crashes.clear();
  onChange(found->second);
  return true;
}

bool PartLedger::merge(const PartSuspect& suspect, MonotonicTime now) {
  const auto [place, isNew] = entries_.try_emplace(suspect.part);
  Entry& entry = place->second;
  entry.suspect.part = suspect.part;
  if (suspect.generation < entry.suspect.generation) {
    return false;
  }
  bool changed = suspect.generation > entry.suspect.generation;
  if (changed) {
    entry.suspect.generation = suspect.generation;
    entry.suspect.crashes.clear();
  }
  for (const PartCrash& crash : suspect.crashes) {
    recordCrashTime(crash.run, now);
    changed = joinCrash(entry.suspect.crashes, crash) || changed;
  }
  if (!changed) {
    if (isNew) {
      entries_.erase(place);
    }
    return false;
  }
  onChange(entry);
  evictOne(suspect.part);
  return true;
}

void PartLedger::onChange(Entry& entry) {
  entry.changedAt = changes_->next();
  judgementsAreStale_ = true;
}

void PartLedger::judgeAll() const {
  if (!std::exchange(judgementsAreStale_, false)) {
    return;
  }
  judgements_.clear();
  Index index;
  for (const auto& [part, entry] : entries_) {
    for (const PartCrash& crash : entry.suspect.crashes) {
      index[crash.run].push_back({&entry.suspect, &crash});
    }
  }
  for (const auto& [part, entry] : entries_) {
    // Most parts are in fewer crashes, so the cheap check comes first.
    if (entry.suspect.crashes.size() >= kCrashesToSuspect) {
      judgements_[part] = judgeOne(entry.suspect, index);
    }
  }
}

PartLedger::Judgement PartLedger::judgeOne(const PartSuspect& suspect, const Index& index) const {
  std::vector<const PartCrash*> unexplained;
  std::vector<const PartCrash*> counting;
  for (const PartCrash& crash : suspect.crashes) {
    if (hasLikelierCause({&suspect, &crash}, index)) {
      continue;
    }
    unexplained.push_back(&crash);
    if (!hasConcurrentCrashes(crash.run, suspect, index)) {
      counting.push_back(&crash);
    }
  }
  return {standingAfter(unexplained, counting), counting.size()};
}

Standing PartLedger::standingAfter(const std::vector<const PartCrash*>& unexplained,
                                   const std::vector<const PartCrash*>& counting) {
  const bool served = countIf(unexplained, &PartCrash::servedBefore) > 0;
  const auto isProven = [](const std::vector<const PartCrash*>& crashes, std::size_t crashesToBar,
                           std::size_t trialsToBar) {
    return crashes.size() >= crashesToBar && countIf(crashes, &PartCrash::trial) >= trialsToBar &&
           countIf(crashes, &PartCrash::versionIsSound) >= kSoundVersionsToBar &&
           requestsToExplain(crashes) >= kRequestsToBar;
  };
  if (isProven(counting, served ? kCrashesToBarServed : kCrashesToBar,
               served ? kTrialsToBarServed : kTrialsToBar) ||
      isProven(unexplained, served ? kCrashesToBarServedRegardless : kCrashesToBarRegardless,
               served ? 0 : kTrialsToBarRegardless)) {
    return Standing::kBarred;
  }
  if ((counting.size() >= kCrashesToSuspect && requestsToExplain(counting) >= kRequestsToSuspect) ||
      (unexplained.size() >= kCrashesToSuspectRegardless &&
       requestsToExplain(unexplained) >= kRequestsToSuspect)) {
    return Standing::kSuspect;
  }
  return Standing::kClear;
}

MonotonicTime PartLedger::latestCrash(const PartSuspect& suspect) const {
  MonotonicTime latest = kUnknownCrashTime;
  for (const PartCrash& crash : suspect.crashes) {
    latest = std::max(latest, crashTime(crash.run).value_or(kUnknownCrashTime));
  }
  return latest;
}

bool PartLedger::hasLikelierCause(const InFlight& one, const Index& index) const {
  const std::vector<InFlight>& others = index.at(one.crash->run);
  return std::any_of(others.begin(), others.end(), [&](const InFlight& other) {
    return other.suspect != one.suspect && isLikelier(other, one);
  });
}

bool PartLedger::isLikelier(const InFlight& first, const InFlight& second) const {
  const std::size_t crashes = first.suspect->crashes.size();
  if (first.crash->servedBefore != second.crash->servedBefore) {
    return second.crash->servedBefore && crashes >= kCrashesToSuspect;
  }
  // Requests with a barred part are not sent, so a bystander of several such parts could reach the
  // same count.
  const bool barredBefore = crashes >= kCrashesToBar && crashes >= second.suspect->crashes.size() &&
                            latestCrash(*first.suspect) < latestCrash(*second.suspect);
  return crashes > second.suspect->crashes.size() || barredBefore;
}

bool PartLedger::hasConcurrentCrashes(ServerRun run, const PartSuspect& suspect,
                                      const Index& index) const {
  const MonotonicTime at = crashTime(run).value_or(kUnknownCrashTime);
  const auto isExplained = [&index](ServerRun other) {
    constexpr std::size_t kMinCrashes = 2;
    const auto found = index.find(other);
    return found != index.end() &&
           std::any_of(found->second.begin(), found->second.end(), [](const InFlight& one) {
             return one.suspect->crashes.size() >= kMinCrashes;
           });
  };
  return std::any_of(crashTimes_.begin(), crashTimes_.end(), [&](const auto& entry) {
    return areConcurrent(at, entry.second) && crashOf(suspect, entry.first) == nullptr &&
           !isExplained(entry.first);
  });
}

std::optional<PartLedger::Judgement> PartLedger::judgementOf(const PartFingerprint& part) const {
  const auto found = entries_.find(part);
  if (found == entries_.end() || found->second.suspect.crashes.size() < kCrashesToSuspect) {
    return std::nullopt;
  }
  judgeAll();
  return judgements_.at(part);
}

Standing PartLedger::standingOf(const PartFingerprint& part) const {
  return judgementOf(part).value_or(Judgement()).standing;
}

std::size_t PartLedger::crashCount(const PartFingerprint& part) const {
  return judgementOf(part).value_or(Judgement()).crashes;
}

PartVerdict PartLedger::judge(const std::vector<PartFingerprint>& parts) const {
  PartVerdict verdict;
  for (const PartFingerprint& part : parts) {
    const Standing standing = standingOf(part);
    if (standing == Standing::kClear) {
      continue;
    }
    if (standing == Standing::kBarred && !hasAlternativeOutside(suspect(part), parts)) {
      verdict.barred = part;
      return verdict;
    }
    verdict.suspects.push_back(part);
  }
  return verdict;
}

bool PartLedger::hasAlternativeOutside(const PartSuspect& suspect,
                                       const std::vector<PartFingerprint>& held) const {
  // Parts in fewer crashes are alternatives only if nearly all crashes have one.
  return crashesWithoutAlternative(suspect, held, kCrashesToSuspect) <= 2 ||
         crashesWithoutAlternative(suspect, held, kCrashesToSuspect - 1) <= 1;
}

std::size_t PartLedger::crashesWithoutAlternative(const PartSuspect& suspect,
                                                  const std::vector<PartFingerprint>& held,
                                                  std::size_t minCrashes) const {
  const auto isAlternative = [&](const PartSuspect& other, const PartCrash& crash) {
    if (other.crashes.size() < minCrashes ||
        std::find(held.begin(), held.end(), other.part) != held.end()) {
      return false;
    }
    const PartCrash* same = crashOf(other, crash.run);
    return same != nullptr && (!same->servedBefore || crash.servedBefore);
  };
  return static_cast<std::size_t>(
      std::count_if(suspect.crashes.begin(), suspect.crashes.end(), [&](const PartCrash& crash) {
        return std::none_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
          return isAlternative(entry.second.suspect, crash);
        });
      }));
}

std::size_t PartLedger::countBarred() const {
  judgeAll();
  return static_cast<std::size_t>(
      std::count_if(judgements_.begin(), judgements_.end(),
                    [](const auto& entry) { return entry.second.standing == Standing::kBarred; }));
}

PartSuspect PartLedger::suspect(const PartFingerprint& part) const {
  const auto found = entries_.find(part);
  return found == entries_.end() ? PartSuspect{part, 0, {}} : found->second.suspect;
}

std::vector<PartSuspect> PartLedger::suspects() const {
  judgeAll();
  std::vector<PartSuspect> found;
  for (const auto& [part, judgement] : judgements_) {
    if (judgement.standing != Standing::kClear) {
      found.push_back(entries_.at(part).suspect);
    }
  }
  return found;
}

std::vector<PartSuspect> PartLedger::changedSince(std::uint64_t version) const {
  std::vector<PartSuspect> changed;
  for (const auto& [part, entry] : entries_) {
    if (entry.changedAt > version) {
      changed.push_back(entry.suspect);
    }
  }
  return changed;
}

void PartLedger::evictOne(const PartFingerprint& kept) {
  if (entries_.size() <= maxParts_) {
    return;
  }
  const auto weight = [](const auto& entry) {
    return std::tuple(entry.second.suspect.crashes.size(), entry.second.changedAt);
  };
  auto lightest = entries_.end();
  for (auto place = entries_.begin(); place != entries_.end(); ++place) {
    const bool isLighter = lightest == entries_.end() || weight(*place) < weight(*lightest);
    if (place->first != kept && isLighter) {
      lightest = place;
    }
  }
  evictedGeneration_ = std::max(evictedGeneration_, lightest->second.suspect.generation);
  entries_.erase(lightest);
  ++evicted_;
}

}  // namespace calicodrift::quarantine
