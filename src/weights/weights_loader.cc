#include "weights/weights_loader.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "http/status.h"
#include "log/log.h"

namespace calicodrift::weights {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// 0 if neither reports nor the list contain starts; then each start has its own server id.
Incarnation incarnationOf(const forward::ServerReport& report) {
  return report.started.value_or(Incarnation());
}

http::ExchangeOptions callOptions(Milliseconds timeout) {
  http::ExchangeOptions options;
  options.connectTimeout = timeout;
  options.headerTimeout = timeout;
  options.bodyTimeout = timeout;
  // Reports are JSON, which cannot be read if it ends early; of the answer to an order only the
  // head is used.
  options.unframedBody = http::UnframedBody::kAccept;
  return options;
}

WeightsVersion oldestWeights(const fleet::Server& server) {
  WeightsVersion oldest = server.models.front().weights;
  for (const fleet::LoadedModel& loaded : server.models) {
    oldest = std::min(oldest, loaded.weights);
  }
  return oldest;
}

std::string_view nameOf(forward::OrderOutcome outcome) {
  switch (outcome) {
    case forward::OrderOutcome::kAccepted:
      return "taken";
    case forward::OrderOutcome::kAlreadyLoaded:
      return "already_holds";
    case forward::OrderOutcome::kConflict:
      return "conflict";
    case forward::OrderOutcome::kFenced:
      return "fenced";
    case forward::OrderOutcome::kAnotherServer:
      return "another_server";
    case forward::OrderOutcome::kRefused:
      return "refused";
  }
  return "refused";
}

OrderAnswer answerOf(forward::OrderOutcome outcome) {
  switch (outcome) {
    case forward::OrderOutcome::kAccepted:
      return OrderAnswer::kAccepted;
    case forward::OrderOutcome::kConflict:
      return OrderAnswer::kConflict;
    default:
      return OrderAnswer::kRefused;
  }
}

}  // namespace

/// Collects the answers of one survey.
struct WeightsLoader::Survey {
  explicit Survey(const asio::any_io_executor& executor) : finished(executor) {}
  std::vector<orders::SurveyedEngine> engines;
  std::size_t outstanding = 0;
  asio::steady_timer finished;
};

WeightsLoader::WeightsLoader(asio::any_io_executor executor, forward::ServerCalls& calls,
                             const forward::ServerProtocol& protocol, fleet::ServerPool& pool,
                             const WeightsTargets& targets, lease::LeaseKeeper& lease,
                             orders::OrderMetrics& metrics, WeightsLoaderSettings settings)
    : executor_(std::move(executor)),
      timer_(executor_),
      calls_(calls),
      protocol_(protocol),
      pool_(pool),
      targets_(targets),
      lease_(lease),
      metrics_(metrics),
      settings_(std::move(settings)),
      rounds_(settings_.rounds) {}

void WeightsLoader::start() {
  asio::co_spawn(executor_, run(), asio::detached);
}

bool WeightsLoader::isOutdated(const fleet::Server& server) const {
  return !server.draining && std::any_of(server.models.begin(), server.models.end(),
                                         [this](const fleet::LoadedModel& loaded) {
                                           const auto newest = targets_.newest(loaded.model);
                                           return newest && loaded.weights < *newest;
                                         });
}

bool WeightsLoader::isDue(const fleet::Server& server, MonotonicTime at,
                          Milliseconds settle) const {
  return isOutdated(server) && std::any_of(server.models.begin(), server.models.end(),
                                           [this, at, settle](const fleet::LoadedModel& loaded) {
                                             const auto learnedAt = targets_.successorLearnedAt(
                                                 loaded.model, loaded.weights);
                                             return learnedAt && at - *learnedAt >= settle;
                                           });
}

Milliseconds WeightsLoader::settleTime() const {
  return std::min(settings_.settleTime + pool_.maxQueueWait(), settings_.maxSettleTime);
}

bool WeightsLoader::hasOutdatedServers() const {
  const std::vector<ModelId> models = targets_.models();
  return std::any_of(models.begin(), models.end(), [this](const ModelId& model) {
    const auto newest = targets_.newest(model);
    return newest && pool_.counts().anyBelow(model, *newest);
  });
}

awaitable<void> WeightsLoader::run() {
  for (;;) {
    const std::optional<FencingToken> token = lease_.token();
    metrics_.setLeaseHeld(token.has_value());
    if (token && hasOutdatedServers()) {
      co_await round(*token);
    } else {
      rounds_.clear();
      announce();
    }
    timer_.expires_after(settings_.interval);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void WeightsLoader::wake() {
  timer_.cancel();
}

void WeightsLoader::onRestarted(const BackendId& server) {
  rounds_.onGone(server);
  orderCounts_.erase(server);
  unusableReports_.erase(server);
  wake();
}

awaitable<void> WeightsLoader::round(FencingToken token) {
  if (token != leaseToken_) {
    leaseToken_ = token;
    rounds_.clear();
    orderCounts_.clear();
    unusableReports_.clear();
    metrics_.countTenure();
    log::write(log::Level::kInfo, "lease_acquired", {{"token", std::to_string(token.value())}});
  }
  updateSchedule();
  announce();
  const std::vector<orders::SurveyedEngine> engines = co_await survey();
  if (lease_.token() != leaseToken_) {
    co_return;
  }
  for (const orders::LoadOrder& order : rounds_.plan(goal(), engines, monotonicNow())) {
    const fleet::Server* server = pool_.find(order.engine);
    if (server == nullptr || !expectedOrders(order)) {
      rounds_.onGone(order.engine);
      continue;
    }
    asio::co_spawn(executor_, sendOrder(order, *server, token), asio::detached);
  }
}

void WeightsLoader::updateSchedule() {
  const MonotonicTime now = monotonicNow();
  // The list shows the result of an order earlier than the delayed report.
  for (const BackendId& id : rounds_.ordered()) {
    const fleet::Server* server = pool_.find(id);
    if (server == nullptr) {
      rounds_.onGone(id);
    } else if (!isOutdated(*server)) {
      rounds_.onLoaded(id, now);
    }
  }
  rounds_.update(dueServers(now), static_cast<std::size_t>(maxConcurrentLoads()), now);
}

void WeightsLoader::announce() {
  if (!settings_.announceLoads) {
    return;
  }
  std::map<BackendId, WeightsVersion> loads;
  for (const BackendId& id : rounds_.reserved()) {
    const fleet::Server* server = pool_.find(id);
    if (server != nullptr && !server->models.empty()) {
      loads[id] = targets_.newest(server->models.front().model).value_or(WeightsVersion());
    }
  }
  if (loads.empty() && announced_.empty()) {
    return;
  }
  pool_.announceLoads(loads, monotonicNow());
  for (const auto& [id, weights] : loads) {
    if (!announced_.contains(id)) {
      log::write(log::Level::kInfo, "load_announced",
                 {{"server", id.value()},
                  {"weights", std::to_string(weights.value())},
                  {"settle_ms", std::to_string(settleTime().count())},
                  {"load_ms", std::to_string(rounds_.loadTime().count())}});
    }
  }
  announced_ = std::move(loads);
}

orders::RolloutGoal WeightsLoader::goal() const {
  orders::RolloutGoal goal;
  goal.maxConcurrentLoads = maxConcurrentLoads();
  for (const ModelId& model : targets_.models()) {
    goal.models.push_back({model, *targets_.newest(model), 0});
  }
  return goal;
}

std::int64_t WeightsLoader::maxConcurrentLoads() const {
  const auto servers = static_cast<std::int64_t>(pool_.counts().withModels());
  return std::max(settings_.maxConcurrentLoads, servers / settings_.serversPerLoad);
}

bool WeightsLoader::expired(const fleet::Server& server) const {
  const MonotonicTime now = monotonicNow();
  return std::all_of(server.models.begin(), server.models.end(),
                     [this, now](const fleet::LoadedModel& loaded) {
                       return loaded.weights < targets_.leastSendable(loaded.model, now);
                     });
}

std::vector<DueServer> WeightsLoader::dueServers(MonotonicTime now) const {
  const MonotonicTime at = now + rounds_.lead();
  std::set<BackendId> unreachable;
  for (const fleet::Server& server : pool_.unreachable()) {
    unreachable.insert(server.id);
  }
  const Milliseconds settle = settleTime();
  std::vector<const fleet::Server*> servers;
  pool_.visit([&](const fleet::Server& server) {
    const bool due = isDue(server, at, settle) && !rounds_.isOrdered(server.id);
    if (due && !pool_.backoffs().excludedUntil(server.id, now)) {
      servers.push_back(&server);
    }
  });
  // Servers with the oldest weights come first: a server with an intermediate version may wait
  // while others are older. Servers that are unreachable or whose reports are unusable come last.
  const auto rank = [this, &unreachable](const fleet::Server& server) {
    const bool deprioritized =
        unreachable.contains(server.id) || unusableReports_.contains(server.id);
    return std::pair(deprioritized, oldestWeights(server));
  };
  std::stable_sort(servers.begin(), servers.end(),
                   [&rank](const fleet::Server* left, const fleet::Server* right) {
                     return rank(*left) < rank(*right);
                   });
  std::vector<DueServer> dueServers;
  dueServers.reserve(servers.size());
  for (const fleet::Server* server : servers) {
    dueServers.push_back({server->id, expired(*server), isDue(*server, now, settle)});
  }
  return dueServers;
}

std::vector<fleet::Server> WeightsLoader::serversToSurvey() const {
  std::vector<fleet::Server> servers;
  for (const BackendId& id : rounds_.serversToPoll(monotonicNow())) {
    const fleet::Server* server = pool_.find(id);
    if (server != nullptr) {
      servers.push_back(*server);
    }
  }
  return servers;
}

awaitable<std::vector<orders::SurveyedEngine>> WeightsLoader::survey() {
  auto state = std::make_shared<Survey>(executor_);
  state->finished.expires_at(MonotonicTime::max());
  for (const fleet::Server& server : serversToSurvey()) {
    for (const fleet::LoadedModel& loaded : server.models) {
      state->engines.push_back({server.id, loaded.model, server.draining, {}});
    }
    if (server.models.empty()) {
      continue;
    }
    ++state->outstanding;
    asio::co_spawn(executor_,
                   surveyServer(state, state->engines.size() - server.models.size(), server),
                   asio::detached);
  }
  while (state->outstanding > 0) {
    co_await state->finished.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return state->engines;
}

awaitable<void> WeightsLoader::surveyServer(std::shared_ptr<Survey> survey, std::size_t index,
                                            fleet::Server server) {
  http::Request query = protocol_.reportQuery(server);
  const MonotonicTime requestedAt = monotonicNow();
  const http::ExchangeOptions options = callOptions(settings_.callTimeout);
  Result<http::Response> answer =
      co_await calls_.exchange(server, std::move(query), options, forward::CallPurpose::kQuery);
  Result<forward::ServerReport> report =
      answer ? protocol_.readReport(answer.value()) : answer.error();
  if (report) {
    applyReport(*survey, index, server, report.value(), requestedAt);
  } else if (pool_.find(server.id) == nullptr) {
    rounds_.onGone(server.id);
  } else if (report.error().kind == ErrorKind::kConnectFailed) {
    onServerUnreachable(server);
  } else if (answer && answer.value().status == http::kStatusOk) {
    // A refusal is temporary; an unreadable document will not change by itself.
    onUnusableReport(server.id, report.error().detail);
  }
  --survey->outstanding;
  survey->finished.cancel();
}

void WeightsLoader::onServerUnreachable(const fleet::Server& server) {
  if (pool_.isCurrent(server)) {
    rounds_.onGone(server.id);
    pool_.markUnreachable(server.id, monotonicNow());
  }
}

bool WeightsLoader::checkReportedRun(const fleet::Server& server,
                                     const forward::ServerReport& report) {
  // The list may show a restart while the report is in flight.
  if (!pool_.isCurrent(server)) {
    return false;
  }
  if (!server.started) {
    return true;
  }
  switch (fleet::orderOf(report.started, server.started)) {
    case fleet::RunOrder::kSame:
      return true;
    case fleet::RunOrder::kLater:
      pool_.applyRestart(server.id, *report.started, report.models, monotonicNow());
      return false;
    case fleet::RunOrder::kEarlier:
      onUnusableReport(server.id, "the reported start is earlier than the known start");
      return false;
    case fleet::RunOrder::kUnknown:
      onUnusableReport(server.id, "the report has no start");
      return false;
  }
  return false;
}

void WeightsLoader::onUnusableReport(const BackendId& server, const std::string& cause) {
  if (!rounds_.isOrdered(server)) {
    rounds_.onGone(server);
  }
  std::string& last = unusableReports_[server];
  if (last == cause) {
    return;
  }
  last = cause;
  log::write(log::Level::kWarning, "report_unused", {{"server", server.value()}, {"cause", cause}});
}

void WeightsLoader::applyReport(Survey& survey, std::size_t index, const fleet::Server& server,
                                const forward::ServerReport& report, MonotonicTime requestedAt) {
  if (!checkReportedRun(server, report)) {
    return;
  }
  unusableReports_.erase(server.id);
  orderCounts_[server.id] = {incarnationOf(report), report.orderCount};
  bool stillOutdated = false;
  for (const fleet::LoadedModel& loaded : report.models) {
    pool_.applyWeights(server.id, loaded.model, loaded.weights, monotonicNow());
    const auto newest = targets_.newest(loaded.model);
    stillOutdated = stillOutdated || (newest && loaded.weights < *newest);
    const orders::EngineReport found = engineReport(server, report, loaded);
    for (std::size_t at = index; at < index + server.models.size(); ++at) {
      if (survey.engines[at].model == loaded.model) {
        survey.engines[at].report = found;
      }
    }
  }
  rounds_.onReport(
      server.id,
      {incarnationOf(report), report.orderCount, report.busy, stillOutdated, requestedAt},
      monotonicNow());
}

orders::EngineReport WeightsLoader::engineReport(const fleet::Server& server,
                                                 const forward::ServerReport& report,
                                                 const fleet::LoadedModel& loaded) const {
  orders::EngineReport engine;
  engine.id = server.id;
  engine.model = loaded.model;
  engine.incarnation = incarnationOf(report);
  engine.weights = loaded.weights;
  engine.accepting = !report.busy;
  if (report.busy) {
    engine.loading = targets_.newest(loaded.model);
  }
  return engine;
}

std::optional<std::uint64_t> WeightsLoader::expectedOrders(const orders::LoadOrder& order) const {
  const auto found = orderCounts_.find(order.engine);
  const bool known = found != orderCounts_.end() && found->second.run == order.incarnation;
  return known ? std::optional(found->second.orders) : std::nullopt;
}

awaitable<void> WeightsLoader::sendOrder(orders::LoadOrder order, fleet::Server server,
                                         FencingToken token) {
  forward::WeightsOrder message;
  message.server = server.id;
  for (const fleet::LoadedModel& loaded : server.models) {
    const auto newest = targets_.newest(loaded.model);
    if (newest && *newest == order.weights && loaded.weights < *newest) {
      message.model = loaded.model;
    }
  }
  message.weights = order.weights;
  message.holder = settings_.holder;
  message.fence = token;
  const std::optional<std::uint64_t> expected = expectedOrders(order);
  if (lease_.token() != token || !expected) {
    co_return;
  }
  message.expectedOrders = *expected;
  http::Request request = protocol_.encodeOrder(message);
  const http::ExchangeOptions options = callOptions(settings_.callTimeout);
  const auto holdsLease = [this, token](http::Request&) -> Result<void> {
    if (lease_.token() == token) {
      return boost::outcome_v2::success();
    }
    return fail(ErrorKind::kServerWithdrawn, "the lease of this order has ended");
  };
  Result<http::Response> answer = co_await calls_.exchange(
      server, std::move(request), options, forward::CallPurpose::kOrder, holdsLease);
  std::string outcome = "lost";
  OrderAnswer orderAnswer = OrderAnswer::kLost;
  if (answer) {
    const forward::OrderOutcome orderOutcome = protocol_.readOrderAnswer(answer.value());
    outcome = nameOf(orderOutcome);
    orderAnswer = answerOf(orderOutcome);
    if (orderOutcome == forward::OrderOutcome::kFenced) {
      lease_.onFenced(token);
    }
    if (orderOutcome == forward::OrderOutcome::kAnotherServer) {
      onServerUnreachable(server);
    }
  } else if (answer.error().kind == ErrorKind::kServerWithdrawn) {
    outcome = "not_sent";
    orderAnswer = OrderAnswer::kRefused;
  } else if (answer.error().kind == ErrorKind::kConnectFailed) {
    outcome = "not_sent";
    orderAnswer = OrderAnswer::kRefused;
    onServerUnreachable(server);
  }
  // The outcome of an order to a replaced run says nothing about the current one.
  if (pool_.isCurrent(server)) {
    rounds_.onAnswer(order.engine, orderAnswer);
  }
  metrics_.countOrder("load_version", outcome);
  log::write(log::Level::kInfo, "weights_ordered",
             {{"server", server.id.value()},
              {"model", message.model.value()},
              {"weights", std::to_string(order.weights.value())},
              {"token", std::to_string(token.value())},
              {"expected_orders", std::to_string(message.expectedOrders)},
              {"outcome", outcome}});
}

}  // namespace calicodrift::weights
