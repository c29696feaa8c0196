#include "router/node.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "http/status.h"
#include "http/writer_decorator.h"
#include "log/log.h"
#include "router/member_status.h"

namespace calicodrift::router {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
constexpr std::string_view kOrderLease = "orders";

http::ServerLimits serverLimits(const NodeSettings& settings) {
  http::ServerLimits limits;
  limits.maxHeaderBytes = static_cast<std::size_t>(settings.maxHeaderBytes);
  limits.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
  limits.maxConnections = static_cast<std::size_t>(settings.maxConnections);
  limits.readTimeout = settings.readTimeout;
  limits.idleTimeout = settings.idleTimeout;
  limits.writeTimeout = settings.writeTimeout;
  return limits;
}

lease::LeaseSettings orderLeaseSettings(const NodeSettings& settings) {
  lease::LeaseSettings lease;
  // The time of the start makes each start another holder: a restarted node has forgotten its
  // renewals and must not go on under an old token.
  const auto started = std::chrono::duration_cast<Microseconds>(wallNow().time_since_epoch());
  lease.holder = settings.nodeId + "#" + std::to_string(started.count());
  lease.duration = settings.orderLeaseDuration;
  lease.renewInterval = settings.orderLeaseRenewInterval;
  lease.retryInterval = settings.orderLeaseRenewInterval / 4;
  return lease;
}

orders::RolloutSettings rolloutSettings(const NodeSettings& settings) {
  orders::RolloutSettings rollout;
  rollout.loadTimeout = settings.weightsLoadTimeout;
  return rollout;
}

config::ConfigurationSettings configurationSettings(const NodeSettings& settings) {
  config::ConfigurationSettings configuration;
  configuration.store.objectApi = settings.objectApi;
  configuration.store.watchDuration = settings.storePollInterval;
  configuration.store.waitForPeers = !settings.seeds.empty();
  configuration.store.seed =
      hashPair(hashBytes(settings.nodeId),
               static_cast<std::uint64_t>(monotonicNow().time_since_epoch().count()));
  configuration.watchersPerZone = static_cast<std::size_t>(settings.configWatchersPerZone);
  configuration.confirmationTerm = settings.configVouchTerm;
  const auto action = config::parseUnconfirmedAction(settings.configUnvouchedAction);
  configuration.unconfirmedAction = action ? action.value() : config::UnconfirmedAction::kServe;
  return configuration;
}

}  // namespace

Node::Node(asio::io_context& context, NodeSettings settings, bundle::SigningRule signingRule)
    : context_(context),
      settings_(std::move(settings)),
      metrics_(registry_),
      client_(context.get_executor()),
      peers_(context),
      membershipMetrics_(registry_),
      limitsMetrics_(registry_),
      policies_(hashBytes(settings_.nodeId)),
      backends_([this](const BackendId& id, BackendLoss loss) { onBackendLost(id, loss); }),
      signingRule_(std::move(signingRule)),
      claims_(context.get_executor(), settings_, client_, peers_, registry_),
      discovery_(context.get_executor(), settings_, client_, backends_),
      route_{settings_, context.get_executor(), client_, backends_, policies_, metrics_, claims_},
      completions_(route_),
      services_(route_),
      leaseStore_(client_, settings_.objectApi),
      orderLease_(context.get_executor(), leaseStore_, std::string(kOrderLease),
                  orderLeaseSettings(settings_), [this] { return mayAcquireOrderLease(); }),
      orderMetrics_(registry_),
      orders_(context.get_executor(), client_, orderLease_, orderSources(), orderMetrics_,
              rolloutSettings(settings_), settings_.orderInterval),
      server_(context.get_executor(), serverLimits(settings_),
              [this](http::Request& request, http::ResponseWriter& writer) {
                return handle(request, writer);
              }) {}

Result<Endpoint> Node::start() {
  Result<Endpoint> peerEndpoint = peers_.listen(settings_.peerListen);
  if (!peerEndpoint) {
    return peerEndpoint.error();
  }
  peerEndpoint_ = peerEndpoint.value();
  startControl();
  startLimits();
  Result<Endpoint> endpoint = server_.listen(settings_.listen);
  if (endpoint) {
    discovery_.start();
    claims_.start(control_->membership());
    if (!settings_.objectApi.empty()) {
      orderLease_.start();
    }
    orders_.start();
  }
  return endpoint;
}

void Node::startControl() {
  control::ControlPlaneSettings control = controlPlaneSettings(settings_, peerEndpoint_);
  control.configuration = configurationSettings(settings_);
  control.signingRule = signingRule_;
  const control::ControlPlaneEnvironment environment{context_.get_executor(), peers_, client_,
                                                     registry_};
  control_ = std::make_unique<control::ControlPlane>(
      std::move(control), environment,
      [this](const bundle::Bundle& bundle) { onBundleAdopted(bundle); });
  configuration_ = &control_->configuration();
  control_->membership().addListener(logMemberChange);
  orderCandidacy_.emplace(control_->membership(), std::string(kOrderLease),
                          static_cast<std::size_t>(settings_.orderLeaseCandidates));
  control_->start();
}

void Node::startLimits() {
  constexpr double kPercent = 100;
  limits::LimiterSettings limits;
  limits.lease.term = settings_.limitLease;
  limits.lease.fleetNodes = static_cast<std::size_t>(settings_.fleetNodes);
  limits.retryFraction = static_cast<double>(settings_.retryBudgetPercent) / kPercent;
  limiter_ = std::make_unique<limits::Limiter>(peers_, control_->membership(), monotonicNow, limits,
                                               limitsMetrics_);
  route_.limits = limiter_.get();
  asio::co_spawn(context_, runLimits(), asio::detached);
}

awaitable<void> Node::runLimits() {
  asio::steady_timer timer(context_);
  for (;;) {
    limiter_->tick(monotonicNow());
    timer.expires_after(limits::RateShares::kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void Node::drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  control_->leave();
  server_.closeAfterAnswers();
  log::write(log::Level::kInfo, "draining",
             {{"active_requests", std::to_string(server_.activeRequests())}});
  asio::co_spawn(context_, orderLease_.release(), asio::detached);
  asio::co_spawn(context_, waitForLastRequest(), asio::detached);
}

awaitable<void> Node::waitForLastRequest() {
  // Callers that have not yet seen the readiness go off are answered meanwhile, not cut off.
  constexpr Milliseconds kGrace{500};
  // After the listening socket is closed, for requests that were under way to it.
  constexpr Milliseconds kSettle{100};
  const MonotonicTime end = monotonicNow() + settings_.drainTimeout;
  co_await waitUntilQuiet(kGrace, end);
  server_.stopAccepting();
  co_await waitUntilQuiet(kSettle, end);
  log::write(log::Level::kInfo, "stopped",
             {{"cut_requests", std::to_string(server_.busyConnections())}});
  context_.stop();
}

awaitable<void> Node::waitUntilQuiet(Milliseconds atLeast, MonotonicTime end) {
  constexpr Milliseconds kCheckInterval{20};
  const MonotonicTime begin = monotonicNow();
  asio::steady_timer timer(context_);
  bool quiet = false;
  while (!quiet && monotonicNow() < end) {
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
    quiet = server_.busyConnections() == 0 && monotonicNow() - begin > atLeast;
  }
}

awaitable<void> Node::handle(http::Request& request, http::ResponseWriter& writer) {
  const std::string_view path = request.path();
  const bool admin =
      path == "/metrics" || path == "/healthz" || path == "/readyz" || path.starts_with("/admin/");
  if (admin) {
    co_await http::respond(writer, handleAdmin(request));
    co_return;
  }
  http::WriterDecorator marking(writer, [&configuration = *configuration_](http::Response& head) {
    configuration.mark(head);
  });
  std::optional<Error> refusal = configuration_->refusal();
  if (draining_) {
    refusal = fail(ErrorKind::kDraining, "this router is stopping");
  }
  if (refusal) {
    metrics_.countError(refusal->kind);
    co_await http::respond(marking, http::errorResponse(*refusal));
    co_return;
  }
  co_await handleWork(request, marking);
}

awaitable<void> Node::handleWork(http::Request& request, http::ResponseWriter& writer) {
  const std::shared_ptr<const bundle::Bundle> bundle = configuration_->current();
  const std::string path(request.path());
  if (path == "/v1/models" && request.method == "GET") {
    co_await http::respond(writer, listModels());
    co_return;
  }
  const bool chat = path == "/v1/chat/completions";
  if ((chat || path == "/v1/completions") && request.method == "POST") {
    const auto kind = chat ? openai::CompletionKind::kChat : openai::CompletionKind::kText;
    co_await completions_.handle(bundle, kind, request, writer);
    co_return;
  }
  if (const bundle::Service* service = bundle->findService(path)) {
    co_await services_.handle(bundle, *service, request, writer);
    co_return;
  }
  const bool knownPath = chat || path == "/v1/completions" || path == "/v1/models";
  const Error error =
      knownPath ? fail(ErrorKind::kMethodNotAllowed, request.method + " is not used on " + path)
                : fail(ErrorKind::kUnknownRoute, "nothing is served at " + path);
  metrics_.countError(error.kind);
  co_await http::respond(writer, http::errorResponse(error));
}

http::Response Node::handleAdmin(const http::Request& request) {
  if (request.path() == "/metrics") {
    metrics_.updateProcess(server_.activeRequests());
    const membership::Membership& members = control_->membership();
    membershipMetrics_.update(members.counters(), members.table().presentCount());
    metrics_.setOutstanding(backends_.outstanding());
    return http::textResponse(200, metrics::renderText(registry_));
  }
  if (request.path() == "/healthz") {
    return http::textResponse(200, "ok\n");
  }
  if (request.path() == "/readyz") {
    return readiness();
  }
  if (request.path() == "/admin/bundle") {
    return http::jsonResponse(200, configuration_->statusJson(settings_.nodeId, settings_.zone));
  }
  if (request.path() == "/admin/members") {
    return memberStatus(control_->membership());
  }
  if (request.path() == "/admin/orders") {
    return http::jsonResponse(200, orders_.statusJson());
  }
  if (request.path() == "/admin/policies") {
    return http::jsonResponse(200, policies_.arms().toJson());
  }
  if (request.path() == "/admin/explain") {
    const RequestId id(request.queryValue("id"));
    return http::jsonResponse(200, policies_.decisions().explain(id));
  }
  if (request.path() == "/admin/drain") {
    return drainOnRequest(request);
  }
  return http::errorResponse(fail(ErrorKind::kUnknownRoute, "unknown admin path"));
}

http::Response Node::drainOnRequest(const http::Request& request) {
  if (request.method != "POST") {
    return http::errorResponse(fail(ErrorKind::kMethodNotAllowed, "use POST /admin/drain"));
  }
  drain();
  const json::object body{{"node", settings_.nodeId}, {"draining", true}};
  return http::jsonResponse(200, json::serialize(body));
}

http::Response Node::readiness() const {
  if (draining_) {
    return http::textResponse(http::kStatusUnavailable, "draining\n");
  }
  if (const std::optional<Error> refusal = configuration_->refusal()) {
    return http::textResponse(http::kStatusUnavailable, refusal->detail + "\n");
  }
  return http::textResponse(200, "ready\n");
}

http::Response Node::listModels() const {
  json::array models;
  for (const bundle::Model& model : configuration_->current()->models) {
    models.push_back(json::object{{"id", model.id.value()}, {"object", "model"}});
  }
  const json::object body{{"object", "list"}, {"data", models}};
  return http::jsonResponse(200, json::serialize(body));
}

bool Node::mayAcquireOrderLease() {
  return !draining_ && orderCandidacy_ && orderCandidacy_->check(monotonicNow());
}

orders::OrderSources Node::orderSources() {
  const auto engines = [this] {
    std::vector<orders::KnownEngine> known;
    for (const object_api::Machine& machine : backends_.machines()) {
      if (machine.kind == object_api::MachineKind::kEngine) {
        known.push_back({machine, backends_.weightsOf(machine.id)});
      }
    }
    return known;
  };
  return {[this] { return configuration_->current(); }, engines};
}

void Node::onBundleAdopted(const bundle::Bundle& bundle) {
  limiter_->applyBundle(bundle);
  metrics_.countBundleAdopted(static_cast<double>(bundle.version.value()));
  log::write(log::Level::kInfo, "bundle_adopted",
             {{"version", std::to_string(bundle.version.value())}});
}

void Node::onBackendLost(const BackendId& backend, BackendLoss loss) {
  if (loss != BackendLoss::kEjected) {
    policies_.backendLost(backend);
  }
  metrics_.countBackendChange(toString(loss));
  log::write(log::Level::kWarning, "backend_lost",
             {{"backend", backend.value()}, {"cause", std::string(toString(loss))}});
}

}  // namespace calicodrift::router
