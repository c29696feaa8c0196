#include "fleet/distance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace calicodrift::fleet {
namespace {

/// Bounds the unknown zones that are reported, so that a list with ever new zone names fills
/// neither memory nor the log.
constexpr std::size_t kMaxReportedUnknownZones = 64;
/// A change is reported only if it exceeds both thresholds: smaller ones change no routing choice.
constexpr double kReportThresholdMs = 2;
constexpr double kReportThresholdShare = 0.2;
/// One or two slow connections may be due to a busy process or a lost packet.
constexpr std::size_t kMinSamplesToRaise = 3;

/// Returns whether this node's zone and the other zones span several regions. A node without a
/// region may be in a different one than the zones that have a region.
bool spansMultipleRegions(const DistanceSettings& settings) {
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
      multipleRegions_(spansMultipleRegions(settings_)) {}

void Distances::addZone(const ZoneId& zone) {
  const bool unreported =
      isUnknown(zone) && reportedUnknownZones_.size() < kMaxReportedUnknownZones;
  if (unreported && reportedUnknownZones_.insert(zone).second && listener_.unknownZone) {
    listener_.unknownZone(zone);
  }
}

bool Distances::observe(const ZoneId& zone, double milliseconds, MonotonicTime now) {
  if (isDistanceIgnored(zone)) {
    return false;
  }
  Estimate& estimate = estimates_[zone];
  rollWindows(estimate, now);
  const double bounded = std::clamp(milliseconds, 0.0, kMaxRttMs);
  estimate.current.minMs = std::min(bounded, estimate.current.minMs);
  ++estimate.current.count;
  estimate.rttMs = estimatedRttMs(zone, now);
  nextExpiry_ = std::min(nextExpiry_, estimate.windowBegin + settings_.window);
  return reportChange(zone, estimate, now);
}

bool Distances::dropExpired(MonotonicTime now) {
  if (now < nextExpiry_) {
    return false;
  }
  nextExpiry_ = MonotonicTime::max();
  bool changed = false;
  for (auto& [zone, estimate] : estimates_) {
    const auto age = now - estimate.windowBegin;
    if (age >= 2 * settings_.window) {
      changed = std::exchange(estimate.rttMs, std::nullopt).has_value() || changed;
      reportChange(zone, estimate, now);
      continue;
    }
    estimate.rttMs = estimatedRttMs(zone, now);
    changed = reportChange(zone, estimate, now) || changed;
    const int windows = age >= settings_.window ? 2 : 1;
    nextExpiry_ = std::min(nextExpiry_, estimate.windowBegin + windows * settings_.window);
  }
  return changed;
}

void Distances::rollWindows(Estimate& estimate, MonotonicTime now) const {
  if (now - estimate.windowBegin >= 2 * settings_.window) {
    estimate = Estimate{now, {}, {}, std::nullopt, estimate.reportedMs};
  } else if (now - estimate.windowBegin >= settings_.window) {
    estimate.previous = std::exchange(estimate.current, Samples{});
    estimate.windowBegin = now;
  }
}

bool Distances::reportChange(const ZoneId& zone, Estimate& estimate, MonotonicTime now) const {
  const double rttMs = distanceTo(zone, now).rttMs;
  const double change = std::abs(rttMs - estimate.reportedMs);
  if (change <= kReportThresholdMs || change <= kReportThresholdShare * estimate.reportedMs) {
    return false;
  }
  estimate.reportedMs = rttMs;
  if (listener_.rttChanged) {
    listener_.rttChanged(zone, rttMs);
  }
  return true;
}

ZoneDistance Distances::distanceTo(const ZoneId& zone, MonotonicTime now) const {
  if (isDistanceIgnored(zone)) {
    return {};
  }
  if (isUnknown(zone)) {
    return {longestRttMs(now), !settings_.preferOwnRegion};
  }
  const bool ownRegion = inOwnRegion(zone);
  const double rttMs = estimatedRttMs(zone, now).value_or(defaultRttMs(zone));
  const bool belowFloor = ownRegion && rttMs < toMilliseconds(settings_.floor);
  return {belowFloor ? 0 : rttMs, ownRegion || !settings_.preferOwnRegion};
}

bool Distances::isDistanceIgnored(const ZoneId& zone) const {
  return !multipleRegions_ && !isUnknown(zone);
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

std::optional<double> Distances::estimatedRttMs(const ZoneId& zone, MonotonicTime now) const {
  const auto found = estimates_.find(zone);
  if (found == estimates_.end() || now - found->second.windowBegin >= 2 * settings_.window) {
    return std::nullopt;
  }
  const Estimate& estimate = found->second;
  Samples samples = estimate.current;
  if (now - estimate.windowBegin < settings_.window) {
    samples.minMs = std::min(samples.minMs, estimate.previous.minMs);
    samples.count += estimate.previous.count;
  }
  const double known = estimate.rttMs.value_or(defaultRttMs(zone));
  const bool counts = samples.minMs <= known || samples.count >= kMinSamplesToRaise;
  return counts ? samples.minMs : known;
}

double Distances::defaultRttMs(const ZoneId& zone) const {
  if (zone == settings_.zone) {
    return 0;
  }
  return toMilliseconds(inOwnRegion(zone) ? settings_.sameRegionRtt : settings_.crossRegionRtt);
}

double Distances::longestRttMs(MonotonicTime now) const {
  double longest = toMilliseconds(settings_.crossRegionRtt);
  for (const auto& [zone, estimate] : estimates_) {
    longest = std::max(longest, estimatedRttMs(zone, now).value_or(0));
  }
  return longest;
}

}  // namespace calicodrift::fleet
