#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "hollow/hollow_node.h"

namespace calicodrift::hollow {

struct HollowFleetSettings {
  std::size_t nodes = 1;
  std::size_t zones = 1;
  std::size_t threads = 1;
  /// Nodes are named PREFIX-0, PREFIX-1, ...
  std::string namePrefix = "hollow";
  std::string address = "127.0.0.1";
  /// `seeds` in it are of other processes; some of the own nodes are added.
  membership::MembershipSettings membership;
  config::ConfigurationSettings configuration;
  bundle::SigningRule signingRule;
  std::uint64_t seed = 1;
};

/// One change of a node's table.
struct Observation {
  std::size_t observer = 0;
  /// Name of the member that changed.
  std::string subject;
  membership::MemberChange change{};
  MonotonicTime time;
};

/// A bundle that came into force on a node.
struct Adoption {
  std::size_t observer = 0;
  BundleVersion version;
  MonotonicTime time;
};

/// Hollow nodes spread over a few threads, each with an io_context of its own. Every method runs
/// its work on the nodes' threads and waits for it; call them from one other thread.
class HollowFleet {
 public:
  explicit HollowFleet(HollowFleetSettings settings);
  ~HollowFleet();
  HollowFleet(const HollowFleet&) = delete;
  HollowFleet& operator=(const HollowFleet&) = delete;

  /// Binds all sockets and starts all nodes at once. Fails with kSettingsInvalid where a socket
  /// can't be had, as when the limit of open files is too low.
  Result<void> start();
  std::string nameOf(std::size_t index) const;
  const Endpoint& endpointOf(std::size_t index) const;

  void fail(std::size_t index);
  void leave(std::size_t index);
  /// Starts or stops to record changes of the nodes' tables.
  void record(bool on);
  /// What was recorded since the last call.
  std::vector<Observation> takeObservations();
  /// Which bundles came into force since the last call.
  std::vector<Adoption> takeAdoptions();
  /// Processor time that the nodes' threads have used, user and system.
  double processorSeconds();
  /// Running nodes that believe in exactly `present` members.
  std::size_t countBelieving(std::size_t present);
  /// Running nodes that still spread changes.
  std::size_t countSpreading();
  /// Sums over all nodes.
  std::map<peer::Channel, peer::ChannelTraffic> traffic();
  membership::MembershipCounters counters();

 private:
  struct Worker {
    boost::asio::io_context context{1};
    std::vector<std::unique_ptr<HollowNode>> nodes;
    std::vector<Observation> observations;
    std::vector<Adoption> adoptions;
    bool recording = false;
    std::thread thread;
  };

  Worker& workerOf(std::size_t index) { return *workers_[index % workers_.size()]; }
  HollowNode& node(std::size_t index) const {
    return *workers_[index % workers_.size()]->nodes[index / workers_.size()];
  }
  void startNode(std::size_t index);
  /// Runs `action` on the worker's thread and waits.
  static void runOn(Worker& worker, const std::function<void()>& action);
  void forEachRunning(const std::function<void(HollowNode&)>& visit);

  HollowFleetSettings settings_;
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace calicodrift::hollow
