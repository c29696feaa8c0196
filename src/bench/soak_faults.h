#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

#include "bench/fault_schedule.h"
#include "bench/soak_checker.h"
#include "bench/soak_fleet.h"
#include "bench/soak_load.h"

namespace calicodrift::bench {

/// Carries out a schedule of faults on the fleet and records what the checker needs of them.
/// Invariant: at most one fault at a time works on one target (two on different targets often do),
/// so that what a planned stop cuts is never the work of a kill.
class FaultRunner {
 public:
  FaultRunner(boost::asio::any_io_executor executor, SoakRun& run, FleetControl& control);

  /// Returns once every fault has ended and its target is whole again.
  boost::asio::awaitable<void> runAll(std::vector<FaultEvent> events);

  /// How often each kind was injected, by name; a kind that never was stands with 0.
  const std::map<std::string, std::uint64_t>& injected() const { return injected_; }
  const std::vector<StopWindow>& stops() const { return stops_; }
  /// The highest bundle version that the store accepted.
  BundleVersion acceptedVersion() const { return accepted_; }
  /// Planned stops that did not end in time.
  std::uint64_t stuckStops() const { return stuckStops_; }

 private:
  boost::asio::awaitable<void> runOne(FaultEvent event, MonotonicTime runStart);
  boost::asio::awaitable<void> strike(FaultEvent event);
  boost::asio::awaitable<void> stopAsPlanned(FaultEvent event);
  boost::asio::awaitable<void> watchLeaving(FaultEvent event);
  boost::asio::awaitable<void> pause(Milliseconds duration) const;
  boost::asio::awaitable<bool> act(FaultEvent event, bool begin);
  /// Numbers of the targets that a fault occupies.
  std::vector<std::size_t> slotsOf(const FaultEvent& event) const;
  bool allFree(const std::vector<std::size_t>& slots) const;
  void occupy(const std::vector<std::size_t>& slots, bool busy);

  boost::asio::any_io_executor executor_;
  SoakRun& run_;
  FleetControl& control_;
  std::vector<bool> busy_;
  std::size_t unfinished_ = 0;
  std::map<std::string, std::uint64_t> injected_;
  std::vector<StopWindow> stops_;
  BundleVersion accepted_;
  std::uint64_t stuckStops_ = 0;
};

}  // namespace calicodrift::bench
