#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "support/simulated_network.h"

namespace calicodrift::testing {

using membership::MemberChange;
using membership::MemberRecord;
using membership::Membership;
using membership::MembershipSettings;

/// Many Membership machines on a simulated network in virtual time.
class MembershipFleet {
 public:
  struct Death {
    std::size_t observer;
    NodeId subject;
    MonotonicTime time;
  };

  MembershipFleet(std::size_t nodes, std::size_t zones, MembershipSettings settings,
                  std::uint64_t seed = 1)
      : network(seed), zones_(zones), settings_(std::move(settings)), nodes_(nodes) {
    for (std::size_t index = 0; index < seedCount_ && index < nodes; ++index) {
      settings_.seeds.push_back(endpointOf(index));
    }
  }

  static Endpoint endpointOf(std::size_t index) {
    return {"10.0.0." + std::to_string(index + 1), 7000};
  }
  static NodeId idOf(std::size_t index) { return NodeId("node-" + std::to_string(index)); }
  std::size_t size() const { return nodes_.size(); }
  Membership& node(std::size_t index) { return *nodes_[index].membership; }

  /// Starts a node, or starts it anew with an empty memory.
  void start(std::size_t index) {
    Slot& slot = nodes_[index];
    ++slot.generation;
    slot.membership.reset();
    slot.port = std::make_unique<CountingTransport>(network.attach(endpointOf(index)), *this);
    const auto tenth = static_cast<std::uint64_t>(network.now().time_since_epoch().count());
    const peer::PeerInfo self{idOf(index), Incarnation(tenth + slot.generation),
                              ZoneId("z" + std::to_string(index % zones_)), RegionId("r"),
                              endpointOf(index)};
    slot.membership = std::make_unique<Membership>(settings_, self, *slot.port, network.random()());
    slot.paused = false;
    slot.port->setReceiver(peer::Channel::kMembership,
                           [this, index](const Endpoint& from, std::string_view payload) {
                             receive(index, from, std::string(payload));
                           });
    slot.membership->addListener([this, index](const MemberRecord& record, MemberChange change) {
      if (change == MemberChange::kDied && record.info.id != idOf(index)) {
        deaths.push_back({index, record.info.id, network.now()});
      }
    });
    scheduleTick(index, slot.generation);
  }
  void startAll() {
    for (std::size_t index = 0; index < size(); ++index) {
      start(index);
    }
  }
  void crash(std::size_t index) {
    Slot& slot = nodes_[index];
    ++slot.generation;
    slot.membership.reset();
    network.detach(endpointOf(index));
  }
  void pause(std::size_t index) { nodes_[index].paused = true; }
  /// Goes on with a tick, and only then sees what has arrived meanwhile.
  void resume(std::size_t index) {
    Slot& slot = nodes_[index];
    slot.paused = false;
    slot.membership->tick(network.now());
    for (const auto& [from, payload] : std::exchange(slot.unread, {})) {
      slot.membership->receive(network.now(), from, payload);
    }
  }
  void cutBetween(const std::vector<std::size_t>& from, const std::vector<std::size_t>& to) {
    for (const std::size_t source : from) {
      for (const std::size_t target : to) {
        network.cut(endpointOf(source), endpointOf(target));
      }
    }
  }
  std::vector<std::size_t> range(std::size_t first, std::size_t last) const {
    std::vector<std::size_t> indexes;
    for (std::size_t index = first; index < last; ++index) {
      indexes.push_back(index);
    }
    return indexes;
  }

  /// Running nodes that don't believe in exactly the running nodes, at their present incarnations.
  std::size_t disagreeing() {
    std::size_t count = 0;
    for (const Slot& slot : nodes_) {
      count += slot.membership && !knowsAll(*slot.membership) ? 1 : 0;
    }
    return count;
  }
  bool runUntil(const std::function<bool()>& condition, Milliseconds bound) {
    constexpr Milliseconds kStep{100};
    for (Milliseconds passed{0}; passed < bound; passed += kStep) {
      if (condition()) {
        return true;
      }
      network.run(kStep);
    }
    return condition();
  }
  bool runUntilAgreed(Milliseconds bound) {
    return runUntil([this] { return disagreeing() == 0; }, bound);
  }

  SimulatedNetwork network;
  std::vector<Death> deaths;
  std::uint64_t sentBytes = 0;
  std::size_t largestPayload = 0;

 private:
  class CountingTransport : public peer::Transport {
   public:
    CountingTransport(std::unique_ptr<peer::Transport> inner, MembershipFleet& fleet)
        : inner_(std::move(inner)), fleet_(fleet) {}
    void send(const Endpoint& to, peer::Channel channel, std::string payload) override {
      fleet_.sentBytes += payload.size();
      fleet_.largestPayload = std::max(fleet_.largestPayload, payload.size());
      inner_->send(to, channel, std::move(payload));
    }
    void setReceiver(peer::Channel channel, Receiver receiver) override {
      inner_->setReceiver(channel, std::move(receiver));
    }

   private:
    std::unique_ptr<peer::Transport> inner_;
    MembershipFleet& fleet_;
  };
  struct Slot {
    std::unique_ptr<CountingTransport> port;
    std::unique_ptr<Membership> membership;
    std::uint64_t generation = 0;
    bool paused = false;
    std::vector<std::pair<Endpoint, std::string>> unread;
  };

  void receive(std::size_t index, const Endpoint& from, std::string payload) {
    Slot& slot = nodes_[index];
    if (slot.paused) {
      slot.unread.emplace_back(from, std::move(payload));
    } else if (slot.membership) {
      slot.membership->receive(network.now(), from, payload);
    }
  }
  void scheduleTick(std::size_t index, std::uint64_t generation) {
    network.schedule(settings_.tickInterval(), [this, index, generation] {
      Slot& slot = nodes_[index];
      if (slot.generation != generation) {
        return;
      }
      if (!slot.paused) {
        slot.membership->tick(network.now());
      }
      scheduleTick(index, generation);
    });
  }
  bool knowsAll(const Membership& membership) const {
    std::size_t running = 0;
    for (const Slot& slot : nodes_) {
      if (!slot.membership) {
        continue;
      }
      ++running;
      const NodeId& id = slot.membership->self().id;
      const MemberRecord* record = membership.table().find(membership::keyOf(id));
      const bool known = record != nullptr && record->present() &&
                         record->info.incarnation == slot.membership->self().incarnation;
      if (!known) {
        return false;
      }
    }
    return membership.table().presentCount() == running;
  }

  static constexpr std::size_t seedCount_ = 2;
  std::size_t zones_;
  MembershipSettings settings_;
  std::vector<Slot> nodes_;
};

}  // namespace calicodrift::testing
