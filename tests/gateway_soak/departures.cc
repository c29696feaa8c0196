// Callers that leave while their requests wait, beside servers that name limits, herds of nodes
// that are killed, and nodes that stand still. What reaches a server long after its caller has
// left, and how long servers work for it, is judged at nodes that have been free of faults for
// long.

#include "gateway_soak.h"
#include "support/arrival_windows.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using Tcp = asio::ip::tcp;

/// The users' bound for requests that reach servers, and for work, after a close.
constexpr Milliseconds kAllowedAfterClose{500};
/// What the nodes aim at.
constexpr Milliseconds kAimedAfterClose{50};
constexpr Milliseconds kCallInterval{8};
constexpr Milliseconds kPatience{1500};
/// Of each model server.
constexpr double kLimitPerSecond = 15;
/// All nodes in touch know of the limits, and go by them, so long after they were named.
constexpr Milliseconds kUntilSpared{3000};

std::string textOf(const http::Request& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const http::Header& header : request.headers.all()) {
    text += header.name + ": " + header.value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
         request.body;
}

Milliseconds since(MonotonicTime begin) {
  return std::chrono::floor<Milliseconds>(monotonicNow() - begin);
}

}  // namespace

/// The run of a request whose caller may leave.
awaitable<void> GatewaySoak::runForLeavingCaller(Server& server, const http::Request& request,
                                                 http::ResponseWriter& writer) {
  const std::string id = request.headers.get(platform::kRequestId);
  noteSpared(server, id);
  ++runs_[id];
  record_.note("runs " + id + " at " + server.server->id());
  const auto departed = departures_.find(id);
  if (departed != departures_.end()) {
    const Milliseconds late = since(departed->second);
    ++(late > kAimedAfterClose + longestTurn_ ? findings_.lateArrivals : findings_.promptArrivals);
    if (late > kAllowedAfterClose + longestTurn_ && sentCalmly(id)) {
      violate(id + " reached " + server.server->id() + " " + std::to_string(late.count()) +
              " ms after its caller had left");
    }
  }
  const auto timer = std::make_shared<asio::steady_timer>(context_, between(300, 1200));
  writer.onCallerGone([timer] { timer->cancel(); });
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  const auto left = departures_.find(id);
  if (left != departures_.end()) {
    ++findings_.judgedDepartures;
    const Milliseconds worked = since(left->second);
    if (worked > kAllowedAfterClose + longestTurn_ && sentCalmly(id)) {
      violate(server.server->id() + " worked on " + id + " for " + std::to_string(worked.count()) +
              " ms after its caller had left");
    }
  }
  if (request.path().starts_with("/stream")) {
    co_await ServerStandIn::streamEvents(request, writer, 1, 2);
    static_cast<void>(co_await writer.endStream());
    co_return;
  }
  co_await http::respond(writer, ServerStandIn::sealed(request, 200, "run " + id));
}

awaitable<void> GatewaySoak::callAndLeave(std::string kind, bool leaves) {
  ++outstanding_;
  ++findings_.requests;
  const std::string id = "q" + std::to_string(++nextRequest_);
  const std::string path = "/" + kind + "/a";
  http::Request request =
      kind == "stream" ? GatewayFixture::modelRequest(path) : GatewayFixture::request(path);
  request.headers.set(platform::kRequestId, id);
  request.headers.set(platform::kDeadline, "2500");
  request.method = "POST";
  const Node& node = *nodes_[pick(nodes_.size())];
  sendings_[id] = {&node, monotonicNow()};
  Tcp::socket socket(context_);
  const Tcp::endpoint address(asio::ip::make_address(node.listen.address), node.listen.port);
  const bool resets = pick(2) == 0;
  const Milliseconds leavesAfter = pick(8) == 0 ? Milliseconds(0) : between(50, 300);
  const std::string text = textOf(request) + (pick(4) == 0 ? std::string(20'000, 'x') : "");
  auto [connectCode] = co_await socket.async_connect(address, asio::as_tuple(asio::use_awaitable));
  if (!connectCode) {
    auto [writeCode, written] =
        co_await asio::async_write(socket, asio::buffer(text), asio::as_tuple(asio::use_awaitable));
    const bool answered = !leaves && !writeCode && co_await awaitSuccess(socket);
    findings_.served += answered ? 1 : 0;
    if (leaves) {
      co_await pause(leavesAfter);
      departures_[id] = monotonicNow();
      record_.note("caller of " + id + " leaves " + node.name);
    }
    boost::system::error_code ignored;
    if (resets) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
  }
  --outstanding_;
}

/// Whether a success comes in time.
awaitable<bool> GatewaySoak::awaitSuccess(Tcp::socket& socket) {
  asio::steady_timer timer(context_, kPatience);
  timer.async_wait([&socket](boost::system::error_code code) {
    if (!code) {
      socket.cancel();
    }
  });
  std::array<char, 12> status{};
  auto [code, count] =
      co_await asio::async_read(socket, asio::buffer(status), asio::as_tuple(asio::use_awaitable));
  timer.cancel();
  co_return std::string_view(status.data(), count).ends_with(" 200");
}

awaitable<void> GatewaySoak::callersThatLeave() {
  asio::co_spawn(context_, watchTurns(), asio::detached);
  while (!ended_) {
    const std::string kind = pick(3) == 0 ? "safe" : "stream";
    asio::co_spawn(context_, callAndLeave(kind, pick(5) > 0), asio::detached);
    co_await pause(kCallInterval);
  }
}

/// The soak's own loop reads arrivals and closes late by its turns.
awaitable<void> GatewaySoak::watchTurns() {
  MonotonicTime last = monotonicNow();
  while (!ended_) {
    co_await pause(Milliseconds(2));
    longestTurn_ = std::max(longestTurn_, since(last));
    last = monotonicNow();
  }
}

/// Kills most nodes at once, so that all that waits for a root waits.
awaitable<void> GatewaySoak::killHerds(MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    co_await pause(draws.between(3000, 6000));
    countFault("herd killed");
    for (const std::unique_ptr<Node>& node : nodes_) {
      if (draws.pick(5) < 3 && !node->stopping) {
        node->stopping = true;
        asio::co_spawn(context_, killOne(*node, draws.between(100, 600)), asio::detached);
      }
    }
  }
}

awaitable<void> GatewaySoak::killOne(Node& node, Milliseconds away) {
  const FaultSpan span(node.faults);
  killNode(node);
  co_await pause(away);
  startNode(node);
}

/// Stands nodes still for a moment, so that they find requests and closes together.
awaitable<void> GatewaySoak::pauseNodes(MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    co_await pause(draws.between(100, 600));
    Node& node = *nodes_[draws.pick(nodes_.size())];
    if (node.stopping) {
      continue;
    }
    countFault("node paused", node.name);
    node.stopping = true;
    const FaultSpan span(node.faults);
    node.process->signal(SIGSTOP);
    co_await pause(draws.between(50, 500));
    node.process->signal(SIGCONT);
    node.stopping = false;
  }
}

awaitable<void> GatewaySoak::stormWithDepartures() {
  const MonotonicTime end = monotonicNow() + length_;
  const std::vector<Server*> limited = serversOf("llm", "v1");
  for (Server* server : limited) {
    countFault("server named a limit");
    server->server->namedLimits = {std::to_string(kLimitPerSecond)};
    server->sparedSince = monotonicNow() + kUntilSpared;
  }
  asio::co_spawn(context_, killHerds(end, schedule_.split()), asio::detached);
  asio::co_spawn(context_, pauseNodes(end, schedule_.split()), asio::detached);
  co_await pause(length_);
  for (Server* server : limited) {
    const std::size_t worst = mostInAnyWindow(server->calmArrivals);
    if (static_cast<double>(worst) > kAllowedArrivals.at(kLimitPerSecond)) {
      violate(server->server->id() + " got " + std::to_string(worst) +
              " requests in 4 s from nodes free of faults");
    }
  }
}

}  // namespace calicodrift::testing
