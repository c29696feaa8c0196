#include "replay/trace_generator.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "replay/simulation.h"
#include "routing/round_robin.h"

namespace calicodrift::replay {
namespace {

using Random = std::mt19937_64;
using Ids = std::vector<std::uint64_t>;

std::size_t draw(const TraceShape::Range& range, Random& random) {
  return std::uniform_int_distribution<std::size_t>(range.least, range.most)(random);
}

bool happens(double probability, Random& random) {
  return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

/// Draws 0 to count - 1, the lower the likelier.
class Zipf {
 public:
  Zipf(std::size_t count, double exponent) {
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= count; ++rank) {
      weights.push_back(std::pow(static_cast<double>(rank), -exponent));
    }
    distribution_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }
  std::size_t operator()(Random& random) { return distribution_(random); }

 private:
  std::discrete_distribution<std::size_t> distribution_;
};

struct Conversation {
  Ids blocks;
  std::size_t turnsLeft = 0;
};

struct Document {
  Ids blocks;
  std::vector<Conversation> conversations;
};

struct TenantState {
  TenantId id;
  Ids root;
  /// The most asked-for first.
  std::vector<Document> documents;
};

/// Builds the prompts in order; times are set afterwards.
class PromptGenerator {
 public:
  PromptGenerator(const TraceOrder& order)
      : shape_(order.shape),
        requests_(order.requests),
        random_(order.seed),
        tenantRank_(shape_.tenants, shape_.tenantSkew),
        documentRank_(shape_.collectionsPerTenant * shape_.documentsPerCollection,
                      shape_.documentSkew) {
    for (std::size_t tenant = 0; tenant < shape_.tenants; ++tenant) {
      tenants_.push_back(makeTenant(tenant));
    }
  }

  TraceRequest next() {
    if (made_ % shape_.requestsAHotShift == shape_.requestsAHotShift - 1) {
      shiftHotSet();
    }
    TenantState& tenant = tenants_[inFlash() ? 0 : tenantRank_(random_)];
    TraceRequest request;
    request.tenant = tenant.id;
    request.model = ModelId("m");
    request.priority = drawPriority();
    request.hashIds = makePrompt(tenant);
    // The last id is that of a block that the prompt fills in part.
    const std::size_t tail =
        std::uniform_int_distribution<std::size_t>(1, kTraceBlockTokens - 1)(random_);
    request.inputLength = request.hashIds.size() * kTraceBlockTokens + tail;
    request.hashIds.push_back(nextId_++);
    request.outputLength = draw(shape_.outputTokens, random_);
    ++made_;
    return request;
  }

 private:
  Ids extended(Ids blocks, std::size_t count) {
    for (std::size_t block = 0; block < count; ++block) {
      blocks.push_back(nextId_++);
    }
    return blocks;
  }

  TenantState makeTenant(std::size_t number) {
    TenantState tenant;
    tenant.id = TenantId("tenant-" + std::to_string(number));
    tenant.root = extended({}, draw(shape_.rootBlocks, random_));
    for (std::size_t collection = 0; collection < shape_.collectionsPerTenant; ++collection) {
      const Ids common = extended(tenant.root, draw(shape_.collectionBlocks, random_));
      for (std::size_t count = 0; count < shape_.documentsPerCollection; ++count) {
        tenant.documents.push_back({extended(common, draw(shape_.documentBlocks, random_)), {}});
      }
    }
    std::shuffle(tenant.documents.begin(), tenant.documents.end(), random_);
    return tenant;
  }

  bool inFlash() {
    const double position = static_cast<double>(made_) / static_cast<double>(requests_);
    const double distance = std::abs(position - 0.5);
    flash_ = distance < shape_.flashLength / 2 && happens(shape_.flashShare, random_);
    return flash_;
  }

  Ids makePrompt(TenantState& tenant) {
    if (!flash_ && happens(shape_.shortShare, random_)) {
      return tenant.root;
    }
    // The flash hits a document that nobody had asked for much.
    Document& document =
        flash_ ? tenant.documents.back() : tenant.documents[documentRank_(random_)];
    constexpr double kNewConversation = 0.5;
    std::vector<Conversation>& active = document.conversations;
    if (active.empty() || happens(kNewConversation, random_)) {
      active.push_back({document.blocks, draw(shape_.turns, random_)});
    }
    const std::size_t chosen =
        std::uniform_int_distribution<std::size_t>(0, active.size() - 1)(random_);
    Conversation& conversation = active[chosen];
    conversation.blocks = extended(conversation.blocks, draw(shape_.turnBlocks, random_));
    Ids prompt = conversation.blocks;
    if (--conversation.turnsLeft == 0) {
      active.erase(active.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return prompt;
  }

  void shiftHotSet() {
    TenantState& tenant = tenants_[tenantRank_(random_)];
    const std::size_t last = tenant.documents.size() - 1;
    // The last one is left for the flash.
    const std::size_t risen = std::uniform_int_distribution<std::size_t>(0, last - 1)(random_);
    const auto begin = tenant.documents.begin();
    const auto at = begin + static_cast<std::ptrdiff_t>(risen);
    std::rotate(begin, at, at + 1);
  }

  Priority drawPriority() {
    constexpr double kHighShare = 0.2;
    constexpr double kLowShare = 0.2;
    if (happens(kHighShare, random_)) {
      return Priority::kHigh;
    }
    return happens(kLowShare, random_) ? Priority::kLow : Priority::kNormal;
  }

  TraceShape shape_;
  std::size_t requests_;
  Random random_;
  Zipf tenantRank_;
  Zipf documentRank_;
  std::vector<TenantState> tenants_;
  std::uint64_t nextId_ = 1;
  std::size_t made_ = 0;
  bool flash_ = false;
};

/// @param perMs arrivals in a millisecond, in the mean.
void setTimes(Trace& trace, const TraceOrder& order, double perMs) {
  const TraceShape& shape = order.shape;
  const double calmRate = (1 - shape.burstRate * shape.burstShare) / (1 - shape.burstShare);
  constexpr double kPhaseRequests = 200;
  Random random(order.seed + 1);
  double time = 0;
  bool burst = false;
  double phaseEnd = 0;
  for (TraceRequest& request : trace) {
    if (time >= phaseEnd) {
      burst = happens(shape.burstShare, random);
      const double length = kPhaseRequests / perMs;
      phaseEnd = time + std::exponential_distribution<double>(1 / length)(random);
    }
    const double rate = perMs * (burst ? shape.burstRate : calmRate);
    time += std::exponential_distribution<double>(rate)(random);
    request.timestampMs = static_cast<std::int64_t>(time);
  }
}

/// Sets the times so that the measured load of a round robin run is the ordered one. The load is
/// nearly proportional to the rate, so a few corrections are enough.
void setTimesForLoad(Trace& trace, const TraceOrder& order) {
  constexpr int kCorrections = 5;
  constexpr double kFirstPerMs = 0.001;
  ReplaySettings settings;
  settings.deployment = order.deployment;
  settings.seed = order.seed;
  double perMs = kFirstPerMs * static_cast<double>(order.deployment.engines);
  for (int correction = 0; correction < kCorrections; ++correction) {
    setTimes(trace, order, perMs);
    const Measures measures = Simulation(settings, trace, routing::RoundRobin::kName).run();
    if (measures.engineLoad <= 0) {
      return;
    }
    perMs *= order.load / measures.engineLoad;
  }
  setTimes(trace, order, perMs);
}

}  // namespace

std::optional<TraceShape> findShape(std::string_view name) {
  TraceShape shape;
  if (name == "reviews") {
    return shape;
  }
  if (name == "flash") {
    shape.flashShare = 0.4;
    return shape;
  }
  if (name == "campaigns") {
    shape.collectionsPerTenant = 8;
    shape.documentsPerCollection = 10;
    shape.rootBlocks = {1, 3};
    shape.collectionBlocks = {4, 12};
    shape.documentBlocks = {4, 24};
    shape.turnBlocks = {1, 1};
    shape.turns = {4, 20};
    shape.shortShare = 0.15;
    shape.requestsAHotShift = 80;
    return shape;
  }
  return std::nullopt;
}

std::string_view defaultShapeOf(const Deployment& deployment) {
  return deployment.name == "trinacria" ? "campaigns" : "reviews";
}

Trace generateTrace(const TraceOrder& order) {
  PromptGenerator generator(order);
  Trace trace;
  for (std::size_t index = 0; index < order.requests; ++index) {
    trace.push_back(generator.next());
  }
  if (!trace.empty()) {
    setTimesForLoad(trace, order);
  }
  return trace;
}

}  // namespace calicodrift::replay
