// Notices of servers over a relay tree of nodes on loopback: how soon all nodes know them, and
// compatibility with nodes of an earlier build.

#include "server_limits/notice_exchange.h"

#include <prometheus/registry.h>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "http/server.h"
#include "log/log.h"
#include "peer/codec.h"
#include "peer/http_call.h"

namespace calicodrift::server_limits {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

const fleet::ServerKey kRun(77);

/// A node; its place in the tree is set before it starts.
struct TreeNode {
  explicit TreeNode(asio::io_context& context)
      : client(context.get_executor()),
        server(context.get_executor(), http::ServerLimits{},
               [this](http::Request& request, http::ResponseWriter& writer) {
                 return answer(request, writer);
               }),
        endpoint(server.listen({"127.0.0.1", 0}).value()) {}

  awaitable<void> answer(http::Request& request, http::ResponseWriter& writer) {
    co_await peer::answerPeer<LimitReport, LimitReport>(
        request, writer,
        [this](LimitReport report) { return exchange->handleReport(std::move(report)); });
  }
  void start(asio::io_context& context) {
    relay::TreePosition tree{endpoint,
                             [this] { return parent; },
                             [this] { return children; },
                             [this] { return roots; },
                             [this] { return !parent.has_value(); },
                             [] { return false; }};
    exchange = std::make_unique<NoticeExchange>(
        NoticeExchangeContext{context.get_executor(),
                              client,
                              std::move(tree),
                              pool,
                              {"t"},
                              "t",
                              nullptr,
                              [](const LimitRecord&) {},
                              [](fleet::ServerKey, Milliseconds) { return true; }},
        limits, refusalLimits, metrics);
  }
  bool knows() const { return pool.leaving().contains(kRun); }

  http::Client client;
  http::Server server;
  Endpoint endpoint;
  std::optional<Endpoint> parent;
  std::vector<Endpoint> children;
  /// Other roots, if this node is one.
  std::vector<Endpoint> roots;
  fleet::ServerPool pool{40, [](const fleet::Server&, fleet::ServerLoss) {}};
  prometheus::Registry registry;
  ServerLimitMetrics metrics{registry};
  LimitTable limits;
  RefusalLimits refusalLimits;
  std::unique_ptr<NoticeExchange> exchange;
};

/// Two roots, and each other node below the first one with room for it.
class NodeTree {
 public:
  NodeTree(std::size_t count, std::size_t fanOut) {
    log::silence();
    for (std::size_t number = 0; number < count; ++number) {
      nodes.push_back(std::make_unique<TreeNode>(context));
    }
    nodes[0]->roots = {nodes[1]->endpoint};
    nodes[1]->roots = {nodes[0]->endpoint};
    for (std::size_t number = 2; number < count; ++number) {
      TreeNode& parentNode = *nodes[(number - 2) / fanOut];
      nodes[number]->parent = parentNode.endpoint;
      parentNode.children.push_back(nodes[number]->endpoint);
    }
    for (const auto& node : nodes) {
      node->start(context);
    }
  }

  /// Lets node `first` receive the notice from the server. Returns the time until all nodes know
  /// it.
  Milliseconds timeUntilAllKnow(std::size_t first) {
    const MonotonicTime begin = monotonicNow();
    nodes[first]->pool.recordLeaving(kRun, begin);
    nodes[first]->exchange->announceLeaving();
    const auto allKnow = [this] {
      return std::all_of(nodes.begin(), nodes.end(),
                         [](const auto& node) { return node->knows(); });
    };
    while (!allKnow() && monotonicNow() - begin < std::chrono::seconds(10)) {
      context.restart();
      context.run_for(Milliseconds(1));
    }
    BOOST_TEST(allKnow());
    return std::chrono::ceil<Milliseconds>(monotonicNow() - begin);
  }

  asio::io_context context;
  std::vector<std::unique_ptr<TreeNode>> nodes;
};

BOOST_AUTO_TEST_SUITE(notice_exchange)

BOOST_AUTO_TEST_CASE(sevenNodesKnowWithinHalfASecond) {
  NodeTree tree(7, 20);
  const Milliseconds took = tree.timeUntilAllKnow(6);
  BOOST_TEST_MESSAGE("7 nodes: " << took.count() << " ms");
  BOOST_TEST((took <= Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(threeHundredNodesKnowWithinASecond) {
  NodeTree tree(300, 20);
  const Milliseconds took = tree.timeUntilAllKnow(299);
  BOOST_TEST_MESSAGE("300 nodes: " << took.count() << " ms");
  BOOST_TEST((took <= Milliseconds(1000)));
}

/// A starting node asks its parent for the full state.
BOOST_AUTO_TEST_CASE(newNeighbourReceivesEverything) {
  NodeTree tree(4, 20);
  tree.nodes[0]->pool.recordLeaving(kRun, monotonicNow());
  asio::co_spawn(tree.context, tree.nodes[2]->exchange->update(), asio::detached);
  tree.context.run_for(Milliseconds(300));
  BOOST_TEST(tree.nodes[2]->knows());
  BOOST_TEST(tree.nodes[2]->exchange->settled());
}

/// Reports as read and written by builds that do not know of leaving servers.
struct ReportFormat1 {
  std::uint32_t form = 1;
  std::string sender;
  bool fresh = false;
  std::uint32_t waitMs = 0;
  std::vector<LimitRecord> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, sender, fresh, waitMs, records);
  }
};

BOOST_AUTO_TEST_CASE(formsOfBothBuildsAreReadByBoth) {
  LimitReport report;
  report.sender = "10.0.0.1:7340";
  report.records = {{fleet::ServerKey(7), LimitVersion(3), true, 0.25}};
  report.leaving = {kRun};
  const Result<ReportFormat1> old = peer::decode<ReportFormat1>(peer::encode(report));
  BOOST_REQUIRE(static_cast<bool>(old));
  BOOST_TEST(old.value().sender == report.sender);
  BOOST_TEST((old.value().records == report.records));
  ReportFormat1 sent;
  sent.sender = "10.0.0.2:7340";
  sent.records = report.records;
  const Result<LimitReport> read = peer::decode<LimitReport>(peer::encode(sent));
  BOOST_REQUIRE(static_cast<bool>(read));
  BOOST_TEST((read.value().records == sent.records));
  BOOST_TEST(read.value().leaving.empty());
  BOOST_TEST(read.value().full.empty());
  report.full = {{kRun, 400}};
  const LimitReport whole = peer::decode<LimitReport>(peer::encode(report)).value();
  BOOST_TEST((whole.full.size() == 1 && whole.full.front().remainingMs == 400U));
  // Builds of form 2 pass over what follows the leaving servers.
  BOOST_TEST((peer::decode<ReportFormat1>(peer::encode(report)).value().records == report.records));
  BOOST_TEST((peer::decode<LimitReport>(peer::encode(report)).value().leaving == report.leaving));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
