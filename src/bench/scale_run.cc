#include "bench/scale_run.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>
#include <map>

#include "bench/report.h"

namespace calicodrift::bench {
namespace {

using hollow::HollowFleet;
using membership::MemberChange;

constexpr Milliseconds kPollInterval{100};
/// The letter's 24,000 changes a day come one in 3.6 s on average.
constexpr Milliseconds kChangeInterval{3600};

double secondsSince(MonotonicTime begin) {
  return std::chrono::duration<double>(monotonicNow() - begin).count();
}

/// Resident memory, after what was freed has gone back to the system.
double residentBytes() {
  malloc_trim(0);
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

std::string channelName(peer::Channel channel) {
  switch (channel) {
    case peer::Channel::kMembership:
      return "membership";
    case peer::Channel::kConfig:
      return "config";
    case peer::Channel::kClaims:
      return "claims";
    case peer::Channel::kLimits:
      return "limits";
    case peer::Channel::kIndex:
      return "index";
    case peer::Channel::kStreamVersions:
      return "stream_versions";
  }
  return "other";
}

bool waitUntil(const std::function<bool()>& condition, Milliseconds bound) {
  const MonotonicTime begin = monotonicNow();
  while (monotonicNow() - begin < bound) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

std::uint64_t sentBytes(HollowFleet& fleet) {
  std::uint64_t bytes = 0;
  for (const auto& [channel, traffic] : fleet.traffic()) {
    bytes += traffic.sentBytes;
  }
  return bytes;
}

void measureJoin(HollowFleet& fleet, const ScaleRunSettings& settings, ScaleResult& result) {
  const MonotonicTime begin = monotonicNow();
  const std::size_t nodes = settings.fleet.nodes;
  std::size_t configured = 0;
  result.joined = waitUntil(
      [&] {
        configured += fleet.takeAdoptions().size();
        return configured >= nodes && fleet.countBelieving(nodes) == nodes;
      },
      settings.joinBound);
  result.joinSeconds = secondsSince(begin);
  result.joinBytesPerSecond =
      static_cast<double>(sentBytes(fleet)) / (result.joinSeconds * static_cast<double>(nodes));
  result.settled =
      waitUntil([&fleet] { return fleet.countSpreading() == 0; }, settings.settleBound);
}

void measureSteady(HollowFleet& fleet, const ScaleRunSettings& settings, ScaleResult& result) {
  const auto trafficBefore = fleet.traffic();
  const membership::MembershipCounters countersBefore = fleet.counters();
  const double processorBefore = fleet.processorSeconds();
  const MonotonicTime begin = monotonicNow();
  std::this_thread::sleep_for(settings.steadyTime);
  const double perNodeSecond = 1 / (secondsSince(begin) * static_cast<double>(result.nodes));
  constexpr double kPercent = 100;
  result.cpuPercent = kPercent * (fleet.processorSeconds() - processorBefore) * perNodeSecond;
  auto traffic = fleet.traffic();
  for (const auto& [channel, after] : traffic) {
    const auto found = trafficBefore.find(channel);
    const peer::ChannelTraffic before =
        found == trafficBefore.end() ? peer::ChannelTraffic{} : found->second;
    ChannelRate rate{channelName(channel), 0, 0};
    rate.bytesPerSecond = static_cast<double>(after.sentBytes - before.sentBytes) * perNodeSecond;
    rate.messagesPerSecond =
        static_cast<double>(after.sentMessages - before.sentMessages) * perNodeSecond;
    result.bytesPerSecond += rate.bytesPerSecond;
    result.messagesPerSecond += rate.messagesPerSecond;
    result.channels.push_back(rate);
  }
  const membership::MembershipCounters counters = fleet.counters();
  result.falseDeaths = counters.deaths - countersBefore.deaths;
  result.suspicions = counters.suspicions - countersBefore.suspicions;
}

NoticeTimes summarize(std::vector<double>& samples, std::size_t expected) {
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  NoticeTimes times;
  times.missed = expected - std::min(expected, samples.size());
  times.p50Ms = percentile(samples, kMedian);
  times.p99Ms = percentile(samples, kTail);
  times.lastMs = percentile(samples, 1);
  return times;
}

/// Lets `act` happen to the nodes `first` to `last` and waits until all that go on have seen
/// `change` of each.
/// @param gone nodes that are down already.
NoticeTimes measureNotice(HollowFleet& fleet, const ScaleRunSettings& settings, std::size_t first,
                          std::size_t last, MemberChange change,
                          const std::function<void(std::size_t)>& act) {
  fleet.takeObservations();
  fleet.record(true);
  std::map<std::string, MonotonicTime> begins;
  for (std::size_t index = first; index < last; ++index) {
    begins[fleet.nameOf(index)] = monotonicNow();
    act(index);
  }
  // Those before `first` are down, those from `first` to `last` are the events.
  const std::size_t observers = settings.fleet.nodes - last;
  const std::size_t expected = observers * (last - first);
  std::vector<double> samples;
  const MonotonicTime begin = monotonicNow();
  while (samples.size() < expected && monotonicNow() - begin < settings.noticeBound) {
    std::this_thread::sleep_for(kPollInterval);
    for (const hollow::Observation& seen : fleet.takeObservations()) {
      const auto event = begins.find(seen.subject);
      if (event != begins.end() && seen.change == change && seen.observer >= last) {
        samples.push_back(toMilliseconds(seen.time - event->second));
      }
    }
  }
  fleet.record(false);
  return summarize(samples, expected);
}

/// Publishes a bundle and adds to `samples` how long each node took to have it in force.
Result<void> publishAndWait(HollowFleet& fleet, ScaleStore& store, const ScaleRunSettings& settings,
                            std::vector<double>& samples) {
  fleet.takeAdoptions();
  const Result<MonotonicTime> begin = store.publishNext();
  if (!begin) {
    return begin.error();
  }
  std::size_t adopted = 0;
  waitUntil(
      [&] {
        for (const hollow::Adoption& adoption : fleet.takeAdoptions()) {
          if (adoption.version == store.version()) {
            ++adopted;
            samples.push_back(toMilliseconds(adoption.time - begin.value()));
          }
        }
        return adopted >= settings.fleet.nodes;
      },
      settings.noticeBound);
  return boost::outcome_v2::success();
}

Result<NoticeTimes> measureChanges(HollowFleet& fleet, ScaleStore& store,
                                   const ScaleRunSettings& settings) {
  std::vector<double> samples;
  for (std::size_t change = 0; change < settings.changes; ++change) {
    const Result<void> published = publishAndWait(fleet, store, settings, samples);
    if (!published) {
      return published.error();
    }
    std::this_thread::sleep_for(kChangeInterval);
  }
  return summarize(samples, settings.changes * settings.fleet.nodes);
}

}  // namespace

Result<ScaleResult> runScaleSize(const ScaleRunSettings& settings) {
  ScaleResult result;
  result.nodes = settings.fleet.nodes;
  ScaleStore store(settings.bundle);
  const Result<Endpoint> storeEndpoint = store.start();
  if (!storeEndpoint) {
    return storeEndpoint.error();
  }
  hollow::HollowFleetSettings fleetSettings = settings.fleet;
  fleetSettings.configuration.store.objectApi = {storeEndpoint.value()};
  fleetSettings.signingRule = store.signingRule();
  // The fleet starts with a configuration in the store, as a running deployment's does.
  const Result<MonotonicTime> published = store.publishNext();
  if (!published) {
    return published.error();
  }
  result.bundleBytes = store.bundleBytes();
  const double residentBefore = residentBytes();
  HollowFleet fleet(fleetSettings);
  const Result<void> started = fleet.start();
  if (!started) {
    return started.error();
  }
  measureJoin(fleet, settings, result);
  measureSteady(fleet, settings, result);
  result.residentBytes =
      (residentBytes() - residentBefore) / static_cast<double>(settings.fleet.nodes);
  const Result<NoticeTimes> change = measureChanges(fleet, store, settings);
  if (!change) {
    return change.error();
  }
  result.change = change.value();
  const std::size_t failed = settings.failures;
  const std::size_t gone = failed + settings.leaves;
  result.failure = measureNotice(fleet, settings, 0, failed, MemberChange::kDied,
                                 [&fleet](std::size_t index) { fleet.fail(index); });
  result.leave = measureNotice(fleet, settings, failed, gone, MemberChange::kLeft,
                               [&fleet](std::size_t index) { fleet.leave(index); });
  return result;
}

}  // namespace calicodrift::bench
