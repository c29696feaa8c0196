#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "peer/transport.h"

namespace calicodrift::testing {

/// Faults of the simulated network; probabilities from 0 to 1 for each message.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  Milliseconds shortestDelay{1};
  Milliseconds longestDelay{5};
};

/// A network in virtual time with seeded loss, duplication, delay (and so reordering) and cuts.
/// The same seed gives the same run.
class SimulatedNetwork {
 public:
  explicit SimulatedNetwork(std::uint64_t seed) : random_(seed) {}

  MonotonicTime now() const { return now_; }
  void setFaults(NetworkFaults faults) { faults_ = faults; }
  /// Cuts messages from `from` to `to`; cut both ways for a whole cut.
  void cut(const Endpoint& from, const Endpoint& to) { cuts_.insert({from, to}); }
  void healAll() { cuts_.clear(); }
  /// The node's process stands still: what arrives waits until resume().
  void pause(const Endpoint& endpoint) { waiting_[endpoint]; }
  /// Delivers what has arrived meanwhile, after `delay`.
  void resume(const Endpoint& endpoint, Milliseconds delay = Milliseconds(0));
  /// A stopped node receives nothing, and messages to it are lost.
  void detach(const Endpoint& endpoint) { attached_.erase(endpoint); }
  /// The transport of the node at `endpoint`. Attaching anew replaces the old one (a restart).
  std::unique_ptr<peer::Transport> attach(const Endpoint& endpoint);
  /// Runs `action` after `delay` of virtual time.
  void schedule(Milliseconds delay, std::function<void()> action) {
    events_.push({now_ + delay, sequence_++, std::move(action)});
  }
  /// Runs events in order of time until `duration` has passed.
  void run(Milliseconds duration);
  std::mt19937_64& random() { return random_; }

 private:
  class Port;
  struct Event {
    MonotonicTime time;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(time, sequence) > std::pair(other.time, other.sequence);
    }
  };

  void transmit(const Endpoint& from, const Endpoint& to, peer::Channel channel,
                const std::string& payload);
  void deliver(const Endpoint& from, const Endpoint& to, peer::Channel channel,
               const std::string& payload);
  bool happens(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  std::mt19937_64 random_;
  MonotonicTime now_{};
  std::uint64_t sequence_ = 0;
  NetworkFaults faults_;
  std::set<std::pair<Endpoint, Endpoint>> cuts_;
  std::map<Endpoint, Port*> attached_;
  /// Deliveries to paused nodes.
  std::map<Endpoint, std::vector<std::function<void()>>> waiting_;
  std::priority_queue<Event> events_;
};

class SimulatedNetwork::Port : public peer::Transport {
 public:
  Port(SimulatedNetwork& network, Endpoint endpoint)
      : network_(network), endpoint_(std::move(endpoint)) {}
  ~Port() override {
    const auto found = network_.attached_.find(endpoint_);
    if (found != network_.attached_.end() && found->second == this) {
      network_.attached_.erase(found);
    }
  }
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;

  void send(const Endpoint& to, peer::Channel channel, std::string payload) override {
    const auto found = network_.attached_.find(endpoint_);
    if (found != network_.attached_.end() && found->second == this) {
      network_.transmit(endpoint_, to, channel, payload);
    }
  }
  void setReceiver(peer::Channel channel, Receiver receiver) override {
    receivers_[channel] = std::move(receiver);
  }
  void receive(const Endpoint& from, peer::Channel channel, std::string_view payload) {
    const auto found = receivers_.find(channel);
    if (found != receivers_.end()) {
      found->second(from, payload);
    }
  }

 private:
  SimulatedNetwork& network_;
  Endpoint endpoint_;
  std::map<peer::Channel, Receiver> receivers_;
};

inline std::unique_ptr<peer::Transport> SimulatedNetwork::attach(const Endpoint& endpoint) {
  auto port = std::make_unique<Port>(*this, endpoint);
  attached_[endpoint] = port.get();
  return port;
}

inline void SimulatedNetwork::transmit(const Endpoint& from, const Endpoint& to,
                                       peer::Channel channel, const std::string& payload) {
  const int copies = happens(faults_.duplication) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (cuts_.contains({from, to}) || happens(faults_.loss)) {
      continue;
    }
    std::uniform_int_distribution<std::int64_t> delay(faults_.shortestDelay.count(),
                                                      faults_.longestDelay.count());
    schedule(Milliseconds(delay(random_)),
             [this, from, to, channel, payload] { deliver(from, to, channel, payload); });
  }
}

inline void SimulatedNetwork::deliver(const Endpoint& from, const Endpoint& to,
                                      peer::Channel channel, const std::string& payload) {
  if (const auto paused = waiting_.find(to); paused != waiting_.end()) {
    paused->second.emplace_back(
        [this, from, to, channel, payload] { deliver(from, to, channel, payload); });
    return;
  }
  const auto found = attached_.find(to);
  if (found != attached_.end()) {
    found->second->receive(from, channel, payload);
  }
}

inline void SimulatedNetwork::resume(const Endpoint& endpoint, Milliseconds delay) {
  auto paused = waiting_.extract(endpoint);
  if (paused.empty()) {
    return;
  }
  for (std::function<void()>& delivery : paused.mapped()) {
    schedule(delay, std::move(delivery));
  }
}

inline void SimulatedNetwork::run(Milliseconds duration) {
  const MonotonicTime end = now_ + duration;
  while (!events_.empty() && events_.top().time <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.action();
  }
  now_ = end;
}

}  // namespace calicodrift::testing
