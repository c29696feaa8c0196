#include "replay/simulation.h"

#include <algorithm>
#include <array>

#include "common/hashing.h"

namespace calicodrift::replay {
namespace {

constexpr std::uint32_t kMaxAttempts = 3;
constexpr unsigned kAttemptBits = 8;
constexpr double kMicrosecondsPerMs = 1000;

MonotonicTime::duration milliseconds(double value) {
  return Microseconds(static_cast<std::int64_t>(value * kMicrosecondsPerMs));
}

struct PlacementName {
  IndexPlacement placement;
  std::string_view name;
};
constexpr std::array kPlacements{PlacementName{IndexPlacement::kBroadcast, "broadcast"},
                                 PlacementName{IndexPlacement::kLocal, "local"},
                                 PlacementName{IndexPlacement::kSharded, "sharded"}};

}  // namespace

std::optional<IndexPlacement> parseIndexPlacement(std::string_view text) {
  for (const PlacementName& row : kPlacements) {
    if (row.name == text) {
      return row.placement;
    }
  }
  return std::nullopt;
}

std::string_view toString(IndexPlacement placement) {
  for (const PlacementName& row : kPlacements) {
    if (row.placement == placement) {
      return row.name;
    }
  }
  return "";
}

Simulation::Simulation(const ReplaySettings& settings, const Trace& trace, std::string_view policy)
    : settings_(settings),
      trace_(trace),
      random_(settings.seed),
      jobs_(trace.size()),
      unfinished_(trace.size()),
      kept_(settings.keptBlocks) {
  const Deployment& deployment = settings_.deployment;
  for (std::size_t engine = 0; engine < deployment.engines; ++engine) {
    VirtualEngine::Callbacks callbacks{
        [this, engine](const sim::TokenEvent& token) { onToken(engine, token); },
        [this, engine](const std::vector<sim::CacheEvent>& events) {
          onCacheEvents(engine, events);
        }};
    engines_.push_back(std::make_unique<VirtualEngine>(
        queue_, BackendId("engine-" + std::to_string(engine)), engine % deployment.zones,
        deployment.engine, std::move(callbacks)));
  }
  for (std::size_t router = 0; router < settings_.routers; ++router) {
    routers_.push_back(std::make_unique<VirtualRouter>(policy, hashPair(settings_.seed, router),
                                                       router % deployment.zones));
  }
}

Measures Simulation::run() {
  startReports();
  scheduleArrivals();
  scheduleCrashes();
  queue_.run();
  const Deployment& deployment = settings_.deployment;
  measures_.oracleHitRate =
      oracleHitRate(trace_, deployment.engines * deployment.engine.cacheBlocks);
  const double duration =
      trace_.empty() ? 0
                     : static_cast<double>(trace_.back().timestampMs - trace_.front().timestampMs) /
                           settings_.loadFactor;
  if (duration > 0) {
    measures_.engineLoad = workMs_ / (duration * static_cast<double>(deployment.engines));
  }
  return std::move(measures_);
}

std::uint64_t Simulation::attemptId(std::size_t job, std::uint32_t attempt) {
  return (static_cast<std::uint64_t>(job) << kAttemptBits) | attempt;
}

void Simulation::scheduleArrivals() {
  if (trace_.empty()) {
    return;
  }
  // Routers know the engines before the first request.
  const MonotonicTime::duration start =
      ReplaySettings::kReportInterval + ReplaySettings::kReportLag;
  const std::int64_t first = trace_.front().timestampMs;
  for (std::size_t index = 0; index < trace_.size(); ++index) {
    const auto offset = static_cast<double>(trace_[index].timestampMs - first);
    queue_.schedule(start + milliseconds(offset / settings_.loadFactor),
                    [this, index] { arrive(index); });
  }
}

void Simulation::scheduleCrashes() {
  if (trace_.empty()) {
    return;
  }
  const auto length = static_cast<double>(trace_.back().timestampMs - trace_.front().timestampMs);
  std::uniform_real_distribution<double> moment(0, length / settings_.loadFactor);
  std::uniform_int_distribution<std::size_t> engine(0, engines_.size() - 1);
  for (std::size_t count = 0; count < settings_.crashes; ++count) {
    const double at = moment(random_);
    queue_.schedule(milliseconds(at), [this, victim = engine(random_)] { crash(victim); });
  }
}

void Simulation::startReports() {
  // All engines are known from the first moment, as after a probe of each.
  for (const auto& engine : engines_) {
    for (const auto& router : routers_) {
      router->applyReport(engine->id(), engine->report());
    }
  }
  sendReports();
}

void Simulation::sendReports() {
  for (const auto& engine : engines_) {
    const LoadReport report = engine->report();
    for (const auto& router : routers_) {
      const Microseconds latency = settings_.deployment.latency(engine->zone(), router->zone());
      queue_.schedule(
          ReplaySettings::kReportLag + latency,
          [to = router.get(), id = engine->id(), report] { to->applyReport(id, report); });
    }
  }
  if (unfinished_ > 0) {
    queue_.schedule(ReplaySettings::kReportInterval, [this] { sendReports(); });
  }
}

void Simulation::arrive(std::size_t index) {
  Job& job = jobs_[index];
  job.request = &trace_[index];
  job.received = queue_.now();
  job.router = hashPair(settings_.seed, index) % routers_.size();
  job.route.tenant = job.request->tenant;
  job.route.model = job.request->model;
  job.route.priority = job.request->priority;
  job.route.blocks = blocksOf(*job.request);
  job.route.promptTokens = job.request->inputLength;
  job.route.outputTokens = job.request->outputLength;
  job.route.blockTokens = kTraceBlockTokens;
  job.decider = job.router;
  if (settings_.index == IndexPlacement::kSharded) {
    job.decider = ownerOf(job.route.blocks);
    job.route.decidedOnlyByThisRouter = true;
    for (const BlockHash block : job.route.blocks) {
      owners_[block] = job.decider;
    }
  }
  queue_.schedule(decisionDelay(job), [this, index] { dispatch(index); });
}

std::size_t Simulation::ownerOf(const std::vector<BlockHash>& blocks) const {
  // Deep enough that a large tenant's prompts have many owners.
  constexpr std::size_t kOwnerBlocks = 4;
  if (blocks.empty()) {
    return 0;
  }
  const BlockHash root = blocks[std::min(kOwnerBlocks, blocks.size()) - 1];
  return hashPair(root.value(), settings_.seed) % routers_.size();
}

Microseconds Simulation::decisionDelay(const Job& job) const {
  if (job.decider == job.router) {
    return Microseconds(0);
  }
  return 2 *
         settings_.deployment.latency(routers_[job.router]->zone(), routers_[job.decider]->zone());
}

void Simulation::dispatch(std::size_t index) {
  Job& job = jobs_[index];
  std::optional<routing::Candidate> chosen;
  if (job.attempts < kMaxAttempts) {
    chosen = routers_[job.decider]->dispatch(job.route, queue_.now());
  }
  if (!chosen) {
    ++measures_.refused;
    --unfinished_;
    return;
  }
  measures_.retries += job.attempts > 0 ? 1 : 0;
  ++job.attempts;
  job.backend = *chosen;
  job.route.avoided.push_back(chosen->id);
  for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
    if (engines_[engine]->id() == chosen->id) {
      job.engine = engine;
    }
  }
  noteHolders(job);
  queue_.schedule(latencyOf(job),
                  [this, index, attempt = job.attempts] { importThenSubmit(index, attempt); });
}

std::vector<BlockHash> Simulation::blocksToImport(const Job& job) const {
  if (settings_.keptBlocks == 0) {
    return {};
  }
  const std::vector<BlockHash>& blocks = job.route.blocks;
  const std::size_t cached = engines_[job.engine]->cachedPrefix(blocks);
  const std::size_t kept = kept_.longestPrefix(blocks);
  if (kept <= cached) {
    return {};
  }
  const auto tokens = static_cast<double>((kept - cached) * kTraceBlockTokens);
  const double importMs =
      toMilliseconds(ReplaySettings::kImportDelay) + tokens / settings_.importTokensPerMs;
  if (importMs >= tokens / settings_.deployment.engine.prefillTokensPerMs) {
    return {};
  }
  return {blocks.begin(), blocks.begin() + static_cast<std::ptrdiff_t>(kept)};
}

void Simulation::importThenSubmit(std::size_t index, std::uint32_t attempt) {
  Job& job = jobs_[index];
  std::vector<BlockHash> blocks = blocksToImport(job);
  const std::size_t cached = engines_[job.engine]->cachedPrefix(job.route.blocks);
  job.importedTokens = blocks.empty() ? 0 : (blocks.size() - cached) * kTraceBlockTokens;
  if (blocks.empty()) {
    submit(index, attempt);
    return;
  }
  const double transferMs = static_cast<double>(job.importedTokens) / settings_.importTokensPerMs;
  queue_.schedule(ReplaySettings::kImportDelay + milliseconds(transferMs),
                  [this, index, attempt, blocks = std::move(blocks)] {
                    VirtualEngine& engine = *engines_[jobs_[index].engine];
                    if (engine.alive()) {
                      engine.importBlocks(blocks);
                    }
                    submit(index, attempt);
                  });
}

void Simulation::noteHolders(Job& job) {
  job.heldElsewhere.assign(job.route.blocks.size(), false);
  for (std::size_t block = 0; block < job.route.blocks.size(); ++block) {
    for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
      if (engine != job.engine && engines_[engine]->holds(job.route.blocks[block])) {
        job.heldElsewhere[block] = true;
        break;
      }
    }
    if (kept_.holds(job.route.blocks[block])) {
      job.heldElsewhere[block] = true;
    }
  }
}

void Simulation::submit(std::size_t index, std::uint32_t attempt) {
  const Job& job = jobs_[index];
  sim::EngineRequest request;
  request.id = attemptId(index, attempt);
  request.blocks = job.route.blocks;
  request.promptTokens = job.route.promptTokens;
  request.outputTokens = std::max<std::size_t>(job.route.outputTokens, 1);
  request.resumeFrom = job.tokens;
  request.priority = job.route.priority;
  if (!engines_[job.engine]->submit(request, job.backend.incarnation)) {
    queue_.schedule(latencyOf(job), [this, index, attempt] { onAttemptLost(index, attempt); });
  }
}

void Simulation::onToken(std::size_t /*engine*/, const sim::TokenEvent& token) {
  const std::size_t index = token.id >> kAttemptBits;
  Job& job = jobs_[index];
  if (job.tokens == 0) {
    onFirstToken(job, token);
  }
  ++job.tokens;
  if (token.last) {
    queue_.schedule(latencyOf(job), [this, index] { onCompleted(index); });
  }
}

void Simulation::onFirstToken(Job& job, const sim::TokenEvent& token) {
  const double waited = toMilliseconds(queue_.now() + latencyOf(job) - job.received);
  measures_.firstToken.add(waited);
  measures_.firstTokenByTenant[job.route.tenant.value()].add(waited);
  measures_.firstTokenByPriority[job.route.priority].add(waited);
  job.cachedTokens = token.cachedTokens;
  measures_.prefilledTokens += job.route.promptTokens - token.cachedTokens;
  for (std::size_t block = token.cachedTokens / kTraceBlockTokens; block < job.heldElsewhere.size();
       ++block) {
    measures_.wastedTokens += job.heldElsewhere[block] ? kTraceBlockTokens : 0;
  }
  if (settings_.keptBlocks > 0) {
    kept_.lookUpAndStore(job.route.blocks);
  }
  addWork(job);
}

void Simulation::addWork(const Job& job) {
  const sim::EngineModelSettings& engine = settings_.deployment.engine;
  const auto prefill = static_cast<double>(job.route.promptTokens - job.cachedTokens);
  const double tokenMs = toMilliseconds(engine.stepPerSequence) +
                         toMilliseconds(engine.stepBase) / static_cast<double>(engine.maxBatch);
  workMs_ +=
      prefill / engine.prefillTokensPerMs + static_cast<double>(job.route.outputTokens) * tokenMs;
}

void Simulation::onCompleted(std::size_t index) {
  const Job& job = jobs_[index];
  routers_[job.decider]->completed(job.route, job.backend, job.cachedTokens, queue_.now());
  ++measures_.completed;
  --unfinished_;
  measures_.promptTokens += job.route.promptTokens;
  // An import is a transfer, not a hit. The engine may have evicted a part of it again.
  const std::size_t imported = std::min(job.importedTokens, job.cachedTokens);
  measures_.cachedTokens += job.cachedTokens - imported;
  measures_.importedTokens += imported;
}

void Simulation::onAttemptLost(std::size_t index, std::uint32_t attempt) {
  const Job& job = jobs_[index];
  if (job.attempts != attempt) {
    return;
  }
  routers_[job.decider]->attemptEnded(job.route, job.backend.id);
  routers_[job.decider]->engineLost(job.backend.id);
  dispatch(index);
}

void Simulation::onCacheEvents(std::size_t engine, const std::vector<sim::CacheEvent>& events) {
  if (settings_.index == IndexPlacement::kLocal) {
    return;
  }
  constexpr Milliseconds kLongestJitter{50};
  const VirtualEngine& from = *engines_[engine];
  std::uniform_real_distribution<double> chance(0, 1);
  std::uniform_int_distribution<std::int64_t> jitter(0, kLongestJitter.count());
  for (std::size_t router = 0; router < routers_.size(); ++router) {
    routing::CacheEventBatch batch{from.id(), from.incarnation(), events.front().sequence, {}};
    for (const sim::CacheEvent& event : events) {
      if (receivesEvent(router, event.block)) {
        batch.events.push_back({event.stored, event.block});
      }
    }
    const bool lost = chance(random_) < settings_.eventLoss;
    const Milliseconds delay = settings_.eventDelay + Milliseconds(jitter(random_));
    if (lost || batch.events.empty()) {
      continue;
    }
    VirtualRouter* to = routers_[router].get();
    measures_.eventsReceived += batch.events.size();
    queue_.schedule(
        delay + settings_.deployment.latency(from.zone(), to->zone()),
        [this, to, batch = std::move(batch)] { to->applyCacheEvents(batch, queue_.now()); });
  }
}

bool Simulation::receivesEvent(std::size_t router, BlockHash block) const {
  if (settings_.index == IndexPlacement::kBroadcast) {
    return true;
  }
  const auto owner = owners_.find(block);
  return owner != owners_.end() && owner->second == router;
}

void Simulation::crash(std::size_t engine) {
  if (!engines_[engine]->alive()) {
    return;
  }
  for (const std::uint64_t id : engines_[engine]->crash()) {
    const std::size_t index = id >> kAttemptBits;
    const auto attempt = static_cast<std::uint32_t>(id & ((1U << kAttemptBits) - 1));
    queue_.schedule(latencyOf(jobs_[index]),
                    [this, index, attempt] { onAttemptLost(index, attempt); });
  }
  queue_.schedule(ReplaySettings::kDownTime, [this, engine] { engines_[engine]->restart(); });
}

Microseconds Simulation::latencyOf(const Job& job) const {
  return settings_.deployment.latency(engines_[job.engine]->zone(), routers_[job.router]->zone());
}

}  // namespace calicodrift::replay
