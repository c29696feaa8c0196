#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
constexpr std::string_view kStorePath = "path to the store";
constexpr unsigned kEvents = 6;
/// One run in so many loses its answer, or the rest of its stream.
constexpr std::size_t kRunsALoss = 40;
constexpr Milliseconds kEventPause{15};
/// What a slow run takes beyond a usual one.
constexpr int kSlowFactor = 6;
constexpr unsigned kServerFailure = 500;

/// About what the callers send, so that waves of them are over it. In tokens.
constexpr double kLimitPerSecond = 45'000;
constexpr double kLimitBurst = 45'000;
constexpr double kPlainTokens = 200;
constexpr double kModelTokens = 920;
constexpr quota::QuotaBounds kLimitBounds{Milliseconds(4000), 0.1, 30'000};

/// What a caller waits for its answer.
constexpr Milliseconds kDeadline{3000};

bool streams(const std::string& kind) {
  return kind.starts_with("stream");
}

bool runsOnce(const std::string& kind) {
  return kind == "once" || kind == "stream-once";
}

/// Notes a run for as long as it lasts.
class RunNote {
 public:
  RunNote(std::multiset<std::string>& running, const std::string& request)
      : running_(running), place_(running.insert(request)) {}
  ~RunNote() { running_.erase(place_); }
  RunNote(const RunNote&) = delete;
  RunNote& operator=(const RunNote&) = delete;

 private:
  std::multiset<std::string>& running_;
  std::multiset<std::string>::iterator place_;
};

std::string wholeStream() {
  std::string events;
  for (unsigned number = 1; number <= kEvents; ++number) {
    events += "id: " + std::to_string(number) + "\ndata: " + std::to_string(number) + "\n\n";
  }
  return events;
}

}  // namespace

std::string_view nameOf(SoakPlot plot) {
  switch (plot) {
    case SoakPlot::kWeights:
      return "weights";
    case SoakPlot::kRollouts:
      return "rollouts";
    case SoakPlot::kRestarts:
      return "restarts";
    case SoakPlot::kLimits:
      return "limits";
    case SoakPlot::kNotices:
      return "notices";
    case SoakPlot::kCrashes:
      return "crashes";
    case SoakPlot::kCrashingParts:
      return "crashing_parts";
    case SoakPlot::kReturns:
      return "returns";
    case SoakPlot::kPartitions:
      return "partitions";
    case SoakPlot::kSilences:
      return "silences";
    case SoakPlot::kDepartures:
      return "departures";
    case SoakPlot::kOutOfStep:
      return "out_of_step";
    case SoakPlot::kBrittleServers:
      return "brittle_servers";
    case SoakPlot::kVersions:
      break;
  }
  return "versions";
}

GatewaySoak::Proxy GatewaySoak::makeProxy(const Endpoint& target) {
  Proxy made;
  made.proxy = std::make_unique<sim::FaultProxy>(context_, target);
  made.endpoint = made.proxy->listen({"127.0.0.1", 0}).value();
  made.control = made.proxy->listenControl({"127.0.0.1", 0}).value();
  return made;
}

void GatewaySoak::addServer(const std::string& id, const std::string& service,
                            const std::string& model, const std::string& version,
                            const Behaviour& behaviour) {
  auto added = std::make_unique<Server>();
  added->service = service;
  added->version = version;
  added->behaviour = behaviour;
  added->server = std::make_unique<ServerStandIn>(context_, id, service, model, version);
  if (plot_ == SoakPlot::kSilences) {
    addStoppable(*added);
  }
  added->proxy = makeProxy(added->server->endpoint());
  added->hasModel = !model.empty();
  Server& server = *added;
  added->server->setBehaviour(
      [this, &server](const http::Request& request, http::ResponseWriter& writer) {
        if (plot_ == SoakPlot::kDepartures) {
          return runForLeavingCaller(server, request, writer);
        }
        if (plot_ == SoakPlot::kBrittleServers) {
          return runForFixedTime(server, request, writer);
        }
        return plot_ == SoakPlot::kSilences ? runWithSilences(server, request, writer)
                                            : runServerRequest(server, request, writer);
      });
  added->server->loadTime = between(30, 800);
  added->server->onLoaded([this, &server] {
    emptyMemory(server);
    publish(server);
  });
  servers_.push_back(std::move(added));
  publish(server);
}

json::value GatewaySoak::entryOf(const Server& server) const {
  json::value entry = server.server->entry(server.state);
  if (!server.stoppable) {
    entry.as_object()["address"] = server.proxy.endpoint.toString();
  }
  return entry;
}

/// Not while another writer's entry stands in its place, nor while its process is gone.
void GatewaySoak::publish(const Server& server) {
  if (!server.badSince && !server.down && !server.stopped) {
    store_.put("servers", server.server->id(), entryOf(server));
  }
}

/// Runs a request: counts it, then answers with its id, or with a stream after the given position.
awaitable<void> GatewaySoak::runServerRequest(Server& server, const http::Request& request,
                                              http::ResponseWriter& writer) {
  const std::string id = request.headers.get(platform::kRequestId);
  const MonotonicTime arrival = monotonicNow();
  // Beside orders, only versions that these name may run requests.
  if (plot_ != SoakPlot::kVersions && plot_ != SoakPlot::kOutOfStep) {
    rolloutCheck_.onArrival(server.service, server.version, arrival, sentCalmly(id));
  }
  judgeArrival(server, id);
  noteSpared(server, id);
  const unsigned start = server.server->starts();
  const auto lives = [&server, start] { return server.server->starts() == start; };
  const RunNote running(server.running, id);
  if (crashes(request)) {
    crashUnder(server, id, arrival);
    co_return;
  }
  if (server.hasModel) {
    if (!co_await waitsToBegin(server, request, writer)) {
      co_return;
    }
    recordBeginning(server, id);
    useMemory(server, request);
  }
  const MonotonicTime begun = monotonicNow();
  ++runs_[id];
  record_.note("runs " + id + " at " + server.server->id());
  // The limit is kept where requests are sent, so that a wait at the server doesn't count.
  tokensRun_.emplace(arrival, server.hasModel ? kModelTokens : kPlainTokens);
  if (request.headers.find(platform::kKey)) {
    violate("server got a key: " + id);
  }
  const bool badly = runsBadly(server, request);
  if (badly) {
    rolloutCheck_.onBadAnswer(server.version, monotonicNow());
  }
  if (badly && !server.behaviour.slow) {
    co_await http::respond(writer, ServerStandIn::sealed(request, kServerFailure, "failed"));
    co_return;
  }
  const int slowness = badly ? kSlowFactor : 1;
  const bool loses = pick(kRunsALoss) == 0;
  if (loses) {
    countFault("answer lost", id);
  }
  if (showsVersion(request)) {
    co_await streamWithVersion(server, request, writer);
    co_return;
  }
  if (request.path().starts_with("/stream")) {
    const std::string after = request.headers.get(platform::kLastEventId);
    const unsigned first = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
    for (unsigned number = first; number <= kEvents && !writer.callerGone() && lives(); ++number) {
      co_await ServerStandIn::streamEvents(request, writer, number, number);
      co_await pause(kEventPause * slowness);
      if (loses && number == first + 1) {
        writer.abort();
        co_return;
      }
    }
    if (!lives()) {
      co_return;
    }
    if (writer.callerGone()) {
      judgeCut(server, id, begun);
    }
    const Result<void> ended = co_await writer.endStream();
    static_cast<void>(ended);
    co_return;
  }
  co_await pause(Milliseconds(10) * slowness);
  if (loses || !lives()) {
    writer.abort();
    co_return;
  }
  if (writer.callerGone()) {
    judgeCut(server, id, begun);
  }
  co_await http::respond(writer, ServerStandIn::sealed(request, 200, "run " + id));
}

json::object GatewaySoak::limit() {
  return {{"unit", "token_stream"},
          {"rate_per_s", kLimitPerSecond},
          {"burst", kLimitBurst},
          {"plain_tokens", kPlainTokens}};
}

/// The tenant got no more in any window than its limit over all nodes allows.
void GatewaySoak::checkLimit() {
  constexpr double kMsPerSecond = 1000;
  const double seconds = toMilliseconds(kLimitBounds.window) / kMsPerSecond;
  const double allowed =
      (kLimitPerSecond * seconds + kLimitBurst) * (1 + kLimitBounds.overshoot) + kLimitBounds.slack;
  quota::WindowChecker run;
  for (const auto& [arrival, tokens] : tokensRun_) {
    run.add(tokens, arrival);
  }
  const double worst = run.worst(kLimitBounds.window);
  if (worst > allowed) {
    violate(std::to_string(worst) + " tokens of the tenant ran in one window; allowed " +
            std::to_string(allowed));
  }
}

awaitable<void> GatewaySoak::callers() {
  constexpr Milliseconds kInterval{8};
  const std::vector<std::string> kinds{"safe", "once", "stream", "stream-once", "stream-patient"};
  while (!ended_) {
    // After the withdrawal the key goes on to be used.
    const bool withdrawn = withdrawnAt_.has_value();
    const std::string key = withdrawn && pick(4) > 0 ? "k2" : "k1";
    asio::co_spawn(context_, call(kinds[pick(kinds.size())], key), asio::detached);
    co_await pause(kInterval);
  }
}

awaitable<void> GatewaySoak::call(std::string kind, std::string key) {
  ++outstanding_;
  const std::string id = "q" + std::to_string(++nextRequest_);
  const std::string path = "/" + kind + "/a";
  http::Request request =
      streams(kind) ? GatewayFixture::modelRequest(path) : GatewayFixture::request(path);
  if (streams(kind) && plot_ == SoakPlot::kRestarts) {
    drawPrompt(request);
  }
  request.headers.set(platform::kRequestId, id);
  request.headers.set(platform::kKey, key);
  request.headers.set(platform::kDeadline, std::to_string(kDeadline.count()));
  if (runsOnce(kind)) {
    once_.insert(id);
  }
  if (key == "k1" && withdrawnAt_ && monotonicNow() - *withdrawnAt_ > kKeyRevocation) {
    withdrawnSent_.insert(id);
  }
  http::ExchangeOptions options;
  // Half of the callers keep their connections, for as long as the node's process has them open.
  options.connection = pick(2) == 0 ? http::ConnectionUse::kFresh : http::ConnectionUse::kPooled;
  options.connectTimeout = Milliseconds(500);
  options.headerTimeout = kDeadline + Milliseconds(500);
  options.bodyTimeout = options.headerTimeout;
  const Node& node = *nodes_[pick(nodes_.size())];
  sendings_[id] = {&node, monotonicNow()};
  const Endpoint target = node.listen;
  ++findings_.requests;
  const Result<http::Response> answer =
      co_await client_.exchange(target, std::move(request), options);
  judge(kind, id, answer);
  --outstanding_;
}

void GatewaySoak::judge(const std::string& kind, const std::string& id,
                        const Result<http::Response>& answer) {
  if (!answer) {
    return;
  }
  const unsigned status = answer.value().status;
  const bool promise = status == 503 || status == 429 || status == 408 || status == 421;
  if (promise && runsOnce(kind)) {
    promisedNotRun_.insert(id);
  }
  if (status != 200) {
    return;
  }
  ++findings_.served;
  const std::string expected = streams(kind) ? wholeStream() : "run " + id;
  if (answer.value().body != expected) {
    violate(kind + " " + id + " got another body: " + answer.value().body);
  }
  if (answer.value().headers.get(platform::kSeal) != "seal") {
    violate(kind + " " + id + " got a success without a seal");
  }
}

awaitable<void> GatewaySoak::faults(MonotonicTime end, MonotonicTime withdrawal) {
  while (monotonicNow() < end) {
    co_await pause(between(150, 500));
    asio::co_spawn(context_, injectOne(), asio::detached);
    if (!withdrawing_ && monotonicNow() > withdrawal) {
      withdrawing_ = true;
      asio::co_spawn(context_, withdrawKeyUnheard(), asio::detached);
    }
  }
}

awaitable<void> GatewaySoak::injectOne() {
  switch (pick(4)) {
    case 0:
      co_await strikeNode(*nodes_[pick(nodes_.size())]);
      break;
    case 1: {
      Node& node = *nodes_[pick(nodes_.size())];
      co_await strikeProxy(std::string(kStorePath), node.name, node.store.control, storeFaults_);
      break;
    }
    case 2: {
      Server& server = *servers_[pick(servers_.size())];
      co_await strikeProxy("server", server.server->id(), server.proxy.control, server.pathFaults);
      break;
    }
    default:
      co_await strikeStore();
      break;
  }
}

awaitable<void> GatewaySoak::setFaults(Endpoint control, json::object faults) {
  http::Request request;
  request.method = "POST";
  request.target = "/faults";
  request.body = json::serialize(faults);
  const http::ExchangeOptions options;
  const Result<http::Response> answer =
      co_await client_.exchange(std::move(control), std::move(request), options);
  BOOST_TEST(static_cast<bool>(answer), "the proxy takes no faults");
}

awaitable<void> GatewaySoak::strikeProxy(std::string name, std::string target, Endpoint control,
                                         FaultSpans& faults) {
  const std::vector<json::object> choices{{{"refuse", true}},           {{"freeze", true}},
                                          {{"swallow_requests", true}}, {{"swallow_answers", true}},
                                          {{"delay_ms", 120}},          {{"drop_answers", 3}},
                                          {{"cut_after_bytes", 60}},    {{"duplicate_answers", 2}}};
  const json::object& chosen = choices[pick(choices.size())];
  countFault(name + ": " + std::string(chosen.begin()->key()), target);
  const bool storePath = name == kStorePath;
  if (storePath && unheard_) {
    co_return;
  }
  const FaultSpan span(faults);
  co_await setFaults(control, chosen);
  co_await pause(between(200, 2000));
  json::object after;
  if (storePath && unheard_) {
    after["freeze"] = true;
  }
  co_await setFaults(control, after);
  record_.note("end of " + std::string(chosen.begin()->key()) + ": " + target);
}

awaitable<void> GatewaySoak::strikeStore() {
  const std::size_t kind = pick(5);
  if (kind == 0) {
    countFault("store forgets its history");
    const FaultSpan span(storeFaults_);
    store_.compact();
  } else if (kind == 1) {
    nameWeights();
  } else {
    const FaultSpan span(storeFaults_);
    const std::vector<StoreStandIn::Mode> modes{
        StoreStandIn::Mode::kBusy, StoreStandIn::Mode::kSilent, StoreStandIn::Mode::kLosesWrites};
    countFault("store fails", std::to_string(kind));
    rolloutCheck_.onStoreFault(monotonicNow());
    store_.setMode(modes[kind - 2]);
    co_await pause(between(200, 1500));
    store_.setMode(StoreStandIn::Mode::kUp);
    record_.note("store is up");
  }
}

/// Withdraws the key while no node hears from the store, for longer than the key may be served.
awaitable<void> GatewaySoak::withdrawKeyUnheard() {
  countFault("key withdrawn");
  const FaultSpan span(storeFaults_);
  unheard_ = true;
  json::object frozen;
  frozen["freeze"] = true;
  for (const std::unique_ptr<Node>& node : nodes_) {
    co_await setFaults(node->store.control, frozen);
  }
  ++configVersion_;
  key_ = "k2";
  store_.put("config", "main", configuration());
  // The bound counts from the store's acknowledgement; cutting the paths off may take long.
  withdrawnAt_ = monotonicNow();
  co_await pause(kKeyRevocation + Milliseconds(2000));
  unheard_ = false;
  const json::object none;
  for (const std::unique_ptr<Node>& node : nodes_) {
    co_await setFaults(node->store.control, none);
  }
}

awaitable<void> GatewaySoak::pause(Milliseconds time) {
  asio::steady_timer timer(context_, time);
  co_await timer.async_wait(asio::use_awaitable);
}

/// No two holders order under one fence.
void GatewaySoak::checkOrders() {
  std::map<std::uint64_t, std::string> holders;
  for (const std::unique_ptr<Server>& server : servers_) {
    for (const json::value& order : server->server->orders()) {
      const auto fence = order.at("fence").to_number<std::uint64_t>();
      const std::string holder(order.at("holder").as_string());
      const auto [known, added] = holders.emplace(fence, holder);
      if (!added && known->second != holder) {
        violate("two holders under fence " + std::to_string(fence));
      }
    }
  }
}

void GatewaySoak::checkRuns() {
  for (const auto& [id, count] : runs_) {
    if (count > 1 && once_.contains(id)) {
      violate("once " + id + " ran " + std::to_string(count) + " times");
    }
    if (promisedNotRun_.contains(id)) {
      violate("once " + id + " ran although the answer promised that it had not");
    }
    if (withdrawnSent_.contains(id)) {
      violate(id + " ran under a key that had been withdrawn");
    }
  }
}

SoakFindings GatewaySoak::run() {
  asio::co_spawn(
      context_,
      [this]() -> awaitable<void> {
        co_await recover();
        if (plot_ == SoakPlot::kDepartures) {
          asio::co_spawn(context_, callersThatLeave(), asio::detached);
        } else if (plot_ == SoakPlot::kBrittleServers) {
          asio::co_spawn(context_, callersBesideBrittleServers(), asio::detached);
        } else if (plot_ == SoakPlot::kSilences) {
          asio::co_spawn(context_, callersBesideSilences(), asio::detached);
        } else {
          asio::co_spawn(context_, callers(), asio::detached);
        }
        asio::co_spawn(context_, watchOrders(), asio::detached);
        if (plot_ == SoakPlot::kRollouts) {
          co_await stormWithRollouts();
        } else if (plot_ == SoakPlot::kRestarts) {
          co_await restartsBesideNamings();
        } else if (plot_ == SoakPlot::kLimits) {
          co_await stormWithLimits();
        } else if (plot_ == SoakPlot::kNotices) {
          co_await stormWithNotices();
        } else if (plot_ == SoakPlot::kPartitions) {
          co_await stormWithPartitions();
        } else if (plot_ == SoakPlot::kVersions) {
          co_await stormWithVersions();
        } else if (plot_ == SoakPlot::kOutOfStep) {
          co_await stormOutOfStep();
        } else if (plot_ == SoakPlot::kSilences) {
          co_await stormWithSilences();
        } else if (plot_ == SoakPlot::kDepartures) {
          co_await stormWithDepartures();
        } else if (plot_ == SoakPlot::kBrittleServers) {
          co_await stormWithBrittleServers();
        } else if (plot_ == SoakPlot::kReturns) {
          co_await stormWithReturns();
        } else if (plot_ == SoakPlot::kCrashes || plot_ == SoakPlot::kCrashingParts) {
          co_await stormWithCrashes();
        } else {
          co_await stormAndCalm();
        }
        co_await pause(kLongestFault);
        co_await recover();
        ended_ = true;
        while (outstanding_ > 0) {
          co_await pause(Milliseconds(50));
        }
        context_.stop();
      },
      [this](const std::exception_ptr& failure) {
        if (failure) {
          violate("the soak itself failed");
          context_.stop();
        }
      });
  context_.run_for(3 * length_ + std::chrono::seconds(120));
  if (!ended_) {
    violate("the soak did not end in time");
  }
  checkRuns();
  checkOrders();
  checkLimit();
  for (const std::string& late : weightsCheck_.violations()) {
    violate(late);
  }
  for (const std::string& needless : silences_.needlessRuns()) {
    violate(needless);
  }
  findings_.silences = silences_.summary();
  if (!foreign_.arrivals().empty()) {
    violate(std::to_string(foreign_.arrivals().size()) + " requests came where a bad entry says");
  }
  for (const std::string& wrong : rolloutCheck_.violations()) {
    violate(wrong);
  }
  findings_.judgedOrders = rolloutCheck_.judgedOrders();
  findings_.rollouts = rolloutCheck_.summary();
  findings_.judgedBeginnings = weightsCheck_.judgedBeginnings();
  findings_.judgedNamings = weightsCheck_.judgedNamings();
  findings_.weights = weightsCheck_.summary();
  return findings_;
}

}  // namespace calicodrift::testing
