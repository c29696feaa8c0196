#include "router/node.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "log/log.h"
#include "platform/object_api.h"
#include "router/member_status.h"

namespace calicodrift::router {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
constexpr std::string_view kBundleKind = "bundles";
constexpr std::string_view kBundleName = "current";
constexpr unsigned kStatusUnavailable = 503;

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

}  // namespace

Node::Node(asio::io_context& context, NodeSettings settings, bundle::SigningRule signingRule)
    : context_(context),
      settings_(std::move(settings)),
      metrics_(registry_),
      client_(context.get_executor()),
      peers_(context),
      membershipMetrics_(registry_),
      policies_(hashBytes(settings_.nodeId)),
      backends_([this](const BackendId& id, BackendLoss loss) { onBackendLost(id, loss); }),
      bundle_(std::move(signingRule),
              [this](const bundle::Bundle& bundle) { onBundleAdopted(bundle); }),
      discovery_(context.get_executor(), settings_, client_, backends_),
      route_{settings_, context.get_executor(), client_, backends_, policies_, metrics_},
      completions_(route_),
      services_(route_),
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
  Result<Endpoint> endpoint = server_.listen(settings_.listen);
  if (endpoint) {
    discovery_.start();
    asio::co_spawn(context_, pollStore(), asio::detached);
  }
  return endpoint;
}

void Node::startControl() {
  control_ = std::make_unique<control::ControlPlane>(controlPlaneSettings(settings_, peerEndpoint_),
                                                     peers_, monotonicNow);
  control_->membership().addListener(logMemberChange);
  asio::co_spawn(context_, runControl(), asio::detached);
}

awaitable<void> Node::runControl() {
  asio::steady_timer timer(context_);
  for (;;) {
    control_->tick();
    timer.expires_after(control_->tickInterval());
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
  std::optional<Error> refusal;
  if (draining_) {
    refusal = fail(ErrorKind::kDraining, "this router is stopping");
  } else if (!bundle_.current()) {
    refusal = fail(ErrorKind::kNoConfiguration, "no signed bundle has arrived yet");
  }
  if (refusal) {
    metrics_.countError(refusal->kind);
    co_await http::respond(writer, http::errorResponse(*refusal));
    co_return;
  }
  co_await handleWork(request, writer);
}

awaitable<void> Node::handleWork(http::Request& request, http::ResponseWriter& writer) {
  const std::shared_ptr<const bundle::Bundle> bundle = bundle_.current();
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
    return bundleStatus();
  }
  if (request.path() == "/admin/members") {
    return memberStatus(control_->membership());
  }
  return http::errorResponse(fail(ErrorKind::kUnknownRoute, "unknown admin path"));
}

http::Response Node::readiness() const {
  if (draining_) {
    return http::textResponse(kStatusUnavailable, "draining\n");
  }
  if (!bundle_.current()) {
    return http::textResponse(kStatusUnavailable, "no bundle yet\n");
  }
  return http::textResponse(200, "ready\n");
}

http::Response Node::bundleStatus() const {
  const std::uint64_t version = bundle_.current() ? bundle_.current()->version.value() : 0;
  const json::object status{
      {"node", settings_.nodeId}, {"zone", settings_.zone}, {"bundle_version", version}};
  return http::jsonResponse(200, json::serialize(status));
}

http::Response Node::listModels() const {
  json::array models;
  for (const bundle::Model& model : bundle_.current()->models) {
    models.push_back(json::object{{"id", model.id.value()}, {"object", "model"}});
  }
  const json::object body{{"object", "list"}, {"data", models}};
  return http::jsonResponse(200, json::serialize(body));
}

awaitable<void> Node::pollStore() {
  asio::steady_timer timer(context_);
  for (;;) {
    for (const Endpoint& endpoint : settings_.objectApi) {
      platform::ObjectApiClient store(client_, endpoint);
      Result<platform::StoredObject> object =
          co_await store.get(std::string(kBundleKind), std::string(kBundleName));
      if (!object) {
        continue;
      }
      Result<bundle::SignedBundle> signedBundle = bundle::signedBundleFromJson(object.value().spec);
      if (signedBundle) {
        const Result<void> adopted = bundle_.adopt(signedBundle.value());
        if (!adopted && adopted.error().kind != ErrorKind::kVersionConflict) {
          metrics_.countError(adopted.error().kind);
        }
      }
      break;
    }
    timer.expires_after(settings_.storePollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void Node::onBundleAdopted(const bundle::Bundle& bundle) {
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
