#include "bench/overload_simulation.h"

#include <memory>
#include <random>

#include "bench/simulated_engine.h"
#include "limits/limiter.h"
#include "peer/lone_directory.h"
#include "routing/prefix_hash_bounded_load.h"

namespace calicodrift::bench {
namespace {

using routing::RouteRequest;

constexpr std::size_t kBlockTokens = 512;
constexpr std::size_t kPriorities = 3;
constexpr std::array<double, kPriorities> kPriorityShares{0.2, 0.5, 0.3};
constexpr Milliseconds kDeadline{10'000};
constexpr Milliseconds kProbeInterval{250};
/// Left out of the results.
constexpr Milliseconds kWarmUp{20'000};
constexpr std::size_t kAttempts = 3;
constexpr double kMicrosecondsPerSecond = 1'000'000;

struct TenantShape {
  const char* name;
  double weight;
  /// Part of all offered requests.
  double share;
};

/// One tenant sends two thirds of everything; the smallest, half a percent.
constexpr std::array kTenants{TenantShape{"huge", 1, 0.65},     TenantShape{"large", 2, 0.2},
                              TenantShape{"middle", 1, 0.1},    TenantShape{"small", 1, 0.03},
                              TenantShape{"smaller", 1, 0.015}, TenantShape{"smallest", 1, 0.005}};

struct NoTransport : peer::Transport {
  void send(const Endpoint& /*to*/, peer::Channel /*channel*/, std::string /*payload*/) override {}
  void setReceiver(peer::Channel /*channel*/, Receiver /*receiver*/) override {}
};

/// A router: the live policy, limits and outstanding counts.
struct SimulatedRouter {
  SimulatedRouter(VirtualTime& time, std::size_t engines)
      : limiter(
            transport, directory, [&time] { return time.now(); }, {}, metrics) {
    for (std::size_t index = 0; index < engines; ++index) {
      routing::Candidate candidate;
      candidate.id = BackendId("engine-" + std::to_string(index));
      candidates.put(candidate);
    }
  }
  NoTransport transport;
  peer::LoneDirectory directory{{}};
  prometheus::Registry registry;
  limits::LimitsMetrics metrics{registry};
  limits::Limiter limiter;
  routing::PrefixHashBoundedLoad policy;
  routing::CandidateSet candidates;
};

/// One caller's request over its attempts.
struct Call {
  std::size_t tenant = 0;
  RouteRequest route;
  std::size_t attempts = 0;
};

class Simulation {
 public:
  explicit Simulation(const OverloadScenario& scenario)
      : scenario_(scenario), random_(scenario.seed) {
    for (std::size_t index = 0; index < scenario.engines; ++index) {
      engines_.push_back(std::make_unique<SimulatedEngine>(time_, sim::EngineModelSettings{}));
    }
    for (std::size_t index = 0; index < scenario.routers; ++index) {
      routers_.push_back(std::make_unique<SimulatedRouter>(time_, scenario.engines));
    }
    model_.id = ModelId("m");
    for (const TenantShape& shape : kTenants) {
      bundle::Tenant tenant;
      tenant.id = TenantId(shape.name);
      tenant.weight = static_cast<std::int64_t>(shape.weight);
      tenants_.push_back(tenant);
      result_.tenants.push_back({shape.name, shape.weight, 0, 0, 0, 0, 0, 0, {}});
    }
    for (const Priority priority : {Priority::kHigh, Priority::kNormal, Priority::kLow}) {
      result_.priorities.at(static_cast<std::size_t>(priority)).name = toString(priority);
    }
    result_.all.name = "all";
    end_ = time_.now() + kWarmUp + scenario.duration;
    probe();
  }

  OverloadResult run() {
    planArrival();
    const OverloadResult empty = result_;
    time_.runUntil(time_.now() + kWarmUp);
    result_ = empty;
    time_.runUntil(end_);
    return result_;
  }

  /// Closed loop: as many callers as places in all batches, each asking again at once.
  double runClosedLoop() {
    const std::size_t callers = sim::EngineModelSettings{}.maxBatch * scenario_.engines;
    for (std::size_t caller = 0; caller < callers; ++caller) {
      time_.schedule(Microseconds(0), [this] { askForever(); });
    }
    const MonotonicTime warm = time_.now() + kWarmUp;
    time_.runUntil(warm);
    const std::size_t before = closedLoopDone_;
    time_.runUntil(end_);
    constexpr double kMsPerSecond = 1000.0;
    return static_cast<double>(closedLoopDone_ - before) * kMsPerSecond /
           toMilliseconds(end_ - warm);
  }

 private:
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void probe() {
    for (auto& router : routers_) {
      for (std::size_t index = 0; index < engines_.size(); ++index) {
        routing::Candidate candidate = router->candidates[index];
        candidate.reportedRequests = engines_[index]->load();
        router->candidates.put(candidate);
      }
    }
    time_.schedule(kProbeInterval, [this] { probe(); });
  }

  void planArrival() {
    const double seconds =
        std::exponential_distribution<double>(scenario_.offeredPerSecond)(random_);
    time_.schedule(Microseconds(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond)),
                   [this] {
                     auto call = std::make_shared<Call>(makeCall());
                     eachGroup(*call, [&call](GroupResult& group) {
                       ++group.offered;
                       group.offeredTokens += tokensOf(*call);
                     });
                     attempt(call);
                     planArrival();
                   });
  }

  Call makeCall() {
    Call call;
    double position = uniform();
    while (call.tenant + 1 < kTenants.size() && position >= kTenants.at(call.tenant).share) {
      position -= kTenants.at(call.tenant).share;
      ++call.tenant;
    }
    const double urgency = uniform();
    call.route.priority = urgency < kPriorityShares[0]                        ? Priority::kHigh
                          : urgency < kPriorityShares[0] + kPriorityShares[1] ? Priority::kNormal
                                                                              : Priority::kLow;
    call.route.tenant = tenants_[call.tenant].id;
    call.route.model = model_.id;
    constexpr std::uint64_t kPrefixes = 20;
    constexpr std::uint64_t kPrefixBlocks = 4;
    const std::uint64_t prefix = random_() % kPrefixes;
    std::vector<std::uint64_t> blocks;
    for (std::uint64_t block = 0; block < kPrefixBlocks; ++block) {
      blocks.push_back(prefix * kPrefixBlocks + block);
    }
    const std::uint64_t ownBlocks = 1 + random_() % 3;
    for (std::uint64_t block = 0; block < ownBlocks; ++block) {
      blocks.push_back(random_());
    }
    call.route.blocks = chainHashes({call.route.tenant, model_.id, model_.weights, ""}, blocks);
    call.route.promptTokens = blocks.size() * kBlockTokens;
    constexpr std::size_t kFewestTokens = 50;
    constexpr std::size_t kTokenSpread = 150;
    call.route.outputTokens = kFewestTokens + random_() % kTokenSpread;
    return call;
  }

  static double tokensOf(const Call& call) {
    return static_cast<double>(call.route.promptTokens + call.route.outputTokens);
  }

  template <typename Change>
  void eachGroup(const Call& call, Change change) {
    change(result_.all);
    change(result_.tenants[call.tenant]);
    change(result_.priorities.at(static_cast<std::size_t>(call.route.priority)));
  }

  void attempt(const std::shared_ptr<Call>& call) {
    ++call->attempts;
    SimulatedRouter& router = *routers_[random_() % routers_.size()];
    std::shared_ptr<limits::AdmittedWork> work;
    if (scenario_.limits) {
      Result<limits::AdmittedWork> admitted =
          router.limiter.admitWork(tenants_[call->tenant], model_, workOf(*call));
      if (!admitted) {
        refuse(call, admitted.error());
        return;
      }
      work = std::make_shared<limits::AdmittedWork>(std::move(admitted.value()));
    }
    dispatch(router, call, work);
  }

  limits::Work workOf(const Call& call) const {
    limits::Work work;
    work.priority = call.route.priority;
    work.promptTokens = static_cast<double>(call.route.promptTokens);
    work.outputTokens = static_cast<double>(call.route.outputTokens);
    work.engines = engines_.size();
    work.deadline = time_.now() + kDeadline;
    return work;
  }

  void refuse(const std::shared_ptr<Call>& call, const Error& error) {
    eachGroup(*call, [](GroupResult& group) { ++group.refusals; });
    if (error.kind == ErrorKind::kDeadlineUnreachable) {
      ++result_.refusedDeadline;
    } else {
      ++result_.refusedOverloaded;
    }
    comeBack(call, error.retryAfter.value_or(Milliseconds(1000)));
  }

  /// Callers come back when they were told to, up to a quarter later.
  void comeBack(const std::shared_ptr<Call>& call, Milliseconds after) {
    if (call->attempts >= kAttempts) {
      return;
    }
    constexpr double kSpread = 0.25;
    const double wait = toMilliseconds(after) * (1 + kSpread * uniform());
    time_.schedule(Milliseconds(static_cast<std::int64_t>(wait)), [this, call] { attempt(call); });
  }

  void dispatch(SimulatedRouter& router, const std::shared_ptr<Call>& call,
                const std::shared_ptr<limits::AdmittedWork>& work) {
    const MonotonicTime begin = time_.now();
    if (work) {
      work->onDispatched();
    }
    const std::size_t index = router.policy.choose(call->route, router.candidates, begin).index;
    const std::uint64_t id = ++lastId_;
    changeOutstanding(router, index, *call, 1);
    // Shared with the timer: whichever comes first ends the attempt.
    auto running = std::make_shared<bool>(true);
    engines_[index]->submit(engineRequest(id, *call), [this, &router, index, call, work, running,
                                                       begin](const sim::TokenEvent& token) {
      if (token.index == 0) {
        onFirstToken(*call, work.get(), begin);
      }
      if (token.last) {
        *running = false;
        changeOutstanding(router, index, *call, -1);
        onCompleted(*call, work.get(), token.index + 1);
      }
    });
    time_.schedule(kDeadline,
                   [this, &router, index, id, call, running, weak = std::weak_ptr(work)] {
                     if (*running) {
                       changeOutstanding(router, index, *call, -1);
                       engines_[index]->cancel(id);
                       if (const auto admitted = weak.lock()) {
                         admitted->onFailed(ErrorKind::kDeadlineExceeded);
                       }
                       onTimeout(call);
                     }
                   });
  }

  static sim::EngineRequest engineRequest(std::uint64_t id, const Call& call) {
    sim::EngineRequest request;
    request.id = id;
    request.blocks = call.route.blocks;
    request.promptTokens = call.route.promptTokens;
    request.outputTokens = call.route.outputTokens;
    request.priority = call.route.priority;
    return request;
  }

  static void changeOutstanding(SimulatedRouter& router, std::size_t index, const Call& call,
                                int change) {
    routing::Candidate candidate = router.candidates[index];
    const std::size_t tokens = call.route.promptTokens + call.route.outputTokens;
    if (change > 0) {
      ++candidate.outstanding;
      candidate.outstandingTokens += tokens;
    } else {
      --candidate.outstanding;
      candidate.outstandingTokens -= tokens;
    }
    router.candidates.put(candidate);
  }

  void onFirstToken(const Call& call, limits::AdmittedWork* work, MonotonicTime begin) {
    const double waited = toMilliseconds(time_.now() - begin);
    eachGroup(call, [waited](GroupResult& group) { group.firstTokenMs.push_back(waited); });
    if (work != nullptr) {
      work->onFirstToken();
    }
  }

  void onCompleted(const Call& call, limits::AdmittedWork* work, std::size_t tokens) {
    eachGroup(call, [&call](GroupResult& group) {
      ++group.completed;
      group.completedTokens += tokensOf(call);
    });
    if (work != nullptr) {
      work->onCompleted(tokens);
    }
  }

  void onTimeout(const std::shared_ptr<Call>& call) {
    eachGroup(*call, [](GroupResult& group) { ++group.timeouts; });
    result_.wastedTokens += tokensOf(*call);
    comeBack(call, Milliseconds(1));
  }

  void askForever() {
    const Call call = makeCall();
    SimulatedRouter& router = *routers_[random_() % routers_.size()];
    const std::size_t index =
        router.policy.choose(call.route, router.candidates, time_.now()).index;
    changeOutstanding(router, index, call, 1);
    engines_[index]->submit(engineRequest(++lastId_, call),
                            [this, &router, index, call](const sim::TokenEvent& token) {
                              if (token.last) {
                                changeOutstanding(router, index, call, -1);
                                ++closedLoopDone_;
                                time_.schedule(Microseconds(0), [this] { askForever(); });
                              }
                            });
  }

  OverloadScenario scenario_;
  std::mt19937_64 random_;
  VirtualTime time_;
  MonotonicTime end_;
  bundle::Model model_;
  std::vector<bundle::Tenant> tenants_;
  std::vector<std::unique_ptr<SimulatedRouter>> routers_;
  std::vector<std::unique_ptr<SimulatedEngine>> engines_;
  std::uint64_t lastId_ = 0;
  std::size_t closedLoopDone_ = 0;
  OverloadResult result_;
};

}  // namespace

OverloadResult runOverloadSimulation(const OverloadScenario& scenario) {
  return Simulation(scenario).run();
}

double measureCapacity(const OverloadScenario& scenario) {
  return Simulation(scenario).runClosedLoop();
}

}  // namespace calicodrift::bench
