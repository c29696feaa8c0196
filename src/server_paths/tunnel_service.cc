#include "server_paths/tunnel_service.h"

#include <charconv>

#include "http/status.h"
#include "log/log.h"
#include "peer/http_call.h"

namespace calicodrift::server_paths {

using boost::asio::awaitable;

namespace {

/// Counts one for as long as it lives.
class OpenGuard {
 public:
  explicit OpenGuard(std::shared_ptr<std::size_t> count) : count_(std::move(count)) { ++*count_; }
  ~OpenGuard() { --*count_; }
  OpenGuard(const OpenGuard&) = delete;
  OpenGuard& operator=(const OpenGuard&) = delete;

 private:
  std::shared_ptr<std::size_t> count_;
};

/// Empty for nodes of builds that send none.
std::optional<http::TunnelId> tunnelIdOf(const http::Request& request) {
  const std::string text = request.headers.get(http::kTunnelIdHeader);
  std::uint64_t id = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), id);
  const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
  return whole ? std::optional(http::TunnelId(id)) : std::nullopt;
}

}  // namespace

TunnelService::Refusal TunnelService::checkRequest(const Result<Endpoint>& endpoint) const {
  if (!endpoint) {
    return {http::kStatusBadRequest, "malformed"};
  }
  if (!context_.isListed(endpoint.value())) {
    return {http::kStatusForbidden, "not_listed"};
  }
  if (draining_) {
    return {http::kStatusUnavailable, "draining"};
  }
  if (*open_ >= settings_.maxOpen) {
    return {http::kStatusUnavailable, "full"};
  }
  if (context_.isLost(endpoint.value())) {
    return {http::kStatusUnavailable, "path_lost"};
  }
  return {};
}

awaitable<void> TunnelService::refuse(http::ResponseWriter& writer, Refusal refusal) {
  context_.metrics.countTunnel(refusal.cause);
  http::Response response = http::textResponse(refusal.status, std::string(refusal.cause) + "\n");
  if (refusal.status == http::kStatusBadGateway) {
    response.headers.set(http::kConnectErrorHeader, std::string(refusal.cause));
  }
  co_await http::respond(writer, std::move(response));
}

awaitable<void> TunnelService::handleConnect(http::Request& request, http::ResponseWriter& writer) {
  const Result<Endpoint> endpoint = parseEndpoint(request.target);
  const Refusal refusal = checkRequest(endpoint);
  if (refusal.status != 0) {
    co_await refuse(writer, refusal);
    co_return;
  }
  const OpenGuard counted(open_);
  http::ConnectOptions options;
  // Only a new connection shows that the server can be reached now.
  options.use = http::ConnectionUse::kFresh;
  options.timeout = settings_.connectTimeout;
  Result<http::ClientConnection> server =
      co_await context_.client.connect(http::ConnectionPath(endpoint.value()), options);
  if (!server) {
    const bool refused = server.error().reason == http::kConnectionRefused;
    const Refusal unreachable{http::kStatusBadGateway,
                              refused ? http::kConnectionRefused : http::kUnreachableFromProxy};
    co_await refuse(writer, unreachable);
    co_return;
  }
  context_.metrics.countTunnel("opened");
  http::TunnelOptions tunnel;
  tunnel.idleTimeout = settings_.idleTimeout;
  if (const std::optional<http::TunnelId> id = tunnelIdOf(request)) {
    tunnel.onServerEnd = [ends = ends_, id = *id] { ends->record(id, monotonicNow()); };
  }
  const Result<http::TunnelTotals> passed =
      co_await writer.tunnel(std::move(server.value()), std::move(tunnel));
  if (!passed) {
    log::write(log::Level::kInfo, "tunnel_failed",
               {{"server", endpoint.value().toString()}, {"cause", passed.error().detail}});
    co_return;
  }
  context_.metrics.addTunnelBytes(
      static_cast<double>(passed.value().fromCaller + passed.value().fromServer));
}

awaitable<void> TunnelService::answerStatus(http::Request& request, http::ResponseWriter& writer) {
  co_await peer::answerPeer<TunnelStatusQuery, TunnelStatus>(
      request, writer, [this](const TunnelStatusQuery& /*query*/) -> awaitable<TunnelStatus> {
        TunnelStatus status;
        status.accepts = !draining_;
        status.openTunnels = static_cast<std::uint32_t>(*open_);
        status.neighbours = context_.neighbours();
        co_return status;
      });
}

awaitable<void> TunnelService::answerEnd(http::Request& request, http::ResponseWriter& writer) {
  co_await peer::answerPeer<TunnelEndQuery, TunnelEnd>(
      request, writer, [this](const TunnelEndQuery& query) -> awaitable<TunnelEnd> {
        co_return TunnelEnd{ends_->endedByServer(http::TunnelId(query.tunnel), monotonicNow())};
      });
}

}  // namespace calicodrift::server_paths
