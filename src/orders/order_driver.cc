#include "orders/order_driver.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "http/status.h"

namespace calicodrift::orders {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
constexpr Milliseconds kOrderTimeout{1000};
/// Bounds the load that a roll-out of a large model puts on the lease holder.
constexpr std::size_t kMaxSurveyedPerSecond = 500;

http::ExchangeOptions orderOptions() {
  http::ExchangeOptions options;
  options.connectTimeout = kOrderTimeout;
  options.headerTimeout = kOrderTimeout;
  options.bodyTimeout = kOrderTimeout;
  // JSON that ends early cannot be read.
  options.unframedBody = http::UnframedBody::kAccept;
  return options;
}

std::string_view nameOf(OrderKind kind) {
  return kind == OrderKind::kLoadVersion ? "load_version" : "observe";
}

/// Whether any engine is known to have a version other than the bundle's.
bool rolloutNeeded(const bundle::Bundle& bundle, const std::vector<KnownEngine>& engines) {
  return std::any_of(engines.begin(), engines.end(), [&bundle](const KnownEngine& engine) {
    const bundle::Model* model = bundle.findModel(ModelId(engine.machine.serves));
    const bool known = engine.weights.value() != 0;
    return model != nullptr && known && engine.weights != model->weights;
  });
}

}  // namespace

/// Collects the answers of one survey.
struct OrderDriver::Survey {
  explicit Survey(const asio::any_io_executor& executor) : finished(executor) {}
  std::vector<SurveyedEngine> engines;
  std::size_t outstanding = 0;
  asio::steady_timer finished;
};

OrderDriver::OrderDriver(asio::any_io_executor executor, http::Client& client,
                         lease::LeaseKeeper& lease, OrderSources sources, OrderMetrics& metrics,
                         RolloutSettings rollout, Milliseconds interval)
    : executor_(std::move(executor)),
      client_(client),
      lease_(lease),
      sources_(std::move(sources)),
      metrics_(metrics),
      planner_(rollout),
      interval_(interval) {}

void OrderDriver::start() {
  asio::co_spawn(executor_, run(), asio::detached);
}

awaitable<void> OrderDriver::run() {
  asio::steady_timer timer(executor_);
  for (;;) {
    const std::size_t surveyed = co_await round();
    const Milliseconds spacing(surveyed * 1000 / kMaxSurveyedPerSecond);
    timer.expires_after(std::max(interval_, spacing));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<std::size_t> OrderDriver::round() {
  const std::optional<FencingToken> token = lease_.token();
  const std::shared_ptr<const bundle::Bundle> bundle = sources_.bundle();
  metrics_.setLeaseHeld(token.has_value());
  if (!token || !bundle) {
    co_return 0;
  }
  if (*token != tenureToken_) {
    tenureToken_ = *token;
    planner_.beginTenure();
    metrics_.countTenure();
  }
  std::vector<KnownEngine> known = sources_.engines();
  if (!rolloutNeeded(*bundle, known)) {
    co_return 0;
  }
  std::map<BackendId, Endpoint> endpoints;
  for (const KnownEngine& engine : known) {
    endpoints[engine.machine.id] = engine.machine.endpoint;
  }
  const std::vector<SurveyedEngine> engines = co_await survey(bundle, std::move(known));
  if (lease_.token() != tenureToken_) {
    co_return engines.size();
  }
  const std::vector<LoadOrder> orders = planner_.plan(*bundle, engines, monotonicNow());
  for (const LoadOrder& order : orders) {
    co_await sendLoad(order, endpoints[order.engine], bundle->version);
  }
  const RolloutProgress& progress = planner_.progress();
  metrics_.setEngines("at_desired", progress.atDesired);
  metrics_.setEngines("waiting", progress.waiting);
  metrics_.setEngines("loading", progress.loading);
  metrics_.setEngines("unreachable", progress.unreachable);
  metrics_.setEngines("held_for_capacity", progress.heldForCapacity);
  co_return engines.size();
}

awaitable<std::vector<SurveyedEngine>> OrderDriver::survey(
    std::shared_ptr<const bundle::Bundle> bundle, std::vector<KnownEngine> engines) {
  auto state = std::make_shared<Survey>(executor_);
  state->finished.expires_at(MonotonicTime::max());
  for (const KnownEngine& engine : engines) {
    const ModelId model(engine.machine.serves);
    if (bundle->findModel(model) != nullptr) {
      state->engines.push_back({engine.machine.id, model, engine.machine.terminating, {}});
      ++state->outstanding;
      const std::size_t index = state->engines.size() - 1;
      asio::co_spawn(executor_,
                     surveyEngine(state, index, engine.machine.endpoint, bundle->version),
                     asio::detached);
    }
  }
  while (state->outstanding > 0) {
    co_await state->finished.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return state->engines;
}

awaitable<void> OrderDriver::surveyEngine(std::shared_ptr<Survey> survey, std::size_t index,
                                          Endpoint endpoint, BundleVersion bundle) {
  EngineOrder order;
  order.kind = OrderKind::kObserve;
  order.bundle = bundle;
  Result<EngineReport> report = co_await send(std::move(endpoint), std::move(order));
  if (report) {
    survey->engines[index].report = report.value();
  }
  --survey->outstanding;
  survey->finished.cancel();
}

awaitable<void> OrderDriver::sendLoad(LoadOrder load, Endpoint endpoint, BundleVersion bundle) {
  EngineOrder order;
  order.kind = OrderKind::kLoadVersion;
  order.bundle = bundle;
  order.incarnation = load.incarnation;
  order.weights = load.weights;
  Result<EngineReport> report = co_await send(std::move(endpoint), std::move(order));
  const bool lost = !report && report.error().kind == ErrorKind::kOutcomeUnknown;
  if (!lost) {
    planner_.onOrderAnswered(load.engine);
  }
}

awaitable<Result<EngineReport>> OrderDriver::send(Endpoint endpoint, EngineOrder order) {
  const std::optional<FencingToken> token = lease_.token();
  if (!token || *token != tenureToken_) {
    metrics_.countOrder(nameOf(order.kind), "lease_ended");
    co_return fail(ErrorKind::kFenced, "the lease has ended");
  }
  order.token = *token;
  http::Request request;
  request.method = "POST";
  request.target = std::string(kOrderPath);
  request.body = toJson(order);
  Result<http::Response> response =
      co_await client_.exchange(std::move(endpoint), std::move(request), orderOptions());
  if (!response) {
    metrics_.countOrder(nameOf(order.kind), "lost");
    const bool notSent = response.error().kind == ErrorKind::kConnectFailed;
    co_return fail(notSent ? ErrorKind::kConnectFailed : ErrorKind::kOutcomeUnknown,
                   response.error().detail);
  }
  if (response.value().status != http::kStatusOk) {
    onRefusal(response.value(), order);
    co_return fail(ErrorKind::kFenced, "the engine refused the order");
  }
  metrics_.countOrder(nameOf(order.kind), "accepted");
  co_return engineReportFromJson(response.value().body);
}

void OrderDriver::onRefusal(const http::Response& response, const EngineOrder& order) {
  const bool fenced = response.status == http::kStatusPreconditionFailed;
  metrics_.countOrder(nameOf(order.kind), fenced ? "fenced" : "refused");
  const Result<EngineReport> report = engineReportFromJson(response.body);
  if (fenced && report && report.value().highestToken > order.token) {
    lease_.onFenced(report.value().highestToken);
  }
}

std::string OrderDriver::statusJson() const {
  const std::optional<FencingToken> token = lease_.token();
  const RolloutProgress& progress = planner_.progress();
  json::object status{{"holds_lease", token.has_value()},
                      {"token", token ? token->value() : 0},
                      {"at_desired", progress.atDesired},
                      {"waiting", progress.waiting},
                      {"loading", progress.loading},
                      {"unreachable", progress.unreachable},
                      {"held_for_capacity", progress.heldForCapacity}};
  if (const std::optional<lease::ObservedLease>& observed = lease_.observed()) {
    status["last_seen_holder"] = observed->record.holder;
  }
  return json::serialize(status);
}

}  // namespace calicodrift::orders
