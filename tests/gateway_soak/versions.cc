// Servers of several software versions side by side, replaced one by one, beside all other faults.
// Callers whose streams break come back at other nodes, and judge that all events of a stream come
// from one version.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr unsigned kLastEvent = 20;
constexpr Milliseconds kEventGap{20};
/// What a caller waits for a stream, its returns included.
constexpr Milliseconds kPatience{4000};
constexpr std::size_t kMostTries = 4;
/// Servers of each version, so that the rest of a stream has where to go.
constexpr std::size_t kServersOfAVersion = 2;
constexpr std::string_view kShowVersion = "X-Show-Version";

/// The events of a stream that a caller has got over its tries.
struct Received {
  unsigned last = 0;
  std::set<std::string> versions;
  bool inOrder = true;

  /// Takes the whole events out of the text.
  void take(std::string& text) {
    for (std::size_t end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
      std::istringstream event(text.substr(0, end));
      text.erase(0, end + 2);
      std::string idField;
      std::string dataField;
      std::string version;
      unsigned number = 0;
      event >> idField >> number >> dataField >> version;
      inOrder = inOrder && number == last + 1;
      last = number;
      versions.insert(version);
    }
  }
};

}  // namespace

bool GatewaySoak::showsVersion(const http::Request& request) {
  return request.headers.find(kShowVersion).has_value();
}

awaitable<void> GatewaySoak::streamWithVersion(const Server& server, const http::Request& request,
                                               http::ResponseWriter& writer) {
  const unsigned start = server.server->starts();
  const std::string after = request.headers.get(platform::kLastEventId);
  const unsigned first = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
  http::Response head = ServerStandIn::sealed(request, 200, "");
  head.headers.set("Content-Type", "text/event-stream");
  static_cast<void>(co_await writer.startStream(std::move(head)));
  const unsigned breaksAfter = pick(4) == 0 ? first + static_cast<unsigned>(pick(kLastEvent)) : 0;
  for (unsigned number = first; number <= kLastEvent && !writer.callerGone(); ++number) {
    const std::string event =
        "id: " + std::to_string(number) + "\ndata: " + server.version + "\n\n";
    static_cast<void>(co_await writer.writeChunk(event));
    co_await pause(kEventGap);
    if (number == breaksAfter || server.server->starts() != start) {
      writer.abort();
      co_return;
    }
  }
  static_cast<void>(co_await writer.endStream());
}

/// One stream with its returns; each try goes to another node.
awaitable<void> GatewaySoak::callWithReturns() {
  ++outstanding_;
  ++findings_.requests;
  const MonotonicTime deadline = monotonicNow() + kPatience;
  const std::string name = "v" + std::to_string(++nextRequest_);
  Received received;
  std::string began;
  bool whole = false;
  for (std::size_t number = 0; number < kMostTries && !whole; ++number) {
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - monotonicNow());
    if (left < kEventGap) {
      break;
    }
    const std::string id = name + "-" + std::to_string(number);
    http::Request request = GatewayFixture::modelRequest("/stream/a");
    request.headers.set(platform::kRequestId, id);
    request.headers.set(platform::kKey, withdrawnAt_ ? "k2" : "k1");
    request.headers.set(platform::kDeadline, std::to_string(left.count()));
    request.headers.set(kShowVersion, "1");
    const bool returns = received.last > 0;
    if (returns) {
      request.headers.set(platform::kResumes, began);
      request.headers.set(platform::kLastEventId, std::to_string(received.last));
    }
    ++(returns ? findings_.returns : findings_.begins);
    const unsigned before = received.last;
    const Node& node = *nodes_[pick(nodes_.size())];
    sendings_[id] = {&node, monotonicNow()};
    http::ExchangeOptions options;
    options.connection = http::ConnectionUse::kFresh;
    options.connectTimeout = Milliseconds(500);
    options.headerTimeout = left;
    options.bodyTimeout = left;
    auto opened = co_await client_.open(node.listen, std::move(request), options);
    const bool streams = opened && opened.value()->head().status == 200;
    std::string text;
    while (streams && !whole) {
      Result<http::BodyPiece> piece = co_await opened.value()->read();
      if (!piece) {
        break;
      }
      text += piece.value().bytes;
      received.take(text);
      whole = piece.value().end.has_value();
    }
    if (received.last > 0 && began.empty()) {
      began = id;
    }
    if (received.last > before) {
      ++(returns ? findings_.returnsThatWentOn : findings_.beginsThatBegan);
    }
    co_await pause(between(5, 200));
  }
  findings_.served += whole ? 1 : 0;
  if (received.versions.size() > 1) {
    violate(name + " holds events of " + std::to_string(received.versions.size()) + " versions");
  }
  if (!received.inOrder || (whole && received.last != kLastEvent)) {
    violate(name + " is out of order or short: last " + std::to_string(received.last));
  }
  --outstanding_;
}

awaitable<void> GatewaySoak::streamsWithReturns() {
  while (!ended_) {
    asio::co_spawn(context_, callWithReturns(), asio::detached);
    // Few enough that the tenant's limit bears them beside the other callers.
    co_await pause(Milliseconds(100));
  }
}

void GatewaySoak::addVersion(const std::string& version) {
  for (std::size_t number = 0; number < kServersOfAVersion; ++number) {
    const std::string id = "llm-" + version + "-" + std::to_string(++nextServer_);
    addServer(id, "llm", "m", version, Behaviour());
    servers_.back()->server->setWeights(weights_);
    publish(*servers_.back());
  }
}

/// New servers start first, of the version that is there or of the next one; then old ones leave.
awaitable<void> GatewaySoak::releaseInSeries(MonotonicTime end, Draws draws) {
  unsigned minor = 1;
  while (monotonicNow() < end) {
    countFault("servers replaced");
    minor += draws.pick(2) == 0 ? 1U : 0U;
    addVersion("v1." + std::to_string(minor));
    co_await pause(draws.between(1000, 4000));
    std::vector<Server*> serving;
    for (const std::unique_ptr<Server>& server : servers_) {
      if (server->service == "llm" && server->state == "ready") {
        serving.push_back(server.get());
      }
    }
    for (std::size_t number = 0; number + 2 * kServersOfAVersion < serving.size(); ++number) {
      Server& leaving = *serving[number];
      leaving.state = "draining";
      publish(leaving);
      co_await pause(draws.between(500, 2500));
      co_await stopServer(leaving);
    }
  }
}

awaitable<void> GatewaySoak::stormWithVersions() {
  const MonotonicTime end = monotonicNow() + length_;
  addVersion("v1.1");
  asio::co_spawn(context_, streamsWithReturns(), asio::detached);
  asio::co_spawn(context_, releaseInSeries(end, schedule_.split()), asio::detached);
  co_await stormAndCalm();
}

}  // namespace calicodrift::testing
