#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/full_servers.h"
#include "fleet/server_backoffs.h"
#include "server_limits/held_permits.h"
#include "server_limits/permit_issuer.h"
#include "server_limits/refusal_limits.h"

namespace calicodrift::server_limits {

/// How the nodes of a simulated fleet spare servers that bear few refusals.
enum class Sparing {
  /// One root issues permits.
  kPermits,
  /// Each node pauses a server that has refused, and then tries it by itself.
  kPauses,
};

/// What a schedule consists of.
struct SimulatedLoad {
  std::size_t nodes = 7;
  std::size_t servers = 7;
  /// Requests that a server lists that it works on at a time, and that it does work on.
  std::size_t listedSlots = 6;
  std::size_t slots = 6;
  /// Requests that wait at a server once its room has shrunk.
  std::size_t waiting = 0;
  double refusalLimit = 5;
  Milliseconds work{100};
  /// Demand as a multiple of what the servers run.
  double demand = 3;
  /// Bounds of a message's time between two nodes.
  Milliseconds leastDelay{0};
  Milliseconds mostDelay{2};
  Sparing sparing = Sparing::kPermits;
};

/// Nodes, roots and servers of one service in virtual time. Servers refuse what they have no room
/// for; nodes and roots decide with the module's own classes.
class SimulatedServers {
 public:
  SimulatedServers(const SimulatedLoad& load, std::uint64_t seed) : load_(load), random_(seed) {
    for (std::size_t number = 0; number < load.servers; ++number) {
      servers_.push_back({});
      servers_.back().waiting = kQueueBefore * load.listedSlots;
      beginRun(number);
    }
    for (std::size_t number = 0; number < load.nodes; ++number) {
      nodes_.push_back(std::make_unique<Node>());
      startNode(number);
    }
    issuers_.assign(kRoots, Issuer());
    schedule(kReportInterval, [this] { report(); });
    scheduleArrival();
  }

  MonotonicTime now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  void run(Milliseconds duration) {
    const MonotonicTime end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = end;
  }

  /// From now on fewer requests wait at each server.
  void shrinkRoom() {
    for (Server& server : servers_) {
      server.slots = load_.slots;
      server.waiting = load_.waiting;
    }
  }
  /// The process that issues the permits of some servers ends; another one issues them later.
  void killRoot(std::size_t number, Milliseconds until) {
    issuers_[number % kRoots] = std::nullopt;
    schedule(until, [this, number] {
      issuers_[number % kRoots] = Issuer{{}, now_ + Milliseconds(draw(0, 500))};
    });
  }
  /// Some nodes end and start anew.
  void killNodes(double share, Milliseconds until) {
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      if (std::uniform_real_distribution<>(0, 1)(random_) < share) {
        stopNode(number);
        schedule(until + Milliseconds(draw(0, 300)), [this, number] { startNode(number); });
      }
    }
  }
  /// The server's process ends and comes back empty.
  void restartServer(std::size_t number, Milliseconds until) {
    Server& server = servers_[number % servers_.size()];
    server.up = false;
    ++server.run;
    server.running = 0;
    server.queue.clear();
    schedule(until, [this, number] { beginRun(number % servers_.size()); });
  }

  /// The most refusals of each server in any second that begins after `begin`.
  std::vector<std::size_t> worstSeconds(MonotonicTime begin) const {
    std::vector<std::size_t> worst;
    for (const Server& server : servers_) {
      std::size_t most = 0;
      auto first = std::lower_bound(server.refusals.begin(), server.refusals.end(), begin);
      for (; first != server.refusals.end(); ++first) {
        const auto end =
            std::lower_bound(first, server.refusals.end(), *first + std::chrono::seconds(1));
        most = std::max(most, static_cast<std::size_t>(end - first));
      }
      worst.push_back(most);
    }
    return worst;
  }
  /// Requests that servers have run to their end.
  std::size_t served() const { return served_; }
  std::size_t asked() const { return asked_; }
  /// What the servers can run in that time.
  double capacity(Milliseconds duration) const {
    return static_cast<double>(load_.servers * load_.slots) * toMilliseconds(duration) /
           toMilliseconds(load_.work);
  }

 private:
  struct Event {
    MonotonicTime at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  struct Request {
    std::size_t node = 0;
    /// Of the node's process.
    std::uint64_t start = 0;
    std::size_t server = 0;
    std::uint64_t run = 0;
    std::uint64_t permit = 0;
    std::size_t sent = 0;
    std::size_t asked = 0;
    std::vector<std::size_t> avoided;
    LimitVersion seen;
    MonotonicTime sentAt;
  };
  using RequestPointer = std::shared_ptr<Request>;
  struct Server {
    fleet::Server listed;
    bool up = true;
    std::uint64_t run = 0;
    std::size_t slots = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::vector<RequestPointer> queue;
    std::vector<MonotonicTime> refusals;
  };
  struct Node {
    bool up = false;
    std::uint64_t start = 0;
    RefusalLimits limits;
    HeldPermits held;
    std::map<std::size_t, std::size_t> outstanding;
    std::map<std::size_t, MonotonicTime> noPermitUntil;
    fleet::FullServers full;
    fleet::ServerBackoffs backoffs;
    std::optional<MonotonicTime> reportedAt;
  };
  struct Issuer {
    PermitIssuer permits;
    MonotonicTime settledAt{};
  };

  static constexpr std::size_t kRoots = 3;
  static constexpr std::size_t kQueueBefore = 4;
  static constexpr Milliseconds kReportInterval{250};
  static constexpr std::size_t kMostAsked = 6;

  std::int64_t draw(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
  }
  template <typename Duration>
  void schedule(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, nextEvent_++, std::move(action)});
  }
  Milliseconds messageDelay() {
    return Milliseconds(draw(load_.leastDelay.count(), load_.mostDelay.count()));
  }
  std::chrono::microseconds serverDelay() { return std::chrono::microseconds(draw(300, 3000)); }

  void beginRun(std::size_t number) {
    Server& server = servers_[number];
    server.up = true;
    if (server.slots == 0) {
      server.slots = load_.listedSlots;
    }
    server.listed.id = BackendId("s" + std::to_string(number));
    server.listed.started = Incarnation(++nextRun_);
    server.listed.service = "service";
    server.listed.slots = load_.listedSlots;
  }
  void stopNode(std::size_t number) {
    Node& node = *nodes_[number];
    node.up = false;
    ++node.start;
    // Its connections end, and with them its requests.
    for (Server& server : servers_) {
      std::erase_if(server.queue,
                    [number](const RequestPointer& one) { return one->node == number; });
    }
    for (const auto& [server, count] : node.outstanding) {
      Server& target = servers_[server];
      target.running -= std::min(target.running, runningOf_[{number, server}]);
      runningOf_[{number, server}] = 0;
    }
  }
  void startNode(std::size_t number) {
    const std::uint64_t start = nodes_[number]->start + 1;
    nodes_[number] = std::make_unique<Node>();
    nodes_[number]->up = true;
    nodes_[number]->start = start;
    // A node hears from its neighbours what servers name, if any of them knows it.
    for (const auto& other : nodes_) {
      if (other && other->up && other.get() != nodes_[number].get()) {
        for (const LimitRecord& record : other->limits.table().limited()) {
          nodes_[number]->limits.merge(record, findRun(record.server), now_);
        }
        break;
      }
    }
  }
  const fleet::Server* findRun(fleet::ServerKey key) const {
    for (const Server& server : servers_) {
      if (fleet::keyOf(server.listed) == key) {
        return &server.listed;
      }
    }
    return nullptr;
  }

  void report() {
    reported_.assign(servers_.size(), 0);
    for (const auto& node : nodes_) {
      for (const auto& [server, count] : node->outstanding) {
        reported_[server] += node->up ? count : 0;
      }
    }
    std::size_t total = 0;
    for (const std::size_t count : reported_) {
      total += count;
    }
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      Node& node = *nodes_[number];
      node.reportedAt = now_;
      node.limits.recordServiceLoad("service", total, load_.servers * load_.listedSlots, now_);
      for (const fleet::ServerKey key : node.held.takeDue(now_)) {
        send(number, key, PermitOperation::kRenew, 0, nullptr);
      }
    }
    schedule(kReportInterval, [this] { report(); });
  }

  void scheduleArrival() {
    const double perMs = load_.demand * static_cast<double>(load_.servers * load_.slots) /
                         toMilliseconds(load_.work);
    const double wait = std::exponential_distribution<>(perMs)(random_);
    schedule(std::chrono::microseconds(static_cast<std::int64_t>(wait * 1000)), [this] {
      auto request = std::make_shared<Request>();
      request->node = random_() % nodes_.size();
      if (nodes_[request->node]->up) {
        request->start = nodes_[request->node]->start;
        choose(request);
      }
      scheduleArrival();
    });
  }
  bool lives(const Request& request) const {
    return nodes_[request.node]->up && nodes_[request.node]->start == request.start;
  }
  fleet::KnownLoad loadOf(const Node& node, std::size_t server) const {
    fleet::KnownLoad load;
    const auto own = node.outstanding.find(server);
    load.own = own == node.outstanding.end() ? 0 : own->second;
    load.others = server < reported_.size() ? reported_[server] : 0;
    load.others -= std::min(load.others, load.own);
    load.reportedAt = node.reportedAt;
    return load;
  }

  /// Picks the server with the lowest known load among those that may get the request.
  void choose(const RequestPointer& request) {
    Node& node = *nodes_[request->node];
    std::optional<std::size_t> best;
    std::size_t least = 0;
    const std::size_t offset = random_() % servers_.size();
    for (std::size_t step = 0; step < servers_.size(); ++step) {
      const std::size_t number = (offset + step) % servers_.size();
      const bool avoided = std::find(request->avoided.begin(), request->avoided.end(), number) !=
                           request->avoided.end();
      const auto paused = node.noPermitUntil.find(number);
      const bool waits = paused != node.noPermitUntil.end() && now_ < paused->second;
      const bool rests = load_.sparing == Sparing::kPauses &&
                         node.backoffs.excludedUntil(servers_[number].listed.id, now_).has_value();
      if (!servers_[number].up || avoided || waits || rests) {
        continue;
      }
      const std::size_t load = loadOf(node, number).requests();
      if (!best || load < least) {
        best = number;
        least = load;
      }
    }
    if (!best) {
      return;
    }
    request->server = *best;
    request->run = servers_[*best].run;
    const bool needs = load_.sparing == Sparing::kPermits &&
                       node.limits.needsPermit(servers_[*best].listed, loadOf(node, *best), now_);
    if (!needs) {
      dispatch(request);
    } else if (++request->asked > kMostAsked) {
      return;
    } else {
      acquire(request);
    }
  }

  Issuer* issuerOf(fleet::ServerKey key) {
    std::optional<Issuer>& issuer = issuers_[key.value() % kRoots];
    return issuer ? &*issuer : nullptr;
  }
  ServerCapacity capacityOf(fleet::ServerKey key) const {
    ServerCapacity capacity{key, load_.refusalLimit, load_.listedSlots, 0};
    for (std::size_t number = 0; number < servers_.size(); ++number) {
      if (fleet::keyOf(servers_[number].listed) == key && number < reported_.size()) {
        capacity.reportedLoad = reported_[number];
      }
    }
    return capacity;
  }
  /// Sends a message about a permit; `answer` gets the decision on kAcquire.
  void send(std::size_t number, fleet::ServerKey key, PermitOperation operation,
            std::uint64_t permit,
            const std::function<void(std::optional<PermitDecision>)>& answer) {
    const std::uint64_t holder = number * 1'000'000 + nodes_[number]->start;
    const std::vector<std::uint64_t> held = nodes_[number]->held.numbersFor(key);
    schedule(messageDelay(), [=, this] {
      Issuer* issuer = issuerOf(key);
      std::optional<PermitDecision> decision;
      if (issuer != nullptr) {
        const ServerCapacity capacity = capacityOf(key);
        switch (operation) {
          case PermitOperation::kAcquire:
            decision = issuer->permits.acquire(capacity, {holder, permit}, issuer->settledAt, now_);
            break;
          case PermitOperation::kRelease:
            issuer->permits.release(key, {holder, permit}, now_);
            break;
          case PermitOperation::kRefused:
            issuer->permits.recordRefusal(capacity, {holder, permit}, now_);
            break;
          case PermitOperation::kRenew:
            issuer->permits.renew(capacity, holder, held, now_);
            break;
          default:
            issuer->permits.takeBack(key, {holder, permit});
        }
      }
      if (answer) {
        schedule(messageDelay(), [answer, decision] { answer(decision); });
      }
    });
  }
  void acquire(const RequestPointer& request) {
    ++asked_;
    const fleet::ServerKey key = fleet::keyOf(servers_[request->server].listed);
    request->permit = ++nextPermit_;
    send(request->node, key, PermitOperation::kAcquire, request->permit,
         [this, request, key](std::optional<PermitDecision> decision) {
           if (!lives(*request)) {
             return;
           }
           Node& node = *nodes_[request->node];
           if (decision && decision->granted) {
             node.held.add(key, request->permit, now_);
             dispatch(request);
             return;
           }
           request->permit = 0;
           node.limits.recordNoPermit("service");
           constexpr std::int64_t kUndecidedMs = 250;
           const std::int64_t told = decision ? decision->wait.count() : kUndecidedMs;
           node.noPermitUntil[request->server] = now_ + Milliseconds(draw(told / 2, told));
           request->avoided.push_back(request->server);
           choose(request);
         });
  }

  void dispatch(const RequestPointer& request) {
    Node& node = *nodes_[request->node];
    const Server& server = servers_[request->server];
    ++node.outstanding[request->server];
    ++request->sent;
    request->seen = node.limits.versionOf(fleet::keyOf(server.listed));
    request->sentAt = now_;
    static_cast<void>(node.backoffs.recordSent(server.listed.id, now_));
    schedule(serverDelay(), [this, request] { arrive(request); });
  }
  void arrive(const RequestPointer& request) {
    Server& server = servers_[request->server];
    if (!lives(*request)) {
      return;
    }
    if (!server.up || server.run != request->run) {
      schedule(serverDelay(), [this, request] { onAnswer(request, Answer::kNone); });
    } else if (server.running < server.slots) {
      begin(request);
    } else if (server.queue.size() < server.waiting) {
      server.queue.push_back(request);
    } else {
      server.refusals.push_back(now_);
      schedule(serverDelay(), [this, request] { onAnswer(request, Answer::kRefused); });
    }
  }
  void begin(const RequestPointer& request) {
    ++servers_[request->server].running;
    ++runningOf_[{request->node, request->server}];
    const double time =
        toMilliseconds(load_.work) * std::uniform_real_distribution<>(0.5, 1.5)(random_);
    schedule(std::chrono::microseconds(static_cast<std::int64_t>(time * 1000)),
             [this, request] { finish(request); });
  }
  void finish(const RequestPointer& request) {
    Server& server = servers_[request->server];
    if (!lives(*request) || server.run != request->run) {
      if (lives(*request)) {
        onAnswer(request, Answer::kNone);
      }
      return;
    }
    --server.running;
    --runningOf_[{request->node, request->server}];
    ++served_;
    if (!server.queue.empty() && server.running < server.slots) {
      const RequestPointer next = server.queue.front();
      server.queue.erase(server.queue.begin());
      begin(next);
    }
    schedule(serverDelay(), [this, request] { onAnswer(request, Answer::kServed); });
  }

  enum class Answer { kServed, kRefused, kNone };
  void onAnswer(const RequestPointer& request, Answer answer) {
    if (!lives(*request)) {
      return;
    }
    Node& node = *nodes_[request->node];
    --node.outstanding[request->server];
    const Server& server = servers_[request->server];
    const fleet::ServerKey key = fleet::keyOf(server.listed);
    const bool sameRun = server.run == request->run && server.up;
    if (sameRun && answer != Answer::kNone) {
      learn(node, server.listed, request->seen);
    }
    if (request->permit != 0) {
      node.held.remove(key, request->permit);
    }
    const bool refused = answer == Answer::kRefused;
    if (refused && load_.sparing == Sparing::kPauses) {
      pauseServer(server.listed);
    } else if (!refused) {
      static_cast<void>(node.backoffs.recordAnswered(server.listed.id, request->sentAt));
    }
    if (load_.sparing == Sparing::kPermits && (request->permit != 0 || refused)) {
      const PermitOperation end =
          answer == Answer::kNone ? PermitOperation::kReturn : PermitOperation::kRelease;
      send(request->node, key, refused ? PermitOperation::kRefused : end, request->permit, nullptr);
    }
    if (refused) {
      tellRefusal(key);
    }
    request->permit = 0;
    constexpr std::size_t kMostSent = 2;
    if (answer != Answer::kServed && request->sent < kMostSent) {
      request->avoided.push_back(request->server);
      choose(request);
    }
  }
  /// All answers name the limit; the others hear of it.
  void learn(Node& node, const fleet::Server& server, LimitVersion seen) {
    if (!node.limits.recordAnswer(server, seen, load_.refusalLimit, now_)) {
      return;
    }
    const LimitRecord record = *node.limits.table().find(fleet::keyOf(server));
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      const std::uint64_t start = nodes_[number]->start;
      schedule(messageDelay(), [this, number, start, record] {
        Node& other = *nodes_[number];
        if (other.up && other.start == start) {
          other.limits.merge(record, findRun(record.server), now_);
        }
      });
    }
  }
  void tellRefusal(fleet::ServerKey key) {
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      schedule(messageDelay(),
               [this, number, key] { nodes_[number]->limits.recordRefusal(key, now_); });
    }
  }
  /// The former way, for comparison.
  void pauseServer(const fleet::Server& server) {
    constexpr double kTriesPerLimit = 0.75;
    const auto pause = std::clamp(
        Milliseconds(std::llround(1000 / std::max(kTriesPerLimit * load_.refusalLimit, 1e-3))),
        Milliseconds(150), Milliseconds(2000));
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      schedule(messageDelay(), [this, number, pause, server] {
        Node& node = *nodes_[number];
        if (node.full.add(fleet::keyOf(server), now_ + pause, now_)) {
          node.backoffs.add(server.id, now_ + pause + Milliseconds(draw(0, pause.count())), now_);
        }
      });
    }
  }

  SimulatedLoad load_;
  std::mt19937_64 random_;
  MonotonicTime now_{std::chrono::seconds(1000)};
  std::priority_queue<Event> events_;
  std::uint64_t nextEvent_ = 0;
  std::uint64_t nextRun_ = 0;
  std::uint64_t nextPermit_ = 0;
  std::vector<Server> servers_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::optional<Issuer>> issuers_;
  std::vector<std::size_t> reported_;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> runningOf_;
  std::size_t served_ = 0;
  std::size_t asked_ = 0;
};

}  // namespace calicodrift::server_limits
