#pragma once

#include <prometheus/registry.h>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "forward/forwarder.h"
#include "log/log.h"
#include "support/direct_paths.h"

namespace calicodrift::forward {

inline const SoftwareVersion kOld("1");
inline const SoftwareVersion kNew("2");
inline const service_rollout::OrderKey kOrder(9);
inline const ModelId kModel("m");

/// Accepts requests of host "h"; those to /model/ have a prompt with a long common prefix.
class TestCallerProtocol : public CallerProtocol {
 public:
  /// Headers with the caller's patience, in milliseconds, and its key.
  static constexpr std::string_view kPatience = "X-Patience-Ms";
  static constexpr std::string_view kApiKey = "X-Key";

  Result<Request> read(http::Request&& message) const override {
    Request request;
    request.id = RequestId("r");
    request.host = "h";
    request.received = monotonicNow();
    request.apiKey = message.headers.get(kApiKey);
    if (const auto patience = message.headers.find(kPatience)) {
      request.patience = Milliseconds(std::stoi(*patience));
    }
    if (message.target.starts_with("/model/")) {
      request.model = kModel;
      request.prompt = {{"common", 4096}, {"own", 100}};
      request.promptTokens = 4196;
      request.outputTokens = 10;
    }
    request.message = std::move(message);
    return request;
  }
  http::Response refuse(const Error& error) const override { return http::errorResponse(error); }
};

/// Protocol of servers that mark their own answers with a header. A 503 proves that the request was
/// not run.
class TestServerProtocol : public ServerProtocol {
 public:
  static constexpr std::string_view kSeal = "X-Seal";
  static constexpr std::string_view kFetchFrom = "X-Fetch-From";
  /// Header of a server that is leaving.
  static constexpr std::string_view kLeaving = "X-Leaving";
  /// Header that asks for a rest, in milliseconds.
  static constexpr std::string_view kRest = "X-Rest-Ms";
  /// Header of a server that names a limit, in requests a second.
  static constexpr std::string_view kLimit = "X-Limit";
  /// Header with the time that the caller has left, in milliseconds.
  static constexpr std::string_view kTimeLeft = "X-Time-Left-Ms";
  /// Header with the weights that a request expects.
  static constexpr std::string_view kWeights = "X-Weights";
  /// Header with the scope of cached parts that a request may use.
  static constexpr std::string_view kScope = "X-Scope";

  /// Called with each request right before its first byte is sent.
  std::function<void(const http::Request&)> onSend;

  http::Request encode(const Request& request, const Dispatch& dispatch) const override {
    http::Request message = request.message;
    message.headers.set(kTimeLeft, std::to_string(dispatch.timeLeft.count()));
    if (onSend) {
      onSend(message);
    }
    if (dispatch.weights) {
      message.headers.set(kWeights, std::to_string(dispatch.weights->value()));
    }
    message.headers.set(kScope, dispatch.cacheScope);
    if (dispatch.fetchCacheFrom) {
      message.headers.set(kFetchFrom, dispatch.fetchCacheFrom->toString());
    }
    return message;
  }
  AnswerKind classify(const Request& /*request*/, const http::Response& head) const override {
    constexpr unsigned kRefused = 503;
    if (head.status == kRefused) {
      return AnswerKind::kNotRun;
    }
    return head.headers.find(kSeal) ? AnswerKind::kAnswered : AnswerKind::kUnverified;
  }
  std::string requestIdOf(const http::Response& /*head*/) const override { return {}; }
  std::optional<WeightsVersion> weightsOf(const http::Response& /*head*/) const override {
    return std::nullopt;
  }
  ServerNotices noticesOf(const http::Response& head) const override {
    ServerNotices notices;
    notices.leaving = head.headers.find(kLeaving).has_value();
    if (const auto rest = head.headers.find(kRest)) {
      notices.rest = Milliseconds(std::stoi(*rest));
    }
    if (const auto limit = head.headers.find(kLimit)) {
      notices.requestLimit = std::optional(std::stod(*limit));
    }
    return notices;
  }
  bool isFromServer(const fleet::Server& /*server*/,
                    const http::Response& /*head*/) const override {
    return true;
  }
  bool namesOtherServer(const fleet::Server& /*server*/,
                        const http::Response& /*head*/) const override {
    return false;
  }
  http::Request healthQuery(const routes::Service& /*service*/) const override { return {}; }
  bool isHealthy(const fleet::Server& /*server*/, const http::Response& /*answer*/) const override {
    return true;
  }
  http::Request reportQuery(const fleet::Server& /*server*/) const override { return {}; }
  Result<ServerReport> readReport(const http::Response& /*answer*/) const override {
    return ServerReport{};
  }
  http::Request cacheStoreQuery(const CacheStoreState& /*since*/,
                                Milliseconds /*wait*/) const override {
    return {};
  }
  std::optional<CacheStoreState> readCacheStore(const http::Response& /*answer*/) const override {
    return std::nullopt;
  }
  http::Request encodeOrder(const WeightsOrder& /*order*/) const override { return {}; }
  OrderOutcome readOrderAnswer(const http::Response& /*answer*/) const override {
    return OrderOutcome::kRefused;
  }
};

/// Response writer that keeps the status of its answer.
class StatusWriter : public http::ResponseWriter {
 public:
  using Done = boost::asio::awaitable<Result<void>>;
  Done send(http::Response response) override {
    status = response.status;
    co_return boost::outcome_v2::success();
  }
  Done startStream(http::Response response) override {
    status = response.status;
    co_return boost::outcome_v2::success();
  }
  Done writeChunk(std::string_view /*bytes*/) override { co_return boost::outcome_v2::success(); }
  Done endStream() override { co_return boost::outcome_v2::success(); }
  void abort() override { aborted = true; }
  void onCallerGone(std::function<void()> /*callback*/) override {}
  bool callerGone() const override { return false; }
  bool streamStarted() const override { return false; }

  unsigned status = 0;
  bool aborted = false;
};

/// Loopback server of one version, with a behaviour that the test sets.
struct VersionServer {
  using Behaviour = std::function<boost::asio::awaitable<void>(http::ResponseWriter&)>;

  VersionServer(boost::asio::io_context& context, std::string name, SoftwareVersion version)
      : name(std::move(name)),
        version(std::move(version)),
        http(std::make_unique<http::Server>(
            context.get_executor(), http::ServerLimits{},
            [this](http::Request& request,
                   http::ResponseWriter& writer) -> boost::asio::awaitable<void> {
              requests.push_back(std::move(request));
              co_await behaviour(writer);
            })),
        endpoint(http->listen({"127.0.0.1", 0}).value()) {}

  static http::Response sealed(unsigned status) {
    http::Response response;
    response.status = status;
    response.body = "done";
    response.headers.set(TestServerProtocol::kSeal, "1");
    return response;
  }
  void answers(unsigned status) {
    behaviour = [status](http::ResponseWriter& writer) -> boost::asio::awaitable<void> {
      co_await http::respond(writer, sealed(status));
    };
  }
  /// Closes the listening socket.
  void crash() { http.reset(); }

  std::string name;
  SoftwareVersion version;
  std::vector<http::Request> requests;
  Behaviour behaviour;
  std::unique_ptr<http::Server> http;
  Endpoint endpoint;
};

/// An object store that always fails.
class FailingStore : public store::ObjectStore {
 public:
  template <typename Value>
  using Answer = boost::asio::awaitable<Result<Value>>;
  Answer<store::Listing> list(std::string /*kind*/) override { co_return none(); }
  Answer<store::ChangeBatch> watch(std::string /*kind*/, store::Revision /*since*/,
                                   Milliseconds /*wait*/) override {
    co_return none();
  }
  Answer<store::Object> get(std::string /*kind*/, std::string /*name*/) override {
    co_return none();
  }
  Answer<store::Revision> put(std::string /*kind*/, store::Object /*object*/) override {
    co_return none();
  }
  Answer<store::Revision> putStatus(std::string /*kind*/, store::Object /*object*/) override {
    co_return none();
  }

 private:
  static Error none() { return fail(ErrorKind::kStoreUnavailable, "there is no store"); }
};

/// A forwarder with servers of two versions. The test sets the traffic rule and what the canary
/// budget grants, and checks what the forwarder reports.
class ForwardingFixture {
 public:
  using Rule = service_rollout::TrafficRule;
  using Track = service_rollout::Track;

  ForwardingFixture()
      : pool(40, [](const fleet::Server&, fleet::ServerLoss) {}),
        client_(context.get_executor()),
        metrics_(registry_),
        quotaMetrics_(registry_),
        quarantineMetrics_(registry_),
        quarantine_(
            {context.get_executor(), client_, standaloneTreePosition(), [] { return false; }},
            failingStore_, "records", quarantineMetrics_, [](const store::Object&, const Error&) {},
            1),
        quota_({context.get_executor(), client_, [] { return quota::QuotaRoleShare{}; },
                [] { return std::optional<Endpoint>(); }, [] { return std::vector<Endpoint>(); }},
               quota::QuotaBounds{}, quotaMetrics_, 1) {
    log::silence();
    settings.modelPolicy = "PrefixHome";
    settings.servicePolicy = "LeastOutstanding";
    rule = {kOld, kNew, service_rollout::CandidateUse::kCanary, kOrder};
  }

  VersionServer& addServer(const std::string& name, const SoftwareVersion& version) {
    servers.push_back(std::make_unique<VersionServer>(context, name, version));
    VersionServer& added = *servers.back();
    added.answers(200);
    fleet::Server server;
    server.id = BackendId(name);
    server.endpoint = added.endpoint;
    server.version = version;
    server.service = "app";
    pool.apply(server, monotonicNow());
    server.id = BackendId(name + "-model");
    server.service = "llm";
    server.models = {{kModel, WeightsVersion(1)}};
    pool.apply(server, monotonicNow());
    return added;
  }

  /// Sends a request and waits for its answer. @return the status that the caller got.
  unsigned call(const std::string& target = "/safe/x") {
    StatusWriter writer;
    callWith(writer, target);
    return writer.status;
  }
  /// Makes the forwarder with what the test has set; called before the first request at the latest.
  void makeForwarder() {
    if (!forwarder) {
      forwarder = std::make_unique<Forwarder>(forwardContext(), settings, GateSettings{}, 1);
    }
  }
  /// Sends a request whose answer goes to the writer, and waits for its end.
  void callWith(http::ResponseWriter& writer, const std::string& target) {
    makeForwarder();
    http::Request message;
    message.target = target;
    bool done = false;
    boost::asio::co_spawn(context, forwarder->handle(message, writer),
                          [&done](const std::exception_ptr&) { done = true; });
    context.restart();
    while (!done && context.run_one_for(std::chrono::seconds(10)) > 0) {
    }
    BOOST_TEST(done);
  }
  ServerCalls& calls() { return serverCalls_; }
  TestServerProtocol& serverProtocol() { return serverProtocol_; }
  std::size_t sentTo(Track track) const {
    const auto found = sent.find(track);
    return found == sent.end() ? 0 : found->second;
  }
  std::size_t reportedFailures() const {
    return static_cast<std::size_t>(std::count_if(
        answers.begin(), answers.end(), [](const auto& answer) { return answer.failed; }));
  }

  boost::asio::io_context context;
  fleet::ServerPool pool;
  ForwardSettings settings;
  std::vector<std::unique_ptr<VersionServer>> servers;
  std::unique_ptr<Forwarder> forwarder;
  Rule rule;
  std::function<bool()> budget = [] { return true; };
  /// Roots that give out the units of servers' limits; empty: the node gives them out itself.
  std::vector<Endpoint> limitRoots;
  /// The configuration in force; empty: public routes.
  std::shared_ptr<const routes::RouteTable> configuration;
  std::function<void()> removeExpiredWeights = [] {};
  /// The epoch of the clock means that the named weights were not read.
  MonotonicTime weightsProvenAt = monotonicNow();
  /// Number of budget queries, and the dispatches and observations that were reported.
  std::size_t asked = 0;
  std::map<Track, std::size_t> sent;
  std::vector<service_rollout::AnswerObservation> answers;

  static routes::Route route(const std::string& name, routes::RouteKind kind,
                             const std::string& service) {
    routes::Route made;
    made.name = name;
    made.host = "h";
    made.pathPrefix = "/" + name + "/";
    made.kind = kind;
    made.timeout = Milliseconds(4000);
    made.targetLatency = Milliseconds(400);
    made.maxAttempts = 2;
    made.isPublic = true;
    made.services = {{service, 1}};
    return made;
  }

 private:
  /// Position of a node that belongs to no relay tree.
  static relay::TreePosition standaloneTreePosition() {
    return {{},
            [] { return std::nullopt; },
            [] { return std::vector<Endpoint>(); },
            [] { return std::vector<Endpoint>(); },
            [] { return false; },
            [] { return true; }};
  }
  /// Context of a node that belongs to no relay tree, unless the test names roots.
  server_limits::ServerLimitContext standaloneLimitContext() {
    relay::TreePosition tree = standaloneTreePosition();
    tree.isAlone = [this] { return limitRoots.empty(); };
    return {context.get_executor(),
            client_,
            std::move(tree),
            [this] { return limitRoots; },
            [] { return true; },
            [] { return MonotonicTime(); },
            pool,
            [] { return monotonicNow(); },
            [](const fleet::Server&) -> boost::asio::awaitable<void> { co_return; },
            {},
            ""};
  }

  ForwardContext forwardContext() {
    routes::RouteTableContent content;
    content.version = ConfigVersion(1);
    content.routes = {route("safe", routes::RouteKind::kSafe, "app"),
                      route("stream", routes::RouteKind::kStreaming, "app"),
                      route("model", routes::RouteKind::kSafe, "llm")};
    const auto table = std::make_shared<const routes::RouteTable>(std::move(content));
    RolloutHooks hooks;
    hooks.rule = [this](const std::string&) { return rule; };
    hooks.takeCanary = [this](auto, auto) {
      ++asked;
      return budget();
    };
    hooks.onSent = [this](const std::string&, auto, Track track) { ++sent[track]; };
    hooks.onAnswer = [this](auto, const auto& answer) { answers.push_back(answer); };
    return {context.get_executor(),
            serverCalls_,
            pool,
            callers_,
            serverProtocol_,
            metrics_,
            [this, table] {
              return ConfigurationView{configuration ? configuration : table, monotonicNow()};
            },
            [this](const ModelId&, WeightsVersion) {
              return WeightsView{std::nullopt, weightsProvenAt};
            },
            [](std::uint64_t) { return std::optional<Endpoint>(); },
            quota_,
            quarantine_,
            serverLimits_,
            streamVersions_,
            [this] { removeExpiredWeights(); },
            hooks};
  }

  http::Client client_;
  prometheus::Registry registry_;
  ForwardMetrics metrics_;
  quota::QuotaMetrics quotaMetrics_;
  FailingStore failingStore_;
  quarantine::QuarantineMetrics quarantineMetrics_;
  quarantine::QuarantineNode quarantine_;
  quota::QuotaNode quota_;
  stream_versions::StreamVersionMetrics streamVersionMetrics_{registry_};
  stream_versions::StreamVersionNode streamVersions_{
      {context, client_, streamVersionMetrics_, standaloneTreePosition(),
       [] { return stream_versions::VersionListing(); }, [] { return monotonicNow(); },
       []() -> boost::asio::awaitable<Result<void>> { co_return boost::outcome_v2::success(); },
       failingStore_, "stream-versions"},
      {}};
  server_limits::ServerLimitMetrics serverLimitMetrics_{registry_};
  server_limits::ServerLimitNode serverLimits_{standaloneLimitContext(), serverLimitMetrics_};
  testing::DirectPaths directPaths_{context.get_executor(), client_};
  ServerCalls serverCalls_{
      {client_, serverProtocol_, pool, serverLimits_, metrics_, directPaths_.paths}, 1};
  TestCallerProtocol callers_;
  TestServerProtocol serverProtocol_;
};

}  // namespace calicodrift::forward
