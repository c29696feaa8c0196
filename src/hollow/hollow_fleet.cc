#include "hollow/hollow_fleet.h"

#include <time.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <future>

#include "common/hashing.h"

namespace calicodrift::hollow {
namespace {

/// Own nodes among the seeds, spread over the zones.
constexpr std::size_t kSeeds = 5;

}  // namespace

HollowFleet::HollowFleet(HollowFleetSettings settings) : settings_(std::move(settings)) {
  const std::size_t threads = std::min(settings_.threads, settings_.nodes);
  for (std::size_t index = 0; index < threads; ++index) {
    workers_.push_back(std::make_unique<Worker>());
  }
  for (std::size_t index = 0; index < settings_.nodes; ++index) {
    Worker& worker = workerOf(index);
    worker.nodes.push_back(std::make_unique<HollowNode>(worker.context));
  }
}

HollowFleet::~HollowFleet() {
  for (const auto& worker : workers_) {
    worker->context.stop();
  }
  for (const auto& worker : workers_) {
    if (worker->thread.joinable()) {
      worker->thread.join();
    }
  }
}

Result<void> HollowFleet::start() {
  for (std::size_t index = 0; index < settings_.nodes; ++index) {
    const Result<Endpoint> endpoint = node(index).listen(settings_.address);
    if (!endpoint) {
      return endpoint.error();
    }
    if (index < kSeeds) {
      settings_.membership.seeds.push_back(endpoint.value());
    }
  }
  for (std::size_t index = 0; index < settings_.nodes; ++index) {
    boost::asio::post(workerOf(index).context, [this, index] { startNode(index); });
  }
  for (const auto& worker : workers_) {
    worker->thread = std::thread([&context = worker->context] {
      const auto guard = boost::asio::make_work_guard(context);
      context.run();
    });
  }
  return boost::outcome_v2::success();
}

void HollowFleet::startNode(std::size_t index) {
  control::ControlPlaneSettings control;
  const auto started = std::chrono::duration_cast<Microseconds>(wallNow().time_since_epoch());
  control.self.id = NodeId(nameOf(index));
  control.self.incarnation = Incarnation(static_cast<std::uint64_t>(started.count()));
  control.self.zone = ZoneId("zone-" + std::to_string(index % settings_.zones));
  control.self.region = RegionId("region-1");
  control.membership = settings_.membership;
  control.seed = hashPair(settings_.seed, index);
  control.configuration = settings_.configuration;
  control.configuration.store.seed = hashPair(control.seed, 1);
  control.configuration.store.waitForPeers = true;
  control.signingRule = settings_.signingRule;
  Worker& worker = workerOf(index);
  node(index).start(std::move(control), [&worker, index](const bundle::Bundle& bundle) {
    worker.adoptions.push_back({index, bundle.version, monotonicNow()});
  });
  node(index).control().membership().addListener(
      [&worker, index](const membership::MemberRecord& record, membership::MemberChange change) {
        if (worker.recording) {
          worker.observations.push_back({index, record.info.id.value(), change, monotonicNow()});
        }
      });
}

std::string HollowFleet::nameOf(std::size_t index) const {
  return settings_.namePrefix + "-" + std::to_string(index);
}

const Endpoint& HollowFleet::endpointOf(std::size_t index) const {
  return node(index).endpoint();
}

void HollowFleet::runOn(Worker& worker, const std::function<void()>& action) {
  std::promise<void> done;
  boost::asio::post(worker.context, [&action, &done] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void HollowFleet::forEachRunning(const std::function<void(HollowNode&)>& visit) {
  for (const auto& worker : workers_) {
    runOn(*worker, [&worker, &visit] {
      for (const auto& node : worker->nodes) {
        if (node->running()) {
          visit(*node);
        }
      }
    });
  }
}

void HollowFleet::fail(std::size_t index) {
  runOn(workerOf(index), [this, index] { node(index).fail(); });
}

void HollowFleet::leave(std::size_t index) {
  runOn(workerOf(index), [this, index] { node(index).leave(); });
}

void HollowFleet::record(bool on) {
  for (const auto& worker : workers_) {
    runOn(*worker, [&worker, on] { worker->recording = on; });
  }
}

std::vector<Observation> HollowFleet::takeObservations() {
  std::vector<Observation> all;
  for (const auto& worker : workers_) {
    runOn(*worker, [&worker, &all] {
      all.insert(all.end(), worker->observations.begin(), worker->observations.end());
      worker->observations.clear();
    });
  }
  return all;
}

std::vector<Adoption> HollowFleet::takeAdoptions() {
  std::vector<Adoption> all;
  for (const auto& worker : workers_) {
    runOn(*worker, [&worker, &all] {
      all.insert(all.end(), worker->adoptions.begin(), worker->adoptions.end());
      worker->adoptions.clear();
    });
  }
  return all;
}

double HollowFleet::processorSeconds() {
  constexpr double kNanosecondsPerSecond = 1e9;
  double total = 0;
  for (const auto& worker : workers_) {
    runOn(*worker, [&total] {
      timespec used{};
      clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
      total += static_cast<double>(used.tv_sec) +
               static_cast<double>(used.tv_nsec) / kNanosecondsPerSecond;
    });
  }
  return total;
}

std::size_t HollowFleet::countBelieving(std::size_t present) {
  std::size_t count = 0;
  forEachRunning([&count, present](HollowNode& node) {
    count += node.control().membership().table().presentCount() == present ? 1 : 0;
  });
  return count;
}

std::size_t HollowFleet::countSpreading() {
  std::size_t count = 0;
  forEachRunning([&count](HollowNode& node) {
    count += node.control().membership().pendingNews() > 0 ? 1 : 0;
  });
  return count;
}

std::map<peer::Channel, peer::ChannelTraffic> HollowFleet::traffic() {
  std::map<peer::Channel, peer::ChannelTraffic> total;
  forEachRunning([&total](HollowNode& node) {
    for (const auto& [channel, traffic] : node.traffic()) {
      peer::ChannelTraffic& sum = total[channel];
      sum.sentMessages += traffic.sentMessages;
      sum.sentBytes += traffic.sentBytes;
      sum.receivedMessages += traffic.receivedMessages;
      sum.receivedBytes += traffic.receivedBytes;
      sum.dropped += traffic.dropped;
    }
  });
  return total;
}

membership::MembershipCounters HollowFleet::counters() {
  membership::MembershipCounters total;
  forEachRunning([&total](HollowNode& node) {
    const membership::MembershipCounters& counters = node.control().membership().counters();
    total.probes += counters.probes;
    total.failedProbes += counters.failedProbes;
    total.suspicions += counters.suspicions;
    total.refutations += counters.refutations;
    total.deaths += counters.deaths;
    total.pauses += counters.pauses;
  });
  return total;
}

}  // namespace calicodrift::hollow
