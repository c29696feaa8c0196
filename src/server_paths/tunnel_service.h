#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "server_paths/messages.h"
#include "server_paths/metrics.h"
#include "server_paths/tunnel_ends.h"

namespace calicodrift::server_paths {

struct TunnelSettings {
  /// Tunnels that may be open at a time; each holds two descriptors and two pieces of 8 KB.
  std::size_t maxOpen = 256;
  Milliseconds connectTimeout{120};
  /// Longer than servers and clients keep idle connections.
  Milliseconds idleTimeout{40'000};
};

/// Dependencies of TunnelService; they outlive it and run on its thread.
struct TunnelContext {
  http::Client& client;
  ServerPathMetrics& metrics;
  /// Whether tunnels to this endpoint are opened at all: listed servers and cache stores.
  std::function<bool(const Endpoint&)> isListed;
  /// Whether this node's own direct path to the endpoint is known to be lost.
  std::function<bool(const Endpoint&)> isLost;
  /// Nodes that this one knows from its place in the relay tree.
  std::function<std::vector<Endpoint>()> neighbours;
};

/// Opens tunnels to servers for other nodes, always over a direct connection of this node, so that
/// a call passes through at most one other node.
///
/// The port is for nodes: like all messages between nodes, requests for tunnels carry no
/// authentication. A tunnel leads only to listed servers and cache stores.
class TunnelService {
 public:
  TunnelService(TunnelContext context, TunnelSettings settings)
      : context_(std::move(context)), settings_(settings) {}

  /// Answers CONNECT. 403: the endpoint is not listed; 503: no tunnel to it now; 502: it cannot be
  /// reached, with the cause in http::kConnectErrorHeader.
  boost::asio::awaitable<void> handleConnect(http::Request& request, http::ResponseWriter& writer);
  /// Answers TunnelStatusQuery.
  boost::asio::awaitable<void> answerStatus(http::Request& request, http::ResponseWriter& writer);
  /// Answers TunnelEndQuery.
  boost::asio::awaitable<void> answerEnd(http::Request& request, http::ResponseWriter& writer);
  /// Declines new tunnels; open ones go on.
  void drain() { draining_ = true; }
  std::size_t open() const { return *open_; }

 private:
  /// Why no tunnel to the endpoint is opened; status 0 if one may be.
  struct Refusal {
    unsigned status = 0;
    std::string_view cause;
  };
  Refusal checkRequest(const Result<Endpoint>& endpoint) const;
  boost::asio::awaitable<void> refuse(http::ResponseWriter& writer, Refusal refusal);

  TunnelContext context_;
  TunnelSettings settings_;
  /// Shared with the tunnels, which a stopped event loop destroys after the service.
  std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
  std::shared_ptr<TunnelEnds> ends_ = std::make_shared<TunnelEnds>();
  bool draining_ = false;
};

}  // namespace calicodrift::server_paths
