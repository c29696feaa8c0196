#include "weights/load_rounds.h"

#include <algorithm>

namespace calicodrift::weights {
namespace {

/// Whether the engine has older weights of the model and accepts orders.
bool needsLoad(const orders::SurveyedEngine& engine, const orders::RolloutGoal::Model& model) {
  return engine.model == model.id && !engine.leaving && engine.report && engine.report->accepting &&
         engine.report->weights < model.weights;
}

}  // namespace

void LoadRounds::clear() {
  schedule_.clear();
  unresolved_.clear();
  orderCounts_.clear();
}

void LoadRounds::update(const std::vector<DueServer>& due, std::size_t maxLoads,
                        MonotonicTime now) {
  maxLoads_ = maxLoads;
  for (const BackendId& server : unresolved_.releaseExpired(now)) {
    schedule_.onGone(server);
  }
  std::vector<DueServer> next;
  for (DueServer server : due) {
    // A load whose start can't be predicted isn't announced, so the server needs no lead.
    server.idle = server.idle || (server.settled && !unresolved_.loadsPredictable());
    if (unresolved_.mayOrder(server.id, server.idle ? now : now + lead_)) {
      next.push_back(server);
    }
  }
  // Servers without an order come first, then those with the oldest order.
  std::stable_sort(next.begin(), next.end(), [this](const DueServer& left, const DueServer& right) {
    return unresolved_.sentAt(left.id) < unresolved_.sentAt(right.id);
  });
  // No more servers are announced than one round may order.
  const std::size_t unpredictable =
      unresolved_.loadsPredictable() ? 0 : unresolved_.slotHolders().size();
  schedule_.update(next, unpredictable + maxLoads, now);
}

std::vector<BackendId> LoadRounds::serversToPoll(MonotonicTime now) const {
  std::vector<BackendId> servers;
  for (const BackendId& id : schedule_.reserved()) {
    if (schedule_.isOrdered(id) || schedule_.mayOrder(id, now)) {
      servers.push_back(id);
    }
  }
  std::stable_sort(servers.begin(), servers.end(),
                   [this](const BackendId& left, const BackendId& right) {
                     return unresolved_.sentAt(left) < unresolved_.sentAt(right);
                   });
  for (const BackendId& id : unresolved_.serversToPoll(maxLoads_, now)) {
    if (std::find(servers.begin(), servers.end(), id) == servers.end()) {
      servers.push_back(id);
    }
  }
  return servers;
}

void LoadRounds::onReport(const BackendId& server, const LoadReport& report, MonotonicTime now) {
  orderCounts_[server] = report.orderCount;
  if (!report.outdated) {
    onLoaded(server, now);
    return;
  }
  if (unresolved_.onReport(server, report) == ReportedEffect::kNotAccepted) {
    schedule_.onGone(server);
  }
  if (report.busy && !schedule_.isOrdered(server)) {
    schedule_.onLoadObserved(server, now);
  }
}

bool LoadRounds::mayOrder(const BackendId& server, MonotonicTime now) const {
  const bool inTurn = schedule_.isOrdered(server) || schedule_.mayOrder(server, now);
  return inTurn && unresolved_.mayOrder(server, now);
}

std::set<BackendId> LoadRounds::reserved() const {
  if (unresolved_.loadsPredictable()) {
    return schedule_.reserved();
  }
  const std::vector<BackendId> ordered = schedule_.ordered();
  std::set<BackendId> loading(ordered.begin(), ordered.end());
  std::erase_if(loading, [this](const BackendId& id) {
    const double probability = unresolved_.loadProbability(id);
    return probability > 0 && probability < 1;
  });
  return loading;
}

std::set<BackendId> LoadRounds::findLoadingServers(
    const std::vector<orders::SurveyedEngine>& engines, MonotonicTime now) {
  std::set<BackendId> loading;
  for (const orders::SurveyedEngine& engine : engines) {
    // A server that was removed in the meantime holds no slot.
    if (!engine.report && schedule_.isReserved(engine.id)) {
      unresolved_.onNoResponse(engine.id, now);
    }
    if (engine.report && engine.report->loading) {
      loading.insert(engine.id);
    }
  }
  return loading;
}

std::vector<orders::LoadOrder> LoadRounds::plan(const orders::RolloutGoal& goal,
                                                const std::vector<orders::SurveyedEngine>& engines,
                                                MonotonicTime now) {
  const std::set<BackendId> loading = findLoadingServers(engines, now);
  auto expectedLoads = static_cast<double>(loading.size());
  for (const BackendId& id : unresolved_.slotHolders()) {
    expectedLoads += loading.contains(id) ? 0 : unresolved_.loadProbability(id);
  }
  const auto maxLoads = static_cast<std::size_t>(goal.maxConcurrentLoads);
  // All orders of one round may be accepted, so the budget counts each one in full.
  std::size_t budget = maxLoads - std::min(maxLoads, loading.size());
  std::vector<orders::LoadOrder> orders;
  for (const orders::RolloutGoal::Model& model : goal.models) {
    for (const orders::SurveyedEngine& engine : engines) {
      const double others = expectedLoads - unresolved_.loadProbability(engine.id);
      const bool hasSlot = budget > 0 && others + 1 <= static_cast<double>(maxLoads);
      if (!hasSlot || !needsLoad(engine, model) || !mayOrder(engine.id, now)) {
        continue;
      }
      --budget;
      expectedLoads = others + unresolved_.newLoadProbability();
      schedule_.onOrdered(engine.id, now);
      const Incarnation incarnation = engine.report->incarnation;
      unresolved_.onSent(engine.id, {incarnation, orderCounts_[engine.id]}, now);
      orders.push_back({engine.id, incarnation, model.weights});
    }
  }
  return orders;
}

void LoadRounds::onAnswer(const BackendId& server, OrderAnswer answer) {
  unresolved_.onAnswer(server, answer);
  if (answer == OrderAnswer::kRefused) {
    schedule_.onGone(server);
  }
}

void LoadRounds::onLoaded(const BackendId& server, MonotonicTime now) {
  schedule_.onLoaded(server, now);
  unresolved_.forget(server);
}

void LoadRounds::onGone(const BackendId& server) {
  schedule_.onGone(server);
  unresolved_.forget(server);
}

std::vector<BackendId> LoadRounds::ordered() const {
  std::vector<BackendId> servers = schedule_.ordered();
  for (const BackendId& id : unresolved_.servers()) {
    if (!schedule_.isOrdered(id)) {
      servers.push_back(id);
    }
  }
  return servers;
}

}  // namespace calicodrift::weights
