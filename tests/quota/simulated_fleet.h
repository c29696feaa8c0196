#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "quota/quota_core.h"
#include "support/simulated_network.h"

namespace calicodrift::quota {

/// Records granted units with their time and computes the worst window. Independent of the limiter.
class WindowChecker {
 public:
  void add(double units, MonotonicTime at) { passed_.push_back({at, units}); }
  /// Maximum sum over any time span of length `window`.
  double worst(Milliseconds window) const {
    double worst = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const Passed& entry : passed_) {
      sum += entry.units;
      while (entry.at - passed_[first].at > window) {
        sum -= passed_[first++].units;
      }
      worst = std::max(worst, sum);
    }
    return worst;
  }

 private:
  struct Passed {
    MonotonicTime at{};
    double units = 0;
  };
  std::vector<Passed> passed_;
};

struct FleetOptions {
  std::size_t nodes = 79;
  std::size_t childrenPerNode = 16;
  QuotaBounds bounds{Milliseconds(8000), 0.1, 110'000};
  TenantLimit limit{124'000, 124'000};
  /// Probability that a call between nodes is lost.
  double loss = 0;
  /// Number of regions, each with an equal number of nodes and its own tree.
  std::size_t regions = 1;
};

/// Many QuotaCores in a tree in virtual time, driven as QuotaNode does: a claim that a node cannot
/// decide goes to its parent, then to a root, and roots borrow from those of other regions. One
/// tenant. Runs with the same seed are identical.
class SimulatedFleet {
 public:
  SimulatedFleet(FleetOptions options, std::uint64_t seed)
      : clock_(seed), random_(clock_.random()), options_(options) {
    clock_.run(Milliseconds(1'000'000));
    for (std::size_t number = 0; number < options_.nodes; ++number) {
      nodes_.emplace_back();
      nodes_[number].listedRoot = number - firstOf(number) < kRoots;
      start(number);
      refreshRole(number);
      borrow(number);
    }
  }

  MonotonicTime now() const { return clock_.now(); }
  std::mt19937_64& random() { return random_; }
  void run(Milliseconds duration) { clock_.run(duration); }
  void schedule(Milliseconds after, std::function<void()> action) {
    clock_.schedule(after, std::move(action));
  }

  /// Starts a process with empty state.
  void start(std::size_t number) {
    Node& node = nodes_[number];
    ++node.incarnation;
    node.core.emplace(options_.bounds);
    node.core->applyLimits({{TenantId("t"), options_.limit}}, now());
    node.core->setRole(roleOf(number), now());
  }
  void kill(std::size_t number) {
    ++nodes_[number].incarnation;
    nodes_[number].core.reset();
  }
  /// Freezes a node: messages sent to it are handled when it resumes.
  void freeze(std::size_t number, Milliseconds duration) {
    nodes_[number].frozenUntil = now() + duration;
  }
  /// Drops all calls from and to the node.
  void cut(std::size_t number, bool isCut) { nodes_[number].cut = isCut; }
  /// Drops all calls between the region and other regions.
  void cutRegion(std::size_t region, bool isCut) {
    if (isCut) {
      cutRegions_.insert(region);
    } else {
      cutRegions_.erase(region);
    }
  }
  std::size_t regionOf(std::size_t number) const {
    return std::min(number / regionSize(), options_.regions - 1);
  }
  /// Replaces one node by another in the list of roots. The replaced node learns of it after
  /// `delay`.
  void replaceRoot(std::size_t old, std::size_t successor, Milliseconds delay) {
    nodes_[successor].listedRoot = true;
    clock_.schedule(delay, [this, old] { nodes_[old].listedRoot = false; });
  }
  void setLimit(const TenantLimit& limit) {
    options_.limit = limit;
    for (Node& node : nodes_) {
      if (node.core) {
        node.core->applyLimits({{TenantId("t"), limit}}, now());
      }
    }
  }
  std::vector<std::size_t> roots() const {
    std::vector<std::size_t> found;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      if (nodes_[number].listedRoot) {
        found.push_back(number);
      }
    }
    return found;
  }
  std::vector<std::size_t> rootsOf(std::size_t region) const {
    std::vector<std::size_t> found = roots();
    std::erase_if(found, [this, region](std::size_t number) { return regionOf(number) != region; });
    return found;
  }

  /// Sends a request of the tenant to a node.
  void request(std::size_t number, double units) {
    Node& node = nodes_[number];
    if (!node.core || isFrozen(node)) {
      return;
    }
    node.core->setRole(roleOf(number), now());
    requested_ += units;
    claim(number, units, 0, [this, units](const Decision& decision) {
      if (decision.verdict == Verdict::kGranted) {
        granted_ += units;
        checker.add(units, now());
      }
    });
  }

  double requested() const { return requested_; }
  double granted() const { return granted_; }
  std::size_t messages() const { return messages_; }
  void resetCounts() { requested_ = granted_ = 0; }

  WindowChecker checker;

 private:
  static constexpr std::size_t kRoots = 2;
  static constexpr Milliseconds kHop{1};
  static constexpr Milliseconds kInterRegionHop{30};
  static constexpr Milliseconds kBorrowInterval{100};
  static constexpr Milliseconds kTimeout{120};
  static constexpr std::uint32_t kMaxHops = 12;

  using Answer = std::function<void(const Decision&)>;
  struct Node {
    std::optional<QuotaCore> core;
    std::uint64_t incarnation = 0;
    bool listedRoot = false;
    bool cut = false;
    MonotonicTime frozenUntil{};
  };

  bool isFrozen(const Node& node) const { return now() < node.frozenUntil; }
  bool reachable(std::size_t number) {
    const Node& node = nodes_[number];
    const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < options_.loss;
    return node.core && !node.cut && !isFrozen(node) && !lost;
  }
  std::optional<std::size_t> parentOf(std::size_t number) const {
    const std::size_t first = firstOf(number);
    const std::size_t position = number - first;
    if (position >= kRoots * (1 + options_.childrenPerNode)) {
      return first + kRoots + (position - kRoots) / options_.childrenPerNode - kRoots;
    }
    const std::vector<std::size_t> all = rootsOf(regionOf(number));
    return all.empty() ? std::nullopt : std::optional(all[number % all.size()]);
  }
  QuotaRoleShare roleOf(std::size_t number) const {
    if (nodes_[number].listedRoot) {
      const std::size_t ofRegion = std::max(kRoots, rootsOf(regionOf(number)).size());
      return {QuotaRole::kRoot, 1 / static_cast<double>(ofRegion * options_.regions)};
    }
    return {QuotaRole::kFollower, 0};
  }

  void refreshRole(std::size_t number) {
    Node& node = nodes_[number];
    if (node.core && !isFrozen(node)) {
      node.core->setRole(roleOf(number), now());
    }
    clock_.schedule(QuotaCore::kRoleRefreshInterval, [this, number] { refreshRole(number); });
  }

  /// Lets a root claim what it lacks from the roots of the other regions.
  void borrow(std::size_t number) {
    Node& node = nodes_[number];
    if (node.core && !isFrozen(node) && !node.cut) {
      std::vector<std::size_t> lenders = roots();
      std::erase_if(
          lenders, [this, number](std::size_t root) { return regionOf(root) == regionOf(number); });
      for (const Claim& message : node.core->borrowClaims(lenders.size(), now())) {
        for (const std::size_t lender : lenders) {
          borrowFrom(number, lender, message);
        }
      }
    }
    clock_.schedule(kBorrowInterval, [this, number] { borrow(number); });
  }
  void borrowFrom(std::size_t number, std::size_t lender, const Claim& message) {
    const std::uint64_t incarnation = nodes_[number].incarnation;
    const MonotonicTime sent = now();
    clock_.schedule(kInterRegionHop, [this, number, lender, message, incarnation, sent] {
      if (!regionsConnected(number, lender) || !reachable(lender)) {
        return;
      }
      QuotaCore& core = *nodes_[lender].core;
      core.setRole(roleOf(lender), now());
      const Decision decision = core.claim(message.tenant, message.units, now());
      const ClaimAnswer answer = core.toAnswer(message, decision, now());
      clock_.schedule(kInterRegionHop, [this, number, lender, message, incarnation, sent, answer] {
        const bool sameRun = nodes_[number].incarnation == incarnation;
        if (sameRun && regionsConnected(number, lender) && reachable(number)) {
          nodes_[number].core->onBorrowed(message, answer, sent);
        }
      });
    });
  }
  bool regionsConnected(std::size_t left, std::size_t right) const {
    return !cutRegions_.contains(regionOf(left)) && !cutRegions_.contains(regionOf(right));
  }
  std::size_t regionSize() const { return options_.nodes / options_.regions; }
  std::size_t firstOf(std::size_t number) const { return regionOf(number) * regionSize(); }

  void claim(std::size_t number, double units, std::uint32_t hops, const Answer& answer) {
    Node& node = nodes_[number];
    const TenantKey key = keyOf(TenantId("t"));
    const Decision decision = node.core->claim(key, units, now());
    if (decision.verdict != Verdict::kAskSource || hops > kMaxHops) {
      answer(decision);
      return;
    }
    std::vector<std::size_t> sources;
    const bool isRoot = node.core->role().role == QuotaRole::kRoot;
    if (const auto parent = parentOf(number); parent && !isRoot && *parent != number) {
      sources.push_back(*parent);
    }
    for (const std::size_t root : rootsOf(regionOf(number))) {
      if (root != number && std::find(sources.begin(), sources.end(), root) == sources.end()) {
        sources.push_back(root);
      }
    }
    ask(number, node.core->toMessage(key, units, now()), hops, sources, answer);
  }

  void ask(std::size_t number, const Claim& message, std::uint32_t hops,
           std::vector<std::size_t> sources, const Answer& answer) {
    const std::uint64_t incarnation = nodes_[number].incarnation;
    const MonotonicTime sent = now();
    const auto finish = [this, number, incarnation, message, sent,
                         answer](const std::optional<ClaimAnswer>& got) {
      Node& node = nodes_[number];
      if (node.incarnation != incarnation || !node.core) {
        return;
      }
      answer(got ? node.core->onAnswer(message, *got, sent, now())
                 : node.core->onNoReply(message.tenant, message.units, now()));
    };
    if (sources.empty()) {
      finish(std::nullopt);
      return;
    }
    const std::size_t source = sources.front();
    sources.erase(sources.begin());
    ++messages_;
    const bool fromRoot = nodes_[number].core->role().role == QuotaRole::kRoot;
    if (nodes_[number].cut || !reachable(source)) {
      clock_.schedule(kTimeout, [this, number, message, hops, sources, answer, incarnation] {
        if (nodes_[number].incarnation == incarnation && nodes_[number].core) {
          ask(number, message, hops, sources, answer);
        }
      });
      return;
    }
    clock_.schedule(kHop, [this, number, source, message, hops, fromRoot, finish] {
      Node& receiver = nodes_[source];
      if (!receiver.core) {
        finish(std::nullopt);
        return;
      }
      receiver.core->setRole(roleOf(source), now());
      const auto reply = [this, number, source, message, finish](const Decision& decision) {
        if (!nodes_[source].core) {
          return;
        }
        const ClaimAnswer got = nodes_[source].core->toAnswer(message, decision, now());
        // The units of a lost answer are lost to the tenant.
        if (reachable(number)) {
          clock_.schedule(kHop, [finish, got] { finish(got); });
        }
      };
      claim(source, message.units, fromRoot ? kMaxHops + 1 : hops + 1, reply);
    });
  }

  testing::SimulatedNetwork clock_;
  std::mt19937_64& random_;
  FleetOptions options_;
  std::vector<Node> nodes_;
  std::set<std::size_t> cutRegions_;
  double requested_ = 0;
  double granted_ = 0;
  std::size_t messages_ = 0;
};

}  // namespace calicodrift::quota
