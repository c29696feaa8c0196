#include "fleet/distance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace calicodrift::fleet {
namespace {

/// Unknown zones that are told, so that a list with ever new names fills neither memory nor log.
constexpr std::size_t kMostToldUnknown = 64;
/// A change is told where it exceeds both: smaller ones change no choice.
constexpr double kToldMs = 2;
constexpr double kToldShare = 0.2;
/// One or two slow connections are a busy process or a lost packet.
constexpr std::size_t kSamplesToRaise = 3;

/// Whether the node's zone and the others lie in more regions than one. A node without a region
/// may stand in another one than the zones that have one.
bool hasSeveralRegions(const DistanceSettings& settings) {
  if (settings.regions.empty()) {
    return false;
  }
  const auto own = settings.regions.find(settings.zone);
  return own == settings.regions.end() ||
         std::any_of(settings.regions.begin(), settings.regions.end(),
                     [&own](const auto& entry) { return entry.second != own->second; });
}

}  // namespace

std::map<ZoneId, std::string> parseZoneRegions(const std::vector<std::string>& items) {
  std::map<ZoneId, std::string> regions;
  for (const std::string& item : items) {
    const std::size_t sign = item.find('=');
    if (sign != std::string::npos && sign + 1 < item.size()) {
      regions[ZoneId(item.substr(0, sign))] = item.substr(sign + 1);
    }
  }
  return regions;
}

Distances::Distances(DistanceSettings settings, DistanceListener listener)
    : settings_(std::move(settings)),
      listener_(std::move(listener)),
      hasRegions_(hasSeveralRegions(settings_)) {}

void Distances::noteZone(const ZoneId& zone) {
  const bool untold = isUnknown(zone) && toldUnknown_.size() < kMostToldUnknown;
  if (untold && toldUnknown_.insert(zone).second && listener_.unknownZone) {
    listener_.unknownZone(zone);
  }
}

bool Distances::observe(const ZoneId& zone, double milliseconds, MonotonicTime now) {
  if (countsForNothing(zone)) {
    return false;
  }
  Learnt& learnt = learnt_[zone];
  rollWindows(learnt, now);
  const double bounded = std::clamp(milliseconds, 0.0, kLongestWayMs);
  learnt.running.leastMs = std::min(bounded, learnt.running.leastMs);
  ++learnt.running.count;
  learnt.wayMs = learntAt(zone, now);
  nextExpiry_ = std::min(nextExpiry_, learnt.windowBegin + settings_.window);
  return noteChange(zone, learnt, now);
}

bool Distances::dropExpired(MonotonicTime now) {
  if (now < nextExpiry_) {
    return false;
  }
  nextExpiry_ = MonotonicTime::max();
  bool changed = false;
  for (auto& [zone, learnt] : learnt_) {
    const auto age = now - learnt.windowBegin;
    if (age >= 2 * settings_.window) {
      changed = std::exchange(learnt.wayMs, std::nullopt).has_value() || changed;
      noteChange(zone, learnt, now);
      continue;
    }
    learnt.wayMs = learntAt(zone, now);
    changed = noteChange(zone, learnt, now) || changed;
    const int windows = age >= settings_.window ? 2 : 1;
    nextExpiry_ = std::min(nextExpiry_, learnt.windowBegin + windows * settings_.window);
  }
  return changed;
}

void Distances::rollWindows(Learnt& learnt, MonotonicTime now) const {
  if (now - learnt.windowBegin >= 2 * settings_.window) {
    learnt = Learnt{now, {}, {}, std::nullopt, learnt.toldMs};
  } else if (now - learnt.windowBegin >= settings_.window) {
    learnt.previous = std::exchange(learnt.running, Samples{});
    learnt.windowBegin = now;
  }
}

bool Distances::noteChange(const ZoneId& zone, Learnt& learnt, MonotonicTime now) const {
  const double wayMs = wayTo(zone, now).milliseconds;
  const double change = std::abs(wayMs - learnt.toldMs);
  if (change <= kToldMs || change <= kToldShare * learnt.toldMs) {
    return false;
  }
  learnt.toldMs = wayMs;
  if (listener_.wayChanged) {
    listener_.wayChanged(zone, wayMs);
  }
  return true;
}

Way Distances::wayTo(const ZoneId& zone, MonotonicTime now) const {
  if (countsForNothing(zone)) {
    return {};
  }
  if (isUnknown(zone)) {
    return {farthest(now), !settings_.preferOwnRegion};
  }
  const bool ownRegion = inOwnRegion(zone);
  const double wayMs = learntAt(zone, now).value_or(expected(zone));
  const bool countsAsNone = ownRegion && wayMs < toMilliseconds(settings_.floor);
  return {countsAsNone ? 0 : wayMs, ownRegion || !settings_.preferOwnRegion};
}

bool Distances::countsForNothing(const ZoneId& zone) const {
  return !hasRegions_ && !isUnknown(zone);
}

bool Distances::inOwnRegion(const ZoneId& zone) const {
  if (settings_.regions.empty() || zone == settings_.zone) {
    return true;
  }
  const auto own = settings_.regions.find(settings_.zone);
  const auto other = settings_.regions.find(zone);
  return own != settings_.regions.end() && other != settings_.regions.end() &&
         own->second == other->second;
}

bool Distances::isUnknown(const ZoneId& zone) const {
  return !settings_.regions.empty() && zone != settings_.zone && !settings_.regions.contains(zone);
}

std::optional<double> Distances::learntAt(const ZoneId& zone, MonotonicTime now) const {
  const auto found = learnt_.find(zone);
  if (found == learnt_.end() || now - found->second.windowBegin >= 2 * settings_.window) {
    return std::nullopt;
  }
  const Learnt& learnt = found->second;
  Samples samples = learnt.running;
  if (now - learnt.windowBegin < settings_.window) {
    samples.leastMs = std::min(samples.leastMs, learnt.previous.leastMs);
    samples.count += learnt.previous.count;
  }
  const double known = learnt.wayMs.value_or(expected(zone));
  const bool counts = samples.leastMs <= known || samples.count >= kSamplesToRaise;
  return counts ? samples.leastMs : known;
}

double Distances::expected(const ZoneId& zone) const {
  if (zone == settings_.zone) {
    return 0;
  }
  return toMilliseconds(inOwnRegion(zone) ? settings_.sameRegionWay : settings_.otherRegionWay);
}

double Distances::farthest(MonotonicTime now) const {
  double longest = toMilliseconds(settings_.otherRegionWay);
  for (const auto& [zone, learnt] : learnt_) {
    longest = std::max(longest, learntAt(zone, now).value_or(0));
  }
  return longest;
}

}  // namespace calicodrift::fleet
