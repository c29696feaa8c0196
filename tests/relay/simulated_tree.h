#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "relay/relay_core.h"
#include "relay/view_refresh_scheduler.h"
#include "support/simulated_network.h"

namespace calicodrift::relay {

/// How a node's own path to the store fails.
enum class StoreLoss {
  kNone,
  kRefused,
  /// The store does not answer, so that each call ends by its timeout.
  kSilent,
  /// The store rejects calls at once, as when it has too many.
  kRejected,
};

/// Many RelayCores in virtual time, with a store and views whose age depends on their path from it.
/// The same seed gives the same run.
class SimulatedTree {
 public:
  /// The kind whose age bound is kept if the settings have a read age for it.
  static constexpr const char* kRefreshedKind = "configuration";

  SimulatedTree(std::size_t nodes, std::size_t zones, std::uint64_t seed, RelaySettings settings)
      : clock_(seed), random_(clock_.random()), settings_(std::move(settings)), zones_(zones) {
    // A view that was never proven is stale from the beginning.
    clock_.run(kInitialTime);
    for (std::size_t number = 0; number < nodes; ++number) {
      nodes_.emplace_back();
    }
  }

  MonotonicTime now() const { return clock_.now(); }
  std::size_t size() const { return nodes_.size(); }

  /// Sets the maximum number of children of the node, and its extra delay, for its next starts.
  void setMaxChildren(std::size_t number, std::size_t places, Milliseconds extraStartDelay) {
    nodes_[number].maxChildren = places;
    nodes_[number].extraStartDelay = extraStartDelay;
  }
  std::size_t maxChildrenOf(std::size_t number) const {
    return nodes_[number].maxChildren.value_or(settings_.maxChildren);
  }
  /// Starts a process of the node after a random delay of at most `spread`.
  void start(std::size_t number, Milliseconds spread) {
    Node& node = nodes_[number];
    const std::uint64_t incarnation = ++node.incarnation;
    clock_.schedule(delay(spread), [this, number, incarnation] {
      Node& started = nodes_[number];
      if (started.incarnation == incarnation) {
        RelaySettings settings = settings_;
        settings.node = NodeId("n" + std::to_string(number));
        settings.endpoint = endpointOf(number);
        settings.zone = zoneOf(number);
        settings.maxChildren = maxChildrenOf(number);
        settings.extraStartDelay = started.extraStartDelay;
        started.core = std::make_unique<RelayCore>(settings, random_());
        started.off = false;
        started.provenAt = {};
        started.sourceProvenAt = {};
        started.pathSince = now();
        step(number, incarnation);
        if (settings.readAges.contains(kRefreshedKind)) {
          started.scheduler = ViewRefreshScheduler(
              viewRefreshSettings(settings.readAges[kRefreshedKind]), random_());
          refreshStaleView(number, incarnation);
        }
      }
    });
  }
  void startAll(Milliseconds spread) {
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      start(number, spread);
    }
  }
  /// A killed process refuses connections; a node whose machine is off does not answer.
  void kill(std::size_t number, bool powerOff) {
    ++nodes_[number].incarnation;
    nodes_[number].core.reset();
    nodes_[number].off = powerOff;
  }
  void killAll(bool powerOff) {
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      kill(number, powerOff);
    }
  }
  /// A frozen node neither sends nor answers.
  void setFrozen(std::size_t number, bool frozen) { nodes_[number].frozen = frozen; }
  void setCutFromStore(std::size_t number, bool cut) {
    setStoreLoss(number, cut ? StoreLoss::kSilent : StoreLoss::kNone);
  }
  void setStoreLoss(std::size_t number, StoreLoss loss) {
    Node& node = nodes_[number];
    refreshView(node);
    const bool hadPath = node.loss == StoreLoss::kNone;
    if (loss == StoreLoss::kNone && !hadPath) {
      node.pathSince = now();
    }
    if (loss == StoreLoss::kSilent && node.core && node.core->role() == RelayRole::kRoot) {
      // The pending watch.
      node.watchHangsUntil = now() + kStoreTimeout + delay(kWatch);
    }
    node.loss = loss;
  }
  /// Makes the store unavailable to the node for `duration`. If losses overlap, the one that ends
  /// later counts.
  void loseStore(std::size_t number, StoreLoss loss, Milliseconds duration) {
    Node& node = nodes_[number];
    const MonotonicTime end = now() + duration;
    if (end <= node.lossEnd) {
      return;
    }
    node.lossEnd = end;
    setStoreLoss(number, loss);
    clock_.schedule(duration, [this, number, end] {
      if (nodes_[number].lossEnd == end) {
        setStoreLoss(number, StoreLoss::kNone);
      }
    });
  }
  void setStoreDown(bool down) { storeDown_ = down; }
  /// Sets whether roots keep their confirmation, as they do where a limit is enforced.
  void setKeepsConfirmed(bool keeps) { keepsConfirmed_ = keeps; }
  /// Share of calls between nodes that are lost, from 0 to 1.
  void setLoss(double loss) { loss_ = loss; }

  void run(Milliseconds duration) { clock_.run(duration); }

  /// Number of calls to the store for the list of roots so far, including failed ones.
  std::size_t storeCalls() const { return storeCalls_; }
  /// Number of reads of lists that may be old, which are not in storeCalls().
  std::size_t staleReads() const { return staleReads_; }
  /// Number of reads of views from the store itself so far, including failed ones.
  std::size_t viewReadings() const { return readings_.size(); }
  /// Largest number of these reads within any second.
  std::size_t mostViewReadingsInASecond() const {
    std::size_t most = 0;
    for (auto first = readings_.begin(), last = first; last != readings_.end(); ++last) {
      while (*last - *first > Milliseconds(1000)) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }
  std::vector<std::size_t> roots() const {
    std::vector<std::size_t> found;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      if (nodes_[number].core && nodes_[number].core->role() == RelayRole::kRoot) {
        found.push_back(number);
      }
    }
    return found;
  }
  /// Null if the node cannot act now.
  RelayCore* coreOf(std::size_t number) {
    Node& node = nodes_[number];
    return node.frozen ? nullptr : node.core.get();
  }
  bool mayGrant(std::size_t number) const {
    const Node& node = nodes_[number];
    return node.core && !node.frozen && node.core->mayGrant(now(), node.sourceProvenAt);
  }
  Endpoint endpointOf(std::size_t number) const {
    return {"n" + std::to_string(number), static_cast<std::uint16_t>(1)};
  }
  static std::size_t numberOf(const Endpoint& endpoint) {
    return std::stoul(endpoint.address.substr(1));
  }
  /// Incarnation of the node's process; changes with each start and kill.
  std::uint64_t incarnationOf(std::size_t number) const { return nodes_[number].incarnation; }
  /// Nodes that grant a root's share of what all roots share.
  std::vector<std::size_t> grantingRoots() const {
    std::vector<std::size_t> found = roots();
    std::erase_if(found, [this](std::size_t number) { return !mayGrant(number); });
    return found;
  }
  /// Number of live nodes whose view is older than `age` or that have none.
  std::size_t olderThan(Milliseconds age) {
    std::size_t count = 0;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      const Node& node = nodes_[number];
      count += node.core && !node.frozen && now() - node.provenAt > age ? 1U : 0U;
    }
    return count;
  }
  /// Age of the oldest view among the nodes that have had a path to the store for `contact`.
  Milliseconds oldestViewWithPath(Milliseconds contact) {
    Milliseconds oldest{0};
    for (Node& node : nodes_) {
      if (!node.core || node.frozen || node.loss != StoreLoss::kNone ||
          now() - node.pathSince < contact) {
        continue;
      }
      refreshFromAbove(node);
      oldest = std::max(oldest, std::chrono::ceil<Milliseconds>(now() - node.provenAt));
    }
    return oldest;
  }
  std::vector<std::size_t> childrenOf(std::size_t number) const {
    std::vector<std::size_t> found;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (nodes_[other].core && nodes_[other].core->parent() == endpointOf(number)) {
        found.push_back(other);
      }
    }
    return found;
  }
  std::uint32_t greatestDepth() const {
    std::uint32_t depth = 0;
    for (const Node& node : nodes_) {
      if (node.core && node.core->role() == RelayRole::kChild) {
        depth = std::max(depth, node.core->depth());
      }
    }
    return depth;
  }
  std::size_t mostChildren() const {
    std::map<Endpoint, std::size_t> children;
    std::size_t most = 0;
    for (const Node& node : nodes_) {
      if (node.core && node.core->parent()) {
        most = std::max(most, ++children[*node.core->parent()]);
      }
    }
    return most;
  }

 private:
  static constexpr Milliseconds kInitialTime{1'000'000};
  static constexpr Milliseconds kStoreAnswer{4};
  static constexpr Milliseconds kHop{2};
  static constexpr Milliseconds kStoreTimeout{1200};
  static constexpr Milliseconds kRefusal{1};
  /// Longest watch of the store.
  static constexpr Milliseconds kWatch{600};
  /// Interval at which a root's watches prove its view, and at which a child asks its parent for
  /// the proof.
  static constexpr Milliseconds kProofInterval{200};

  struct Node {
    std::unique_ptr<RelayCore> core;
    std::optional<std::size_t> maxChildren;
    Milliseconds extraStartDelay{0};
    std::optional<ViewRefreshScheduler> scheduler;
    /// As given by the source, without what the node read from the store besides.
    MonotonicTime sourceProvenAt{};
    std::uint64_t incarnation = 0;
    MonotonicTime provenAt{};
    bool off = false;
    bool frozen = false;
    StoreLoss loss = StoreLoss::kNone;
    MonotonicTime lossEnd{};
    /// Since when the node can reach the store.
    MonotonicTime pathSince{};
    /// A watch of a store that stopped answering ends by its timeout, and no views are read until
    /// then.
    MonotonicTime watchHangsUntil{};
  };
  ZoneId zoneOf(std::size_t number) const { return ZoneId("z" + std::to_string(number % zones_)); }
  Milliseconds delay(Milliseconds longest) {
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_));
  }
  /// Runs `action` for the node unless it was killed in the meantime; deferred while the node is
  /// frozen.
  void later(std::size_t number, std::uint64_t incarnation, Milliseconds after,
             std::function<void(Node&)> action) {
    clock_.schedule(after, [this, number, incarnation, action = std::move(action)] {
      Node& node = nodes_[number];
      if (node.incarnation != incarnation || !node.core) {
        return;
      }
      if (node.frozen) {
        later(number, incarnation, Milliseconds(50), action);
      } else {
        action(node);
      }
    });
  }
  void stepLater(std::size_t number, std::uint64_t incarnation, Milliseconds after) {
    later(number, incarnation, after,
          [this, number, incarnation](Node& /*node*/) { step(number, incarnation); });
  }

  void step(std::size_t number, std::uint64_t incarnation) {
    Node& node = nodes_[number];
    refreshView(node);
    if (keepsConfirmed_) {
      node.core->keepConfirmed(now());
    }
    const RelayAction action = node.core->next(now(), node.sourceProvenAt);
    switch (action.step) {
      case RelayStep::kWait: {
        const auto wait = std::chrono::ceil<Milliseconds>(action.until - now());
        stepLater(number, incarnation, std::clamp(wait, Milliseconds(1), kProofInterval));
        break;
      }
      case RelayStep::kReadList:
        callStore(number, incarnation, [this](Node& asking, bool reached) {
          asking.core->onList(
              reached ? Result<RelayList>(list_) : fail(ErrorKind::kStoreUnavailable, "down"),
              now(), asking.sourceProvenAt);
        });
        break;
      case RelayStep::kReadStaleList:
        ++staleReads_;
        --storeCalls_;
        callStore(number, incarnation, [this](Node& asking, bool reached) {
          asking.core->onStaleList(reached
                                       ? Result<RelayList>(listBefore(now() - delay(kOldestList)))
                                       : fail(ErrorKind::kStoreUnavailable, "down"),
                                   now());
        });
        break;
      case RelayStep::kWriteList:
        callStore(number, incarnation, [this, list = action.list](Node& asking, bool reached) {
          std::optional<store::Revision> written;
          if (reached && list.revision == list_.revision) {
            list_ = list;
            list_.revision = store::Revision(list.revision.value() + 1);
            lists_[now()] = list_;
            written = list_.revision;
          }
          asking.core->onListWritten(written, now());
        });
        break;
      case RelayStep::kSendJoin:
        ask(number, incarnation, action);
        break;
      case RelayStep::kAnnounceRoots:
        tellRoots(number, incarnation, action);
        break;
    }
  }

  /// The list as it was at the time.
  RelayList listBefore(MonotonicTime time) const {
    const auto next = lists_.upper_bound(time);
    return next == lists_.begin() ? RelayList{} : std::prev(next)->second;
  }

  void callStore(std::size_t number, std::uint64_t incarnation,
                 const std::function<void(Node&, bool)>& answer) {
    ++storeCalls_;
    const bool reached = reachesStore(nodes_[number]);
    later(number, incarnation, timeOfCall(nodes_[number]),
          [this, number, incarnation, reached, answer](Node& node) {
            answer(node, reached);
            step(number, incarnation);
          });
  }

  void ask(std::size_t number, std::uint64_t incarnation, const RelayAction& action) {
    const std::size_t other = numberOf(action.relay.endpoint);
    Node& asked = nodes_[other];
    const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
    Result<JoinReply> reply = fail(ErrorKind::kConnectFailed, "refused");
    Milliseconds time = kHop;
    if (asked.off || asked.frozen || lost) {
      time = settings_.joinTimeout;
    } else if (asked.core) {
      refreshView(asked);
      reply = asked.core->answer(
          {"n" + std::to_string(number), endpointOf(number), zoneOf(number).value(),
           action.probeOnly, static_cast<std::uint32_t>(maxChildrenOf(number))},
          now(), asked.sourceProvenAt);
    }
    later(number, incarnation, time, [this, number, incarnation, action, reply](Node& node) {
      node.core->onReply(action, reply, now(), node.sourceProvenAt);
      step(number, incarnation);
    });
  }

  void tellRoots(std::size_t number, std::uint64_t incarnation, const RelayAction& action) {
    Node& told = nodes_[numberOf(action.relay.endpoint)];
    const bool silent = told.off || told.frozen;
    if (!silent && told.core) {
      told.core->learnRoots(action.list, now());
    }
    later(number, incarnation, silent ? settings_.joinTimeout : kHop,
          [this, number, incarnation, action, silent](Node& node) {
            node.core->onRootsAnnounced(action, !silent, now());
            step(number, incarnation);
          });
  }

  /// What RelayNode does besides maintaining its position in the tree.
  void refreshStaleView(std::size_t number, std::uint64_t incarnation) {
    Node& node = nodes_[number];
    refreshFromAbove(node);
    const Milliseconds readAge = settings_.readAges[kRefreshedKind];
    const MonotonicTime due = node.scheduler->due(node.provenAt, readAge, node.core->depth());
    const bool known = node.provenAt != MonotonicTime{};
    if (!known || now() < due) {
      const auto wait = std::chrono::ceil<Milliseconds>(due - now());
      later(number, incarnation, known ? wait : kProofInterval,
            [this, number, incarnation](Node& /*node*/) { refreshStaleView(number, incarnation); });
      return;
    }
    readings_.push_back(now());
    const bool reached = reachesStore(node);
    const MonotonicTime asked = now();
    const Milliseconds time = std::min(timeOfCall(node), node.scheduler->settings().callTimeout);
    later(number, incarnation, time, [this, number, incarnation, reached, asked](Node& reading) {
      reading.scheduler->onRead(reached, asked, now());
      if (reached) {
        reading.provenAt = std::max(reading.provenAt, asked);
        // The pending read is abandoned.
        reading.watchHangsUntil = {};
      }
      refreshStaleView(number, incarnation);
    });
  }

  bool reachesStore(const Node& node) const { return !storeDown_ && node.loss == StoreLoss::kNone; }
  Milliseconds timeOfCall(const Node& node) const {
    switch (node.loss) {
      case StoreLoss::kRefused:
        return storeDown_ ? kStoreTimeout : kRefusal;
      case StoreLoss::kSilent:
        return kStoreTimeout;
      case StoreLoss::kNone:
      case StoreLoss::kRejected:
        break;
    }
    return storeDown_ ? kStoreTimeout : kStoreAnswer;
  }

  /// Long polls propagate changes down the tree within milliseconds.
  void refreshFromAbove(Node& node) {
    std::vector<Node*> way{&node};
    while (way.size() < kLongestWay && way.back()->core && way.back()->core->parent()) {
      way.push_back(&nodes_[numberOf(*way.back()->core->parent())]);
    }
    for (auto above = way.rbegin(); above != way.rend(); ++above) {
      if ((*above)->core && !(*above)->frozen) {
        refreshView(**above);
      }
    }
  }
  static constexpr std::size_t kLongestWay = 12;
  /// Age of the oldest list that a stale read returns.
  static constexpr Milliseconds kOldestList{3000};

  /// Applies what the watches have returned in the meantime.
  void refreshView(Node& node) {
    if (!node.core) {
      return;
    }
    const bool root = node.core->role() == RelayRole::kRoot;
    if (!root) {
      // A node that stops being a root abandons its read from the store.
      node.watchHangsUntil = {};
    }
    if (now() < node.watchHangsUntil) {
      return;
    }
    if (root && node.loss == StoreLoss::kSilent) {
      node.watchHangsUntil = now() + kStoreTimeout + kWatch;
      return;
    }
    const bool rootSees = root && reachesStore(node) && !node.frozen;
    if (rootSees) {
      node.sourceProvenAt = now();
    } else if (const auto parent = node.core->parent()) {
      const Node& source = nodes_[numberOf(*parent)];
      if (source.core && !source.frozen && source.core->serves(now())) {
        node.sourceProvenAt = std::max(node.sourceProvenAt, source.provenAt);
      }
    }
    node.provenAt = std::max(node.provenAt, node.sourceProvenAt);
  }

  testing::SimulatedNetwork clock_;
  std::mt19937_64& random_;
  RelaySettings settings_;
  std::size_t zones_;
  std::vector<Node> nodes_;
  RelayList list_;
  /// The list since each time at which it was written.
  std::map<MonotonicTime, RelayList> lists_;
  std::size_t staleReads_ = 0;
  bool keepsConfirmed_ = false;
  bool storeDown_ = false;
  double loss_ = 0;
  std::size_t storeCalls_ = 0;
  std::vector<MonotonicTime> readings_;
};

}  // namespace calicodrift::relay
