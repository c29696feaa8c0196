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
    : settings_(std::move(settings)), listener_(std::move(listener)) {}

void Distances::noteZone(const ZoneId& zone) {
  const bool untold = isUnknown(zone) && toldUnknown_.size() < kMostToldUnknown;
  if (untold && toldUnknown_.insert(zone).second && listener_.unknownZone) {
    listener_.unknownZone(zone);
  }
}

bool Distances::observe(const ZoneId& zone, double milliseconds, MonotonicTime now) {
  Learnt& learnt = learnt_[zone];
  if (now - learnt.windowBegin >= 2 * settings_.window) {
    learnt.previous.reset();
    learnt.running.reset();
    learnt.windowBegin = now;
  } else if (now - learnt.windowBegin >= settings_.window) {
    learnt.previous = std::exchange(learnt.running, std::nullopt);
    learnt.windowBegin = now;
  }
  const double bounded = std::clamp(milliseconds, 0.0, kLongestWayMs);
  learnt.running = std::min(bounded, learnt.running.value_or(bounded));
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
  if (isUnknown(zone)) {
    return {farthest(now), !settings_.preferOwnRegion};
  }
  const bool ownRegion = inOwnRegion(zone);
  const double wayMs = learntAt(zone, now).value_or(expected(zone));
  const bool countsAsNone = ownRegion && wayMs < toMilliseconds(settings_.floor);
  return {countsAsNone ? 0 : wayMs, ownRegion || !settings_.preferOwnRegion};
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
  const bool windowOver = now - learnt.windowBegin >= settings_.window;
  if (!learnt.running || !learnt.previous || windowOver) {
    return learnt.running ? learnt.running : learnt.previous;
  }
  return std::min(*learnt.running, *learnt.previous);
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
