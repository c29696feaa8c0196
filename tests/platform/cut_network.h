#pragma once

#include <map>
#include <memory>
#include <utility>

#include "gateway_fleet.h"
#include "sim/fault_proxy.h"
#include "support/hanging_listener.h"

namespace calicodrift::testing {

/// How the path from a node to a server is cut.
enum class Cut {
  kNone,
  /// Open connections fall silent, and new ones hang.
  kSilent,
  /// Open connections are reset, and new ones are refused.
  kReset,
  /// Open connections go on, and new ones are refused.
  kHalfOpen,
  /// Open connections go on, and new ones hang.
  kHalfOpenHanging,
  /// What the node sends is lost, and new connections hang.
  kRequestsLost,
  /// What the server sends is lost, and new connections hang.
  kAnswersLost,
};

/// The paths from the nodes of a fleet to its servers. Each has a proxy of its own, so that a test
/// cuts them one by one; paths between nodes, and to the store, stay as they are.
class CutNetwork {
 public:
  explicit CutNetwork(GatewayFleet& fleet)
      : fleet_(fleet), hanging_(fleet.context), closed_(closedEndpoint()) {
    fleet_.addressOf = [this](std::size_t node, const Endpoint& endpoint) {
      return addressOf(node, endpoint);
    };
  }

  void cut(std::size_t node, const ServerStandIn& server, Cut kind) {
    Path& path = pathOf(node, server.endpoint());
    path.cut = kind;
    sim::ProxyFaults faults;
    faults.refuse = kind == Cut::kReset;
    faults.freeze = kind == Cut::kSilent;
    faults.swallowRequests = kind == Cut::kRequestsLost;
    faults.swallowAnswers = kind == Cut::kAnswersLost;
    path.proxy->apply(faults);
  }
  void cutAll(std::size_t node, Cut kind) {
    for (const auto& server : fleet_.servers) {
      cut(node, *server, kind);
    }
  }

 private:
  struct Path {
    std::unique_ptr<sim::FaultProxy> proxy;
    Endpoint endpoint;
    Cut cut = Cut::kNone;
  };

  bool isServer(const Endpoint& endpoint) const {
    return std::any_of(fleet_.servers.begin(), fleet_.servers.end(),
                       [&](const auto& server) { return server->endpoint() == endpoint; });
  }
  Path& pathOf(std::size_t node, const Endpoint& server) {
    Path& path = paths_[{node, server}];
    if (!path.proxy) {
      path.proxy = std::make_unique<sim::FaultProxy>(fleet_.context, server);
      path.endpoint = path.proxy->listen({"127.0.0.1", 0}).value();
    }
    return path;
  }
  Endpoint addressOf(std::size_t node, const Endpoint& endpoint) {
    if (!isServer(endpoint)) {
      return endpoint;
    }
    const Path& path = pathOf(node, endpoint);
    switch (path.cut) {
      case Cut::kNone:
        return path.endpoint;
      case Cut::kReset:
      case Cut::kHalfOpen:
        return closed_;
      default:
        return hanging_.endpoint();
    }
  }
  /// Nothing listens there: the port is bound and does not accept.
  Endpoint closedEndpoint() {
    closedSocket_.open(boost::asio::ip::tcp::v4());
    closedSocket_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", closedSocket_.local_endpoint().port()};
  }

  GatewayFleet& fleet_;
  HangingListener hanging_;
  boost::asio::ip::tcp::acceptor closedSocket_{fleet_.context};
  Endpoint closed_;
  std::map<std::pair<std::size_t, Endpoint>, Path> paths_;
};

}  // namespace calicodrift::testing
