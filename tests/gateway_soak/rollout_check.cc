#include "rollout_check.h"

#include <algorithm>

namespace calicodrift::testing {
namespace {

const std::string kFirstVersion = "v1";

}  // namespace

void RolloutCheck::onOrder(const std::string& service, const std::string& version, MonotonicTime at,
                           Milliseconds duration, bool bad, bool badAtOnce) {
  Trial& trial = trials_[version];
  trial.service = service;
  trial.orderedAt = at;
  trial.deadline = at + duration;
  trial.bad = bad;
  trial.badAtOnce = badAtOnce;
}

void RolloutCheck::onArrival(const std::string& service, const std::string& version,
                             MonotonicTime at, bool calm) {
  reached_[service].push_back(at);
  if (version == kFirstVersion) {
    return;
  }
  const auto trial = trials_.find(version);
  if (trial == trials_.end()) {
    unordered_.push_back(version);
    return;
  }
  trial->second.arrivals.push_back({at, calm});
}

void RolloutCheck::onBadAnswer(const std::string& version, MonotonicTime at) {
  trials_[version].badAnswers.push_back(at);
}

void RolloutCheck::onOutcome(const std::string& version, const std::string& state,
                             MonotonicTime at) {
  trials_[version].outcome = state;
  trials_[version].endedAt = at;
}

void RolloutCheck::onCut(const std::string& version, std::size_t runs) {
  static_cast<void>(version);
  cut_ += runs;
}

std::size_t RolloutCheck::reached(const Trial& trial) const {
  const auto found = reached_.find(trial.service);
  if (found == reached_.end()) {
    return 0;
  }
  return static_cast<std::size_t>(std::count_if(
      found->second.begin(), found->second.end(),
      [&trial](MonotonicTime at) { return at >= trial.orderedAt && at <= trial.deadline; }));
}

std::size_t RolloutCheck::exposed(const Trial& trial) const {
  return static_cast<std::size_t>(std::count_if(
      trial.arrivals.begin(), trial.arrivals.end(),
      [&trial](const Arrival& arrival) { return arrival.calm && arrival.at <= trial.deadline; }));
}

Milliseconds RolloutCheck::stopTime(const Trial& trial) const {
  MonotonicTime since = trial.orderedAt;
  for (const MonotonicTime fault : storeFaults_) {
    since = std::max(since, fault);
  }
  const auto first = std::lower_bound(trial.badAnswers.begin(), trial.badAnswers.end(), since);
  const auto left = static_cast<std::size_t>(trial.badAnswers.end() - first);
  if (left < bounds_.toleratedBadAnswers) {
    return Milliseconds(0);
  }
  const MonotonicTime tolerated = *(first + static_cast<long>(bounds_.toleratedBadAnswers) - 1);
  Milliseconds longest{0};
  for (const Arrival& arrival : trial.arrivals) {
    if (arrival.calm && arrival.at > tolerated) {
      longest = std::max(longest, std::chrono::floor<Milliseconds>(arrival.at - tolerated));
    }
  }
  return longest;
}

std::vector<std::string> RolloutCheck::violations() const {
  std::vector<std::string> found;
  found.reserve(unordered_.size());
  for (const std::string& version : unordered_) {
    found.push_back("a request ran on version " + version + ", which no order names");
  }
  for (const auto& [version, trial] : trials_) {
    if (!trial.bad) {
      continue;
    }
    const double allowed = bounds_.exposureShare * static_cast<double>(reached(trial)) +
                           static_cast<double>(bounds_.exposureSlack);
    if (static_cast<double>(exposed(trial)) > allowed) {
      found.push_back("the bad version " + version + " got " + std::to_string(exposed(trial)) +
                      " of " + std::to_string(reached(trial)) + " requests");
    }
    if (stopTime(trial) > bounds_.stopBound && trial.outcome != "completed") {
      found.push_back("the bad version " + version + " got a request " +
                      std::to_string(stopTime(trial).count()) +
                      " ms after its tolerated bad answers");
    }
    if (trial.badAtOnce && trial.outcome == "completed") {
      found.push_back("the bad version " + version + " was promoted");
    }
  }
  if (cut_ > 0) {
    found.push_back("promotions cut " + std::to_string(cut_) + " runs");
  }
  return found;
}

std::string RolloutCheck::summary() const {
  std::map<std::string, std::size_t> counts;
  double mostShare = 0;
  Milliseconds longestStop{0};
  for (const auto& [version, trial] : trials_) {
    const std::string kind = trial.badAtOnce ? "bad" : trial.bad ? "partly bad" : "good";
    const bool inTime = trial.outcome == "completed" && trial.endedAt <= trial.deadline;
    ++counts[kind + " " + (trial.outcome.empty() ? "open" : trial.outcome) +
             (inTime ? " in time" : "")];
    if (trial.bad && reached(trial) > 0) {
      mostShare = std::max(
          mostShare, static_cast<double>(exposed(trial)) / static_cast<double>(reached(trial)));
      longestStop = std::max(longestStop, stopTime(trial));
    }
  }
  std::string text = "orders:";
  for (const auto& [kind, count] : counts) {
    text += " " + std::to_string(count) + " " + kind + ",";
  }
  return text + " most share of a bad version " + std::to_string(mostShare) +
         ", longest stop after tolerated bad answers " + std::to_string(longestStop.count()) +
         " ms, runs cut " + std::to_string(cut_);
}

}  // namespace calicodrift::testing
