#include "quota/quota_node.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "peer/http_call.h"

namespace calicodrift::quota {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
const TenantId kTenant("t");
constexpr QuotaBounds kBounds{Milliseconds(8000), 0.1, 32'000};
/// A root starts with 1,028 units and grants a request while it has any.
constexpr TenantLimit kLimit{1000, 1000};

constexpr Milliseconds kLongestLendingAge{1000};

/// A node of the tree that serves claims over HTTP.
struct TestNode {
  TestNode(asio::io_context& context, http::Client& client, QuotaRoleShare role)
      : server(context.get_executor(), {},
               [this](http::Request& request, http::ResponseWriter& writer) {
                 return quota->handle(request, writer);
               }),
        metrics(registry) {
    endpoint = server.listen({"127.0.0.1", 0}).value();
    quota = std::make_unique<QuotaNode>(
        QuotaNodeContext{context.get_executor(), client, [role] { return role; },
                         [this] { return parent; }, [this] { return roots; },
                         [this]() -> awaitable<std::vector<Endpoint>> { co_return lenders; },
                         [this] { return viewAge; }, kLongestLendingAge},
        kBounds, metrics, 7);
    quota->applyLimits({{kTenant, kLimit}});
  }

  Endpoint endpoint;
  std::optional<Endpoint> parent;
  std::vector<Endpoint> roots;
  std::vector<Endpoint> lenders;
  Milliseconds viewAge{0};
  prometheus::Registry registry;
  std::unique_ptr<QuotaNode> quota;
  http::Server server;
  QuotaMetrics metrics;
};

/// Accepts connections and never responds.
struct SilentNode {
  explicit SilentNode(asio::io_context& context)
      : acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}
  Endpoint endpoint() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }
  asio::ip::tcp::acceptor acceptor;
};

struct TreeFixture {
  asio::io_context context;
  http::Client client{context.get_executor()};
  TestNode root{context, client, {QuotaRole::kRoot, 0.5}};
  TestNode otherRoot{context, client, {QuotaRole::kRoot, 0.5}};
  TestNode middle{context, client, {QuotaRole::kFollower, 0}};
  TestNode leaf{context, client, {QuotaRole::kFollower, 0}};

  TreeFixture() {
    root.roots = {otherRoot.endpoint};
    otherRoot.roots = {root.endpoint};
    middle.parent = root.endpoint;
    leaf.parent = middle.endpoint;
    for (TestNode* node : {&middle, &leaf}) {
      node->roots = {root.endpoint, otherRoot.endpoint};
    }
  }

  void run(std::function<awaitable<void>()> body) {
    bool finished = false;
    asio::co_spawn(context, std::move(body), [&](const std::exception_ptr& failure) {
      finished = failure == nullptr;
      context.stop();
    });
    context.run_for(std::chrono::seconds(10));
    BOOST_TEST(finished, "the body did not end in time");
  }
  /// Sends requests of `units` each to the node until one is refused; returns the number of units
  /// granted.
  static awaitable<double> passAll(TestNode& node, double units) {
    double passed = 0;
    while ((co_await node.quota->take(kTenant, units)).granted) {
      passed += units;
    }
    co_return passed;
  }
};

BOOST_FIXTURE_TEST_SUITE(quota_node, TreeFixture)

BOOST_AUTO_TEST_CASE(aLeafGetsTheUnitsOfBothRoots) {
  run([this]() -> awaitable<void> {
    const double passed = co_await passAll(leaf, 50);
    // The initial content of both roots, what they refilled meanwhile, and one uncovered request
    // each.
    BOOST_TEST(passed >= 900);
    BOOST_TEST(passed <= 1600);
    const QuotaVerdict verdict = co_await leaf.quota->take(kTenant, 50);
    BOOST_TEST(!verdict.granted);
    BOOST_TEST((verdict.comeBack > Milliseconds(0)));
    BOOST_TEST(verdict.facts.find("limit 1000/s") != std::string::npos);
  });
}

BOOST_AUTO_TEST_CASE(aRootBorrowsFromTheRootOfAnotherTree) {
  SilentNode silent(context);
  root.roots.clear();
  root.lenders = {silent.endpoint(), otherRoot.endpoint};
  otherRoot.roots.clear();
  otherRoot.quota->start();
  root.quota->start();
  run([this]() -> awaitable<void> {
    constexpr double kUnits = 20;
    constexpr Milliseconds kDuration{3000};
    const MonotonicTime begin = monotonicNow();
    asio::steady_timer timer(context);
    double passed = 0;
    while (monotonicNow() - begin < kDuration) {
      passed += (co_await root.quota->take(kTenant, kUnits)).granted ? kUnits : 0;
      timer.expires_after(Milliseconds(5));
      co_await timer.async_wait(asio::use_awaitable);
    }
    // Its own half in that time, including its initial content, plus at least half of the other
    // half.
    const double ownHalf = 514 + 0.5 * 3000;
    BOOST_TEST(passed > ownHalf + 0.25 * 1500);
    BOOST_TEST(passed < 2 * ownHalf);
  });
}

/// A root with an old view may have been replaced without knowing it. It still grants claims of the
/// other root of its own tree.
BOOST_AUTO_TEST_CASE(aRootWithAnOutdatedTreeViewLendsNothing) {
  ClaimBatch borrows;
  borrows.claims = {{keyOf(kTenant), 0, 40}};
  borrows.fromRoot = true;
  ClaimBatch claims = borrows;
  claims.claims[0].units = 10;
  otherRoot.quota->start();
  run([this, borrows, claims]() -> awaitable<void> {
    // Wait until it has more than it reserves for claims of its own.
    asio::steady_timer timer(context, Milliseconds(600));
    co_await timer.async_wait(asio::use_awaitable);
    const auto ask = [this](ClaimBatch batch) {
      return peer::callPeer<ClaimReply>(client, otherRoot.endpoint, kClaimPath, std::move(batch),
                                        QuotaNode::kLenderTimeout, QuotaNode::kLenderTimeout);
    };
    otherRoot.viewAge = kLongestLendingAge + Milliseconds(1);
    const Result<ClaimReply> old = co_await ask(borrows);
    BOOST_TEST(old.value().answers.at(0).prefetch == 0U);
    BOOST_TEST(old.value().answers.at(0).waitMs > 0U);
    const Result<ClaimReply> claimed = co_await ask(claims);
    BOOST_TEST(claimed.value().answers.at(0).waitMs == 0U);
    otherRoot.viewAge = kLongestLendingAge;
    const Result<ClaimReply> fresh = co_await ask(borrows);
    BOOST_TEST(fresh.value().answers.at(0).prefetch == 40U);
  });
}

BOOST_AUTO_TEST_CASE(anUnresponsiveParentIsSkipped) {
  SilentNode silent(context);
  leaf.parent = silent.endpoint();
  run([this]() -> awaitable<void> {
    const MonotonicTime begin = monotonicNow();
    BOOST_TEST((co_await leaf.quota->take(kTenant, 50)).granted);
    BOOST_TEST((monotonicNow() - begin < 3 * QuotaNode::kSourceTimeout));
    // The unresponsive parent is not tried again immediately.
    const MonotonicTime again = monotonicNow();
    BOOST_TEST((co_await leaf.quota->take(kTenant, 50)).granted);
    BOOST_TEST((monotonicNow() - again < QuotaNode::kSourceTimeout));
  });
}

BOOST_AUTO_TEST_CASE(aRequestIsRefusedSoonIfNoSourceResponds) {
  SilentNode silent(context);
  leaf.parent = silent.endpoint();
  leaf.roots = {silent.endpoint()};
  run([this]() -> awaitable<void> {
    const MonotonicTime begin = monotonicNow();
    BOOST_TEST(!(co_await leaf.quota->take(kTenant, 50)).granted);
    BOOST_TEST((monotonicNow() - begin < 3 * QuotaNode::kSourceTimeout));
  });
}

BOOST_AUTO_TEST_CASE(aCycleOfNodesDoesNotForwardForever) {
  middle.parent = leaf.endpoint;
  middle.roots.clear();
  leaf.roots.clear();
  run([this]() -> awaitable<void> {
    const MonotonicTime begin = monotonicNow();
    BOOST_TEST(!(co_await leaf.quota->take(kTenant, 50)).granted);
    BOOST_TEST((monotonicNow() - begin < 10 * QuotaNode::kSourceTimeout));
  });
}

BOOST_AUTO_TEST_CASE(returnedUnitsServeTheNextRequest) {
  run([this]() -> awaitable<void> {
    static_cast<void>(co_await passAll(leaf, 50));
    leaf.quota->giveBack(kTenant, 50);
    BOOST_TEST((co_await leaf.quota->take(kTenant, 50)).granted);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::quota
