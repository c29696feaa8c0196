#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "claims/claim_node.h"
#include "support/simulated_network.h"

namespace calicodrift::claims::testing {

using calicodrift::testing::SimulatedNetwork;

/// The object API as seen by one node, in virtual time: linearizable, slow and sometimes
/// unreachable.
class SimulatedStore : public ViewStore {
 public:
  using Stored = std::optional<VersionedView>;
  SimulatedStore(SimulatedNetwork& network, Stored& stored) : network_(network), stored_(stored) {}
  void setDown(bool down) { down_ = down; }

  void read(ReadDone done) override {
    network_.schedule(delay(), [this, done] {
      Result<VersionedView> found = fail(ErrorKind::kStoreUnavailable, "down");
      if (!down_ && stored_) {
        found = *stored_;
      } else if (!down_) {
        found = fail(ErrorKind::kNotFound, "no view");
      }
      network_.schedule(delay(), [done, found] { done(found); });
    });
  }
  void write(const VersionedView& view, std::function<void()> done) override {
    network_.schedule(delay(), [this, view, done] {
      const auto current = stored_ ? stored_->version : object_api::ResourceVersion();
      if (!down_ && current == view.version) {
        stored_ = view;
        stored_->version = object_api::ResourceVersion(current.value() + 1);
      }
      network_.schedule(delay(), done);
    });
  }

 private:
  Milliseconds delay() { return Milliseconds(1 + network_.random()() % 20); }

  SimulatedNetwork& network_;
  Stored& stored_;
  bool down_ = false;
};

/// Queues received messages while the process is paused.
class PausableTransport : public peer::Transport {
 public:
  explicit PausableTransport(std::unique_ptr<peer::Transport> inner) : inner_(std::move(inner)) {}
  void send(const Endpoint& to, peer::Channel channel, std::string payload) override {
    inner_->send(to, channel, std::move(payload));
  }
  void setReceiver(peer::Channel channel, Receiver receiver) override {
    receiver_ = std::move(receiver);
    inner_->setReceiver(channel, [this](const Endpoint& from, std::string_view payload) {
      arrived_.emplace_back(from, payload);
      deliver();
    });
  }
  bool paused() const { return paused_; }
  void setPaused(bool paused) {
    paused_ = paused;
    deliver();
  }

 private:
  void deliver() {
    while (!paused_ && !arrived_.empty()) {
      const auto [from, payload] = arrived_.front();
      arrived_.pop_front();
      receiver_(from, payload);
    }
  }

  std::unique_ptr<peer::Transport> inner_;
  Receiver receiver_;
  std::deque<std::pair<Endpoint, std::string>> arrived_;
  bool paused_ = false;
};

/// Reports every running node as alive, except the suspected ones.
class SimulatedDirectory : public peer::PeerDirectory {
 public:
  SimulatedDirectory(peer::PeerInfo self, const std::map<NodeId, peer::PeerInfo>& running)
      : self_(std::move(self)), running_(running) {}
  const peer::PeerInfo& self() const override { return self_; }
  std::vector<peer::PeerInfo> alivePeers() const override {
    std::vector<peer::PeerInfo> alive;
    for (const auto& [id, info] : running_) {
      if (id != self_.id && !suspected.contains(id)) {
        alive.push_back(info);
      }
    }
    return alive;
  }
  std::set<NodeId> suspected;

 private:
  peer::PeerInfo self_;
  const std::map<NodeId, peer::PeerInfo>& running_;
};

/// Nodes whose clocks differ by at most the clock bound, over a simulated network and store. Counts
/// the dispatches that the granted claims allowed for each key.
class SimulatedFleet {
 public:
  SimulatedFleet(std::uint64_t seed, std::size_t nodes, ClaimSettings settings)
      : network(seed), settings_(settings), metrics_(registry_) {
    for (std::size_t index = 0; index < nodes; ++index) {
      nodes_.emplace_back();
      stores_.push_back(std::make_unique<SimulatedStore>(network, stored_));
      start(index);
    }
  }

  std::size_t size() const { return nodes_.size(); }
  bool running(std::size_t index) const { return nodes_[index].claims != nullptr; }
  ClaimNode& node(std::size_t index) { return *nodes_[index].claims; }
  SimulatedDirectory& directory(std::size_t index) { return *nodes_[index].directory; }
  SimulatedStore& store(std::size_t index) { return *stores_[index]; }
  /// Contents of the object API.
  SimulatedStore::Stored& storedView() { return stored_; }
  Endpoint endpoint(std::size_t index) const { return {"10.0.0." + std::to_string(index), 1}; }

  void stop(std::size_t index) {
    running_.erase(idOf(index));
    nodes_[index] = Member{};
  }
  /// Starts a process with an empty state. Its clock skew is drawn again, as if it ran on another
  /// machine.
  void start(std::size_t index) {
    Member& member = nodes_[index];
    member = Member{};
    const auto bound = static_cast<std::uint64_t>(settings_.maxClockSkew.count());
    const std::uint64_t skew = network.random()() % (bound + 1);
    const peer::PeerInfo self{idOf(index), Incarnation(++incarnations_),
                              ZoneId("z" + std::to_string(index % 3)), RegionId("r"),
                              endpoint(index)};
    running_[self.id] = self;
    member.transport = std::make_unique<PausableTransport>(network.attach(endpoint(index)));
    member.directory = std::make_unique<SimulatedDirectory>(self, running_);
    member.claims = std::make_unique<ClaimNode>(
        settings_, *member.transport, *member.directory, *stores_[index], metrics_,
        [this, skew] {
          return ClockReading{network.now(), trueWallTime() + skew};
        },
        network.random()());
    scheduleTick(index, self.incarnation);
  }
  void restart(std::size_t index) {
    stop(index);
    start(index);
  }
  void setPaused(std::size_t index, bool paused) { nodes_[index].transport->setPaused(paused); }
  bool paused(std::size_t index) const { return nodes_[index].transport->paused(); }

  /// True wall time; the clock of each node is ahead of it by up to the clock bound.
  WallMilliseconds trueWallTime() const {
    constexpr WallMilliseconds kStart = 1'700'000'000'000;
    const auto elapsed = network.now().time_since_epoch();
    return kStart +
           static_cast<WallMilliseconds>(std::chrono::duration_cast<Milliseconds>(elapsed).count());
  }
  /// Creates a key with a timestamp `lead` ms after the true time (before it, if negative).
  ClaimKey makeKey(std::int64_t lead) {
    const auto time =
        static_cast<WallMilliseconds>(static_cast<std::int64_t>(trueWallTime()) + lead);
    const std::string text = makeUuidV7(time, network.random()(), network.random()());
    return parseClaimKey(TenantId("t"), text).value();
  }
  /// Requests a claim on a node. A granted claim counts as a dispatch and completes after
  /// `workTime`.
  void request(std::size_t index, const ClaimKey& key, Milliseconds workTime) {
    const Incarnation incarnation = nodes_[index].directory->self().incarnation;
    node(index).claim(key, [this, index, key, workTime, incarnation](const ClaimResult& result) {
      ++verdicts[result.verdict];
      lastVerdict[key] = result.verdict;
      if (result.verdict != ClaimVerdict::kGranted) {
        return;
      }
      ++dispatches[key];
      network.schedule(workTime, [this, index, key, incarnation, token = result.token] {
        if (running(index) && nodes_[index].directory->self().incarnation == incarnation &&
            !paused(index)) {
          node(index).complete(key, token, StoredOutcome{200, "text/plain", true, "done"});
        }
      });
    });
  }
  int maxDispatchesOfAnyKey() const {
    int maximum = 0;
    for (const auto& entry : dispatches) {
      maximum = std::max(maximum, entry.second);
    }
    return maximum;
  }

  SimulatedNetwork network;
  std::map<ClaimKey, int> dispatches;
  std::map<ClaimKey, ClaimVerdict> lastVerdict;
  std::map<ClaimVerdict, int> verdicts;

 private:
  struct Member {
    std::unique_ptr<PausableTransport> transport;
    std::unique_ptr<SimulatedDirectory> directory;
    std::unique_ptr<ClaimNode> claims;
  };

  static NodeId idOf(std::size_t index) { return NodeId("n" + std::to_string(index)); }
  void scheduleTick(std::size_t index, Incarnation incarnation) {
    constexpr Milliseconds kTick{10};
    network.schedule(kTick, [this, index, incarnation] {
      if (!running(index) || nodes_[index].directory->self().incarnation != incarnation) {
        return;
      }
      if (!paused(index)) {
        node(index).tick();
      }
      scheduleTick(index, incarnation);
    });
  }

  ClaimSettings settings_;
  prometheus::Registry registry_;
  ClaimMetrics metrics_;
  std::map<NodeId, peer::PeerInfo> running_;
  std::uint64_t incarnations_ = 0;
  SimulatedStore::Stored stored_;
  std::vector<std::unique_ptr<SimulatedStore>> stores_;
  std::vector<Member> nodes_;
};

/// Settings with short timeouts, so that a schedule of a few seconds exercises every rule.
inline ClaimSettings shortTimeoutSettings() {
  ClaimSettings settings;
  settings.maxClockSkew = Milliseconds(100);
  settings.retention = Milliseconds(8000);
  settings.claimTimeout = Milliseconds(200);
  settings.claimRetransmit = Milliseconds(30);
  settings.viewChangeDelay = Milliseconds(200);
  settings.storeInterval = Milliseconds(50);
  settings.joinInterval = Milliseconds(30);
  return settings;
}

}  // namespace calicodrift::claims::testing
