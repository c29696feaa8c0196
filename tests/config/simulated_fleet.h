#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/relay.h"
#include "config/store_view.h"
#include "support/bundles.h"
#include "support/simulated_network.h"

namespace calicodrift::testing {

using namespace config;  // NOLINT(google-build-using-namespace)

/// Nodes with the real relay, freshness tracker and store view over a simulated network, and a
/// store that is read once a second by the nodes that are watchers according to their roster.
/// Checks at each adoption that the version increases and that the text was accepted by the store.
/// Checks every 100 ms that every confirmed node has all versions active that were accepted longer
/// than the term ago.
class SimulatedFleet {
 public:
  static constexpr Milliseconds kTerm{7000};
  static constexpr Milliseconds kTick{100};
  static constexpr Milliseconds kWatch{1000};
  /// Time that the membership takes to detect a dead node.
  static constexpr Milliseconds kDetection{8000};
  static constexpr std::size_t kWatchersPerZone = 2;

  SimulatedFleet(std::uint64_t seed, std::size_t nodes, std::size_t zones, NetworkFaults faults)
      : network_(seed), zones_(zones) {
    network_.setFaults(faults);
    for (std::size_t index = 0; index < nodes; ++index) {
      peer::PeerInfo info{NodeId("n" + std::to_string(index)), Incarnation(1),
                          ZoneId("z" + std::to_string(index % zones)), RegionId("r"),
                          Endpoint{"10.0.0.1", static_cast<std::uint16_t>(1000 + index)}};
      members_[info.endpoint] = info;
      slots_.push_back(Slot{info, nullptr, 0});
      start(index);
    }
    network_.schedule(kTick, [this] { check(); });
  }

  void submit(const bundle::SignedBundle& signedBundle, std::uint64_t version) {
    setStore(signedBundle);
    accepted_[version] = network_.now();
    acceptedTexts_.insert(digestOf(signedBundle.text));
    for (std::size_t index = 0; index < slots_.size(); ++index) {
      watchNow(index);
    }
  }
  /// Writes an object to the store without marking it as accepted, as restoring a backup does.
  void setStore(const bundle::SignedBundle& signedBundle) {
    store_.spec = bundle::toJson(signedBundle);
    store_.version = object_api::ResourceVersion(store_.version.value() + 1);
  }
  void setStoreUp(bool up) { storeUp_ = up; }
  /// Cuts a zone off from the store.
  void cutStore(std::size_t zone) { cutFromStore_.insert(zone); }
  void healStore() { cutFromStore_.clear(); }

  void stop(std::size_t index) {
    slots_[index].node.reset();
    const Endpoint endpoint = slots_[index].info.endpoint;
    network_.schedule(kDetection, [this, index, endpoint] {
      if (!slots_[index].node) {
        members_.erase(endpoint);
      }
    });
  }
  void start(std::size_t index) {
    Slot& slot = slots_[index];
    members_[slot.info.endpoint] = slot.info;
    ++slot.incarnation;
    slot.node = std::make_unique<Node>(*this, slot.info);
    const std::uint64_t incarnation = slot.incarnation;
    const auto phase = static_cast<std::int64_t>(network_.random()() % kTick.count());
    network_.schedule(Milliseconds(phase),
                      [this, index, incarnation] { tick(index, incarnation); });
    const Milliseconds watchPhase(500 + static_cast<std::int64_t>(network_.random()() % 1000));
    network_.schedule(watchPhase, [this, index, incarnation] { watch(index, incarnation); });
  }
  void cutZones(const std::vector<std::size_t>& apart) {
    const auto isApart = [&](std::size_t index) {
      return std::find(apart.begin(), apart.end(), index % zones_) != apart.end();
    };
    for (std::size_t from = 0; from < slots_.size(); ++from) {
      for (std::size_t to = 0; to < slots_.size(); ++to) {
        if (isApart(from) != isApart(to)) {
          network_.cut(slots_[from].info.endpoint, slots_[to].info.endpoint);
        }
      }
    }
  }

  /// Runs until every running node has `version` active. Returns the time it took, or `bound`.
  Milliseconds runUntilInForce(std::uint64_t version, Milliseconds bound) {
    const MonotonicTime begin = network_.now();
    while (network_.now() - begin < bound && countInForce(version) < running()) {
      network_.run(Milliseconds(1));
    }
    return std::chrono::duration_cast<Milliseconds>(network_.now() - begin);
  }
  std::size_t countInForce(std::uint64_t version) const {
    return count([version](const Node& node) { return node.holder.version().value() == version; });
  }
  std::size_t countConfirmed() const {
    return count([this](const Node& node) { return node.freshness.confirmed(network_.now()); });
  }
  std::size_t running() const {
    return count([](const Node&) { return true; });
  }
  /// Running nodes that consider themselves watchers.
  std::vector<std::size_t> watchers() const {
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < slots_.size(); ++index) {
      if (slots_[index].node && slots_[index].node->roster.isWatcher()) {
        indexes.push_back(index);
      }
    }
    return indexes;
  }
  bool confirmed(std::size_t index) const {
    return slots_[index].node->freshness.confirmed(network_.now());
  }
  SimulatedNetwork& network() { return network_; }
  const Endpoint& endpointOf(std::size_t index) const { return slots_[index].info.endpoint; }

  Signers signers;
  /// Violations of the invariants that are checked continuously.
  std::uint64_t reverts = 0;
  std::uint64_t unacceptedTexts = 0;
  std::uint64_t staleConfirmations = 0;
  /// Payload bytes and messages sent by all nodes.
  std::uint64_t sentBytes = 0;
  std::uint64_t sentMessages = 0;

 private:
  class CountingTransport : public peer::Transport {
   public:
    CountingTransport(SimulatedFleet& fleet, const Endpoint& endpoint)
        : fleet_(fleet), inner_(fleet.network_.attach(endpoint)) {}
    void send(const Endpoint& to, peer::Channel channel, std::string payload) override {
      if (payload.size() > peer::kMaxPayloadBytes) {
        throw std::length_error("a message exceeds a datagram");
      }
      ++fleet_.sentMessages;
      fleet_.sentBytes += payload.size();
      inner_->send(to, channel, std::move(payload));
    }
    void setReceiver(peer::Channel channel, Receiver receiver) override {
      inner_->setReceiver(channel, std::move(receiver));
    }

   private:
    SimulatedFleet& fleet_;
    std::unique_ptr<peer::Transport> inner_;
  };

  class Directory : public peer::PeerDirectory {
   public:
    Directory(const SimulatedFleet& fleet, peer::PeerInfo self)
        : fleet_(fleet), self_(std::move(self)) {}
    const peer::PeerInfo& self() const override { return self_; }
    std::vector<peer::PeerInfo> alivePeers() const override {
      std::vector<peer::PeerInfo> peers;
      for (const auto& [endpoint, info] : fleet_.members_) {
        if (endpoint != self_.endpoint) {
          peers.push_back(info);
        }
      }
      return peers;
    }

   private:
    const SimulatedFleet& fleet_;
    peer::PeerInfo self_;
  };

  struct Node {
    Node(SimulatedFleet& fleet, const peer::PeerInfo& info)
        : transport(fleet, info.endpoint),
          directory(fleet, info),
          metrics(registry),
          holder(fleet.signers.rule(),
                 [this, &fleet](const bundle::Bundle& adopted) {
                   fleet.checkAdoption(*this, adopted);
                 }),
          freshness(kTerm, holder),
          roster(directory, kWatchersPerZone),
          relay({}, transport, roster, holder, freshness, metrics, fleet.network_.random()()),
          view(roster, holder, freshness, metrics,
               [this, &fleet] { relay.announceIfNew(fleet.network_.now()); }) {
      transport.setReceiver(peer::Channel::kConfig,
                            [this, &fleet](const Endpoint& from, std::string_view payload) {
                              relay.receive(from, payload, fleet.network_.now());
                            });
    }
    CountingTransport transport;
    Directory directory;
    prometheus::Registry registry;
    ConfigMetrics metrics;
    BundleHolder holder;
    FreshnessTracker freshness;
    Roster roster;
    Relay relay;
    StoreView view;
    object_api::ResourceVersion seen;
    std::uint64_t highest = 0;
  };

  struct Slot {
    peer::PeerInfo info;
    std::unique_ptr<Node> node;
    std::uint64_t incarnation = 0;
  };

  template <typename Condition>
  std::size_t count(Condition condition) const {
    std::size_t total = 0;
    for (const Slot& slot : slots_) {
      total += slot.node && condition(*slot.node) ? 1 : 0;
    }
    return total;
  }

  void checkAdoption(Node& node, const bundle::Bundle& adopted) {
    reverts += adopted.version.value() <= node.highest ? 1 : 0;
    node.highest = adopted.version.value();
    unacceptedTexts += acceptedTexts_.contains(node.holder.digest()) ? 0 : 1;
  }

  void tick(std::size_t index, std::uint64_t incarnation) {
    Slot& slot = slots_[index];
    if (!slot.node || slot.incarnation != incarnation) {
      return;
    }
    slot.node->relay.tick(network_.now());
    network_.schedule(kTick, [this, index, incarnation] { tick(index, incarnation); });
  }

  void watch(std::size_t index, std::uint64_t incarnation) {
    if (!slots_[index].node || slots_[index].incarnation != incarnation) {
      return;
    }
    watchNow(index);
    network_.schedule(kWatch, [this, index, incarnation] { watch(index, incarnation); });
  }

  void watchNow(std::size_t index) {
    const Slot& slot = slots_[index];
    const bool reads = storeUp_ && slot.node && slot.node->view.shouldRead(network_.now()) &&
                       !cutFromStore_.contains(index % zones_) && store_.version.value() > 0;
    if (!reads) {
      return;
    }
    const BundleVersion versionThen = slot.node->holder.version();
    if (slot.node->seen != store_.version) {
      slot.node->seen = store_.version;
      slot.node->view.handleObject(store_);
    }
    slot.node->view.handleBookmark(network_.now(), versionThen);
  }

  void check() {
    const auto due = [this](const auto& item) { return network_.now() - item.second > kTerm; };
    std::uint64_t required = 0;
    for (const auto& item : accepted_) {
      required = due(item) ? std::max(required, item.first) : required;
    }
    for (const Slot& slot : slots_) {
      if (!slot.node || !slot.node->holder.current()) {
        continue;
      }
      const BundleHolder& holder = slot.node->holder;
      const bool behind = holder.version().value() < required;
      staleConfirmations += behind && slot.node->freshness.confirmed(network_.now()) ? 1 : 0;
    }
    network_.schedule(kTick, [this] { check(); });
  }

  SimulatedNetwork network_;
  std::size_t zones_;
  std::map<Endpoint, peer::PeerInfo> members_;
  std::vector<Slot> slots_;
  object_api::StoredObject store_{"bundles", "current", {}, ""};
  bool storeUp_ = true;
  std::set<std::size_t> cutFromStore_;
  std::set<BundleDigest> acceptedTexts_;
  /// Time at which each version was accepted.
  std::map<std::uint64_t, MonotonicTime> accepted_;
};

}  // namespace calicodrift::testing
