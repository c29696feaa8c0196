// News of servers over a tree of nodes that talk over loopback: how soon all know, and what a node
// of an earlier build reads.

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

/// One node: its place in the tree is set before it starts.
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
        [this](LimitReport report) { return exchange->takeReport(std::move(report)); });
  }
  void start(asio::io_context& context) {
    relay::TreePlace tree{endpoint,
                          [this] { return parent; },
                          [this] { return children; },
                          [this] { return roots; },
                          [this] { return !parent.has_value(); },
                          [] { return false; }};
    exchange = std::make_unique<NoticeExchange>(NoticeExchangeContext{context.get_executor(),
                                                                      client,
                                                                      std::move(tree),
                                                                      pool,
                                                                      {"t"},
                                                                      "t",
                                                                      nullptr,
                                                                      [](const LimitFact&) {}},
                                                limits, metrics);
  }
  bool knows() const { return pool.leaving().contains(kRun); }

  http::Client client;
  http::Server server;
  Endpoint endpoint;
  std::optional<Endpoint> parent;
  std::vector<Endpoint> children;
  /// The other roots, where it is one.
  std::vector<Endpoint> roots;
  fleet::ServerPool pool{40, [](const fleet::Server&, fleet::ServerLoss) {}};
  prometheus::Registry registry;
  ServerLimitMetrics metrics{registry};
  LimitTable limits;
  std::unique_ptr<NoticeExchange> exchange;
};

/// Two roots, and each other node below the first with room for it.
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
      TreeNode& above = *nodes[(number - 2) / fanOut];
      nodes[number]->parent = above.endpoint;
      above.children.push_back(nodes[number]->endpoint);
    }
    for (const auto& node : nodes) {
      node->start(context);
    }
  }

  /// The node hears it from the server. Gives how long it takes until all know.
  Milliseconds timeUntilAllKnow(std::size_t first) {
    const MonotonicTime begin = monotonicNow();
    nodes[first]->pool.noteLeaving(kRun, begin);
    nodes[first]->exchange->tellLeaving();
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

/// A node that starts asks its parent for everything.
BOOST_AUTO_TEST_CASE(newNeighbourIsToldEverything) {
  NodeTree tree(4, 20);
  tree.nodes[0]->pool.noteLeaving(kRun, monotonicNow());
  asio::co_spawn(tree.context, tree.nodes[2]->exchange->update(), asio::detached);
  tree.context.run_for(Milliseconds(300));
  BOOST_TEST(tree.nodes[2]->knows());
  BOOST_TEST(tree.nodes[2]->exchange->settled());
}

/// What reports held before they told of servers that leave, as such a build reads and writes them.
struct FirstForm {
  std::uint32_t form = 1;
  std::string sender;
  bool fresh = false;
  std::uint32_t waitMs = 0;
  std::vector<LimitFact> facts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, sender, fresh, waitMs, facts);
  }
};

BOOST_AUTO_TEST_CASE(formsOfBothBuildsAreReadByBoth) {
  LimitReport report;
  report.sender = "10.0.0.1:7340";
  report.facts = {{fleet::ServerKey(7), LimitVersion(3), true, 0.25}};
  report.leaving = {kRun};
  const Result<FirstForm> old = peer::decode<FirstForm>(peer::encode(report));
  BOOST_REQUIRE(static_cast<bool>(old));
  BOOST_TEST(old.value().sender == report.sender);
  BOOST_TEST((old.value().facts == report.facts));
  FirstForm sent;
  sent.sender = "10.0.0.2:7340";
  sent.facts = report.facts;
  const Result<LimitReport> read = peer::decode<LimitReport>(peer::encode(sent));
  BOOST_REQUIRE(static_cast<bool>(read));
  BOOST_TEST((read.value().facts == sent.facts));
  BOOST_TEST(read.value().leaving.empty());
  BOOST_TEST((peer::decode<LimitReport>(peer::encode(report)).value().leaving == report.leaving));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
