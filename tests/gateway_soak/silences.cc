// Servers that stand still for a second or so in series, several at once and at each moment of
// their answers, beside changes of the configuration, signals to nodes in series that overlap, and
// servers that end. Most answers end with their connection. Each request is judged by itself.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

constexpr int kShortestStopMs = 300;
constexpr int kLongestStopMs = 1500;
/// A server runs for so long after a stop, so that no silence is longer than one stop.
constexpr Milliseconds kBetweenStops{300};
/// One run in so many stops its server at a moment of its answer.
constexpr std::size_t kRunsAStop = 25;
/// One run in so many is broken off by its server.
constexpr std::size_t kRunsABreak = 60;
/// One caller in so many leaves early.
constexpr std::size_t kCallsALeave = 40;
constexpr unsigned kPieces = 20;
/// With a stop less than SilencesCheck::kLongestSilence.
constexpr int kLongestPieceGapMs = 20;
constexpr Milliseconds kCallInterval{14};
constexpr int kShortestDeadlineMs = 3500;
constexpr int kLongestDeadlineMs = 6000;
/// A caller waits for so long after its deadline, to see that the node ends its answer.
constexpr Milliseconds kBeyondDeadline{1500};
constexpr Milliseconds kFirstTimeout{5000};
/// Of the tenant; the callers need about 40,000.
constexpr double kUsualRatePerSecond = 400'000;
constexpr double kLowRatePerSecond = 30'000;
/// After its last change, until a route is in force at all nodes or at none.
constexpr Milliseconds kRouteSettles{3000};

bool isStream(std::string_view kind) {
  return kind.starts_with("stream");
}

std::string pieceOf(const std::string& kind, const std::string& id, unsigned number) {
  std::ostringstream piece;
  if (isStream(kind)) {
    piece << "id: " << number << "\ndata: " << number << "\n\n";
  } else {
    piece << "part " << number << " of " << id << "\n";
  }
  return piece.str();
}

std::vector<std::string> piecesOf(const std::string& kind, const std::string& id) {
  std::vector<std::string> pieces;
  pieces.reserve(kPieces);
  for (unsigned number = 1; number <= kPieces; ++number) {
    pieces.push_back(pieceOf(kind, id, number));
  }
  return pieces;
}

std::string wholeAnswer(const std::string& kind, const std::string& id) {
  std::string whole;
  for (const std::string& piece : piecesOf(kind, id)) {
    whole += piece;
  }
  return whole;
}

bool isUnframed(const std::string& server, const http::Request& request) {
  const bool question = request.path() == "/health" || request.path() == platform::kReportPath ||
                        request.path() == platform::kOrderPath;
  return !question && !server.ends_with("-1");
}

}  // namespace

/// Its address is its own, as a proxy would hide resets.
void GatewaySoak::addStoppable(Server& server) {
  const std::string id = server.server->id();
  server.stoppable = std::make_unique<StoppableServer>(
      context_, server.server->handler(),
      [id](const http::Request& request) { return isUnframed(id, request); });
  server.server->moveBehind(server.stoppable->listen());
}

bool GatewaySoak::standStill(Server& server, Milliseconds time) {
  const MonotonicTime now = monotonicNow();
  if (server.down || now < server.stopEnd + kBetweenStops) {
    return false;
  }
  countFault("server stands still", server.server->id() + " " + std::to_string(time.count()));
  server.stopBegin = now;
  server.stopEnd = now + time;
  server.stoppable->standStill(time);
  return true;
}

awaitable<void> GatewaySoak::standStillInSeries(Server& server, MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    co_await pause(draws.between(500, 6000));
    const std::size_t series = 1 + draws.pick(3);
    for (std::size_t number = 0; number < series; ++number) {
      const Milliseconds time = draws.between(kShortestStopMs, kLongestStopMs);
      standStill(server, time);
      co_await pause(time + kBetweenStops + draws.between(0, 500));
    }
  }
}

/// A request that comes while its server stands still was sent since the stop at the soonest.
MonotonicTime GatewaySoak::soonestSend(const Server& server, const std::string& request) const {
  constexpr Milliseconds kWorkingOff{100};
  const MonotonicTime now = monotonicNow();
  return now < server.stopEnd + kWorkingOff ? std::max(server.stopBegin, sendings_.at(request).at)
                                            : now;
}

/// Writes the pieces of the answer one by one, some cut in two. The server may stop, or break off,
/// at any moment: before the head, at a piece or within it, before the end, or right after it.
awaitable<void> GatewaySoak::runWithSilences(Server& server, const http::Request& request,
                                             http::ResponseWriter& writer) {
  const std::string id = request.headers.get(platform::kRequestId);
  const std::string kind(request.path().substr(1, request.path().rfind('/') - 1));
  const std::vector<std::string> pieces = piecesOf(kind, id);
  ++runs_[id];
  SilencesRun& run = silences_.begin(id, server.server->id(), soonestSend(server, id));
  const bool direct =
      request.headers.get(StoppableServer::kPeerAddress) == sendings_.at(id).node->source;
  record_.note("runs " + id + " at " + server.server->id() +
               (direct ? "" : ", through another node"));
  if (!direct) {
    silences_.cameThroughAnother(id);
  }
  Draws draws = random_.split();
  const unsigned start = server.server->starts();
  const auto lives = [&] { return server.server->starts() == start && !writer.callerGone(); };
  constexpr std::size_t kMoments = kPieces + 3;
  const std::size_t stop = draws.pick(kRunsAStop) == 0 ? draws.pick(kMoments) : kMoments;
  const std::size_t breakOff = draws.pick(kRunsABreak) == 0 ? draws.pick(kPieces) : kMoments;
  const auto stopIfDue = [&](std::size_t moment) {
    if (moment == stop) {
      standStill(server, draws.between(kShortestStopMs, kLongestStopMs));
    }
  };
  const std::string after = request.headers.get(platform::kLastEventId);
  const std::size_t first = after.empty() ? 0 : std::stoul(after);
  co_await pause(draws.between(0, kLongestPieceGapMs));
  stopIfDue(0);
  http::Response head = ServerStandIn::sealed(request, 200, "");
  head.headers.set("Content-Type", isStream(kind) ? "text/event-stream" : "text/plain");
  co_await server.stoppable->untilRunning();
  // A head that is written after its node has left the server shows it no beginning.
  const bool left = writer.callerGone();
  static_cast<void>(co_await writer.startStream(std::move(head)));
  run.wrote(monotonicNow());
  if (!left) {
    run.headAt = run.lastWriteAt;
  }
  for (std::size_t number = first; number < pieces.size() && lives(); ++number) {
    stopIfDue(1 + number);
    const std::size_t half = draws.pick(4) == 0 ? draws.pick(pieces[number].size()) : 0;
    if (half > 0) {
      static_cast<void>(co_await writer.writeChunk(pieces[number].substr(0, half)));
      run.wrote(monotonicNow());
      co_await pause(draws.between(0, kLongestPieceGapMs));
    }
    if (breakOff == number && lives()) {
      countFault("answer broken off", id);
      run.broken = true;
      writer.abort();
      co_return;
    }
    static_cast<void>(co_await writer.writeChunk(pieces[number].substr(half)));
    run.wrote(monotonicNow());
    co_await pause(draws.between(0, kLongestPieceGapMs));
  }
  stopIfDue(kPieces + 1);
  if (!lives()) {
    record_.note("end of " + id + " at " + server.server->id() + ": nobody reads it");
    co_return;
  }
  static_cast<void>(co_await writer.endStream());
  run.endedAt = monotonicNow();
  record_.note("whole " + id + " at " + server.server->id());
  stopIfDue(kPieces + 2);
}

awaitable<void> GatewaySoak::endServersInSeries(MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    co_await pause(draws.between(2000, 6000));
    Server& server = *servers_[draws.pick(servers_.size())];
    countFault("server ended", server.server->id());
    server.down = true;
    const std::vector<std::string> unread = server.stoppable->crash();
    server.server->crash();
    silences_.serverEnded(server.server->id(), monotonicNow(), unread);
    co_await pause(draws.between(100, 800));
    server.server->restart({server.server->weights()});
    server.stoppable->listen();
    co_await pause(draws.between(0, 300));
    server.down = false;
    publish(server);
  }
}

/// Routes of the service "app" are shared with another one by weights; timeouts, a route and the
/// tenant's limit change.
void GatewaySoak::changeForSilences(json::value& configuration) const {
  json::object& root = configuration.as_object();
  json::array& routes = root["routes"].as_array();
  json::object fleeting;
  for (json::value& route : routes) {
    json::object& fields = route.as_object();
    fields["timeout_ms"] = routeTimeout_.count();
    if (fields["service"] == "app") {
      fields["weighted_services"] =
          json::array{json::object{{"service", "app"}, {"weight", appWeight_}},
                      json::object{{"service", "app2"}, {"weight", 10 - appWeight_}}};
    }
    if (fields["name"] == "safe") {
      fleeting = fields;
    }
  }
  if (hasFleetingRoute_) {
    fleeting["name"] = "fleeting";
    fleeting["path_prefix"] = "/fleeting/";
    routes.push_back(fleeting);
  }
  json::object second = root["services"].as_array().front().as_object();
  second["name"] = "app2";
  root["services"].as_array().push_back(second);
  json::object& tenant = root["tenants"].as_array().front().as_object();
  tenant["rate_per_s"] = limitIsLow_ ? kLowRatePerSecond : kUsualRatePerSecond;
  tenant["burst"] = tenant["rate_per_s"];
}

awaitable<void> GatewaySoak::changeInSeries(MonotonicTime end, Draws draws) {
  const std::vector<Milliseconds> timeouts{Milliseconds(3500), kFirstTimeout, Milliseconds(7000)};
  while (monotonicNow() < end) {
    co_await pause(draws.between(100, 1500));
    const std::size_t series = 1 + draws.pick(4);
    for (std::size_t number = 0; number < series; ++number) {
      switch (draws.pick(4)) {
        case 0:
          countFault("timeouts changed");
          routeTimeout_ = timeouts[draws.pick(timeouts.size())];
          silences_.timeoutSet(routeTimeout_, monotonicNow());
          break;
        case 1:
          countFault("weights of services changed");
          appWeight_ = 1 + draws.pick(9);
          break;
        case 2:
          countFault("route added or removed");
          hasFleetingRoute_ = !hasFleetingRoute_;
          fleetingChangedAt_ = monotonicNow();
          break;
        default:
          limitIsLow_ = draws.pick(3) == 0;
          countFault(limitIsLow_ ? "limit lowered" : "limit as usual");
          break;
      }
      ++configVersion_;
      store_.put("config", "main", configuration());
      co_await pause(draws.between(10, 400));
    }
  }
}

/// Kills, stops and signals to reload, in series at several nodes at once.
awaitable<void> GatewaySoak::strikeNodesInSeries(MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    co_await pause(draws.between(300, 3000));
    Node& node = *nodes_[draws.pick(nodes_.size())];
    const std::size_t kind = draws.pick(8);
    if (kind == 0) {
      asio::co_spawn(context_, rollOverAll(draws.split()), asio::detached);
    } else if (kind < 4) {
      asio::co_spawn(context_, reloadInSeries(node), asio::detached);
    } else if (node.stopping) {
      continue;
    } else if (kind < 6) {
      countFault("node stopped", node.name);
      asio::co_spawn(context_, stopAndStart(node), asio::detached);
      co_await pause(draws.between(0, 1500));
      if (node.told && node.process->running()) {
        node.process->signal(SIGHUP);
      }
    } else {
      asio::co_spawn(context_, killOneByOne(draws.split()), asio::detached);
    }
  }
}

awaitable<void> GatewaySoak::callBesideSilences(std::string kind) {
  ++outstanding_;
  ++findings_.requests;
  SilencesCall call;
  call.id = "s" + std::to_string(++nextRequest_);
  call.kind = kind;
  call.expected = wholeAnswer(kind, call.id);
  call.deadline = between(kShortestDeadlineMs, kLongestDeadlineMs);
  const std::string path = "/" + kind + "/a";
  http::Request request =
      isStream(kind) ? GatewayFixture::modelRequest(path) : GatewayFixture::request(path);
  request.headers.set(platform::kRequestId, call.id);
  request.headers.set(platform::kDeadline, std::to_string(call.deadline.count()));
  if (kind == "once" || kind == "stream-once") {
    once_.insert(call.id);
  }
  const Node& node = *nodes_[pick(nodes_.size())];
  call.node = node.name;
  const Endpoint target = node.listen;
  const auto canceller = std::make_shared<http::ExchangeCanceller>();
  http::ExchangeOptions options;
  // Half of the callers keep their connections, for as long as the node's process has them open.
  options.connection = pick(2) == 0 ? http::ConnectionUse::kFresh : http::ConnectionUse::kPooled;
  options.connectTimeout = Milliseconds(500);
  options.headerTimeout = call.deadline + kBeyondDeadline;
  options.bodyTimeout = options.headerTimeout;
  options.canceller = canceller.get();
  auto leave = std::make_shared<asio::steady_timer>(context_, between(5, 1500));
  if (pick(kCallsALeave) == 0) {
    leave->async_wait([canceller, leave](boost::system::error_code code) {
      if (!code) {
        canceller->cancel();
      }
    });
  }
  call.sentAt = monotonicNow();
  sendings_[call.id] = {&node, call.sentAt};
  auto opened = co_await client_.open(target, std::move(request), options);
  if (opened) {
    co_await readAnswer(*opened.value(), call);
  } else {
    call.unsent = opened.error().kind == ErrorKind::kConnectFailed;
    call.detail = opened.error().detail;
  }
  leave->cancel();
  call.endedAt = monotonicNow();
  call.left = canceller->cancelled();
  call.routeMayBeGone = kind == "fleeting" &&
                        (!hasFleetingRoute_ || call.sentAt - fleetingChangedAt_ < kRouteSettles);
  judgeBesideSilences(call);
  --outstanding_;
}

awaitable<void> GatewaySoak::readAnswer(http::ResponseStream& answer, SilencesCall& call) {
  call.status = answer.head().status;
  call.sealed = answer.head().headers.get(platform::kSeal) == "seal";
  while (!call.complete) {
    Result<http::BodyPiece> piece = co_await answer.read();
    if (!piece) {
      call.detail = piece.error().detail;
      co_return;
    }
    call.body += piece.value().bytes;
    call.complete = piece.value().end == http::BodyEnd::kFramed;
    if (piece.value().end && !call.complete) {
      call.detail = "the body has no end of its own";
      co_return;
    }
  }
}

void GatewaySoak::judgeBesideSilences(const SilencesCall& call) {
  const bool promise =
      call.status == 503 || call.status == 429 || call.status == 408 || call.status == 421;
  if (call.complete && promise && once_.contains(call.id)) {
    promisedNotRun_.insert(call.id);
  }
  findings_.served += call.complete && call.status == 200 ? 1 : 0;
  record_.note("end of " + call.id + " at " + call.node + ": " + std::to_string(call.status) +
               (call.complete ? "" : ", incomplete: " + call.detail));
  if (const std::optional<std::string> wrong = silences_.judge(call)) {
    violate(*wrong + (call.status == 200 ? "" : ": " + call.body));
  }
}

awaitable<void> GatewaySoak::callersBesideSilences() {
  const std::vector<std::string> kinds{"safe",   "once",        "open",          "fleeting",
                                       "stream", "stream-once", "stream-patient"};
  while (!ended_) {
    asio::co_spawn(context_, callBesideSilences(kinds[pick(kinds.size())]), asio::detached);
    co_await pause(kCallInterval);
  }
}

awaitable<void> GatewaySoak::stormWithSilences() {
  const MonotonicTime end = monotonicNow() + length_;
  silences_.timeoutSet(routeTimeout_, monotonicNow());
  for (const std::unique_ptr<Server>& server : servers_) {
    asio::co_spawn(context_, standStillInSeries(*server, end, schedule_.split()), asio::detached);
  }
  asio::co_spawn(context_, endServersInSeries(end, schedule_.split()), asio::detached);
  asio::co_spawn(context_, changeInSeries(end, schedule_.split()), asio::detached);
  asio::co_spawn(context_, strikeNodesInSeries(end, schedule_.split()), asio::detached);
  co_await pause(length_);
}

}  // namespace calicodrift::testing
