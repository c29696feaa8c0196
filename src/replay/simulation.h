#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "replay/deployment.h"
#include "replay/event_queue.h"
#include "replay/measures.h"
#include "replay/trace.h"
#include "replay/virtual_engine.h"
#include "replay/virtual_router.h"

namespace calicodrift::replay {

/// Where the knowledge about caches is.
enum class IndexPlacement {
  /// Every router receives every cache event.
  kBroadcast,
  /// Every router knows what itself has sent and what came back; no cache events.
  kLocal,
  /// The router that owns a prompt's first blocks decides, at the price of a hop there and back. It
  /// sees every request for them and receives the cache events of them alone.
  kSharded,
};
std::optional<IndexPlacement> parseIndexPlacement(std::string_view text);
std::string_view toString(IndexPlacement placement);

struct ReplaySettings {
  Deployment deployment;
  std::size_t routers = 4;
  std::uint64_t seed = 1;
  /// Added to the way of each cache event.
  Milliseconds eventDelay{0};
  /// Probability that a batch of cache events never reaches a router.
  double eventLoss = 0;
  IndexPlacement index = IndexPlacement::kBroadcast;
  /// Engines that crash in the course of the trace; each comes back empty after kDownTime.
  std::size_t crashes = 0;
  /// Arrivals come this much faster than the trace says.
  double loadFactor = 1;

  static constexpr Milliseconds kDownTime{3000};
  static constexpr Milliseconds kReportInterval{200};
  static constexpr Milliseconds kReportLag{100};
};

/// One run of one policy over one trace. Equal arguments give an equal result.
class Simulation {
 public:
  Simulation(const ReplaySettings& settings, const Trace& trace, std::string_view policy);
  Measures run();

 private:
  /// One request over its attempts.
  struct Job {
    const TraceRequest* request = nullptr;
    routing::RouteRequest route;
    std::size_t router = 0;
    /// The router whose policy decides.
    std::size_t decider = 0;
    MonotonicTime received;
    std::uint32_t attempts = 0;
    std::size_t tokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t engine = 0;
    routing::Candidate backend;
    /// For each block: another engine held it when the request was dispatched.
    std::vector<bool> heldElsewhere;
  };

  static std::uint64_t attemptId(std::size_t job, std::uint32_t attempt);
  void scheduleArrivals();
  void scheduleCrashes();
  void startReports();
  void sendReports();
  void arrive(std::size_t index);
  std::size_t ownerOf(const std::vector<BlockHash>& blocks) const;
  Microseconds decisionDelay(const Job& job) const;
  void dispatch(std::size_t index);
  void submit(std::size_t index, std::uint32_t attempt);
  void noteHolders(Job& job);
  void onToken(std::size_t engine, const sim::TokenEvent& token);
  void onFirstToken(Job& job, const sim::TokenEvent& token);
  void onCompleted(std::size_t index);
  void onAttemptLost(std::size_t index, std::uint32_t attempt);
  void onCacheEvents(std::size_t engine, const std::vector<sim::CacheEvent>& events);
  bool receivesEvent(std::size_t router, BlockHash block) const;
  void crash(std::size_t engine);
  Microseconds latencyOf(const Job& job) const;
  void addWork(const Job& job);

  ReplaySettings settings_;
  const Trace& trace_;
  EventQueue queue_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<VirtualEngine>> engines_;
  std::vector<std::unique_ptr<VirtualRouter>> routers_;
  std::vector<Job> jobs_;
  /// The router that owns a block's prefix; filled for a sharded index only.
  std::unordered_map<BlockHash, std::size_t> owners_;
  std::size_t unfinished_ = 0;
  double workMs_ = 0;
  Measures measures_;
};

}  // namespace calicodrift::replay
