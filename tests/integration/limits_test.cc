#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "common/hashing.h"
#include "limits/owner_view.h"
#include "peer/directory.h"
#include "support/fleet.h"
#include "support/repeated_calls.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;

constexpr double kLimit = 50;
/// Refill of half a second and one request for each of three nodes.
constexpr double kBurst = kLimit / 2 + 3;
constexpr std::size_t kRouters = 3;
const std::string kLargeKey = "large-key";
const std::string kSmallKey = "small-key";

struct Listing : peer::PeerDirectory {
  const peer::PeerInfo& self() const override { return nodes.front(); }
  std::vector<peer::PeerInfo> alivePeers() const override {
    return {nodes.begin() + 1, nodes.end()};
  }
  std::vector<peer::PeerInfo> nodes;
};

http::Request readBy(const std::string& key) {
  http::Request request;
  request.target = "/registry/package";
  request.headers.set("Authorization", "Bearer " + key);
  return request;
}

struct LimitedFleet {
  LimitedFleet() : service(fleet.startService("s1")) {
    std::string seeds;
    for (std::size_t index = 0; index < kRouters; ++index) {
      std::vector<std::string> flags{"--fleet-nodes",
                                     "3",
                                     "--limit-lease-ms",
                                     "4000",
                                     "--member-probe-interval-ms",
                                     "200",
                                     "--member-probe-timeout-ms",
                                     "60",
                                     "--member-suspicion-timeout-ms",
                                     "1000"};
      if (!seeds.empty()) {
        flags.insert(flags.end(), {"--seeds", seeds});
      }
      const std::string id = "r" + std::to_string(index);
      routers.push_back(fleet.startRouter(id, flags));
      seeds = routers.front()->endpoint("peer").toString();
    }
    fleet.submitBundle(bundleText());
    for (const auto& router : routers) {
      BOOST_REQUIRE(eventually([&] { return knownMembers(*router) == kRouters; }));
      BOOST_REQUIRE(eventually([&] {
        const auto answer = get(router->endpoint("router"), "/readyz");
        return answer && answer.value().status == 200U;
      }));
      BOOST_REQUIRE(eventually([&] { return ask(*router, kSmallKey) == 200U; }));
    }
  }

  static std::string bundleText() {
    const auto tenant = [](const std::string& id, const std::string& key, int limit) {
      return R"({"id":")" + id + R"(","api_key_sha256":[")" + sha256Hex(key) +
             R"("],"requests_per_second":)" + std::to_string(limit) + "}";
    };
    return R"({"version":1,"tenants":[)" + tenant("large", kLargeKey, static_cast<int>(kLimit)) +
           "," + tenant("small", kSmallKey, 200) +
           R"(],"services":[{"name":"registry","path_prefix":"/registry/"}]})";
  }

  static std::size_t knownMembers(const Process& router) {
    const auto answer = get(router.endpoint("router"), "/admin/members");
    return answer ? boost::json::parse(answer.value().body).at("members").as_array().size() : 0;
  }

  static unsigned ask(const Process& router, const std::string& key) {
    const auto answer = exchange(router.endpoint("router"), readBy(key));
    return answer ? answer.value().status : 0;
  }

  /// The large tenant asks about five times its limit through every live router, the small one a
  /// few times a second.
  /// @return seconds that it took.
  double hammer(Milliseconds duration, Tally& large, Tally& small) {
    asio::io_context context(1);
    http::Client client(context.get_executor());
    const MonotonicTime begin = monotonicNow();
    const MonotonicTime end = begin + duration;
    for (const auto& router : routers) {
      if (!router->running()) {
        continue;
      }
      const Endpoint endpoint = router->endpoint("router");
      for (int caller = 0; caller < 3; ++caller) {
        asio::co_spawn(context,
                       callRepeatedly(client, endpoint, readBy(kLargeKey), Milliseconds(30), begin,
                                      end, large),
                       asio::detached);
      }
      asio::co_spawn(
          context,
          callRepeatedly(client, endpoint, readBy(kSmallKey), Milliseconds(100), begin, end, small),
          asio::detached);
    }
    context.run();
    constexpr double kMsPerSecond = 1000.0;
    return toMilliseconds(monotonicNow() - begin) / kMsPerSecond;
  }

  Process& ownerOfLarge() {
    Listing listing;
    for (std::size_t index = 0; index < kRouters; ++index) {
      peer::PeerInfo info;
      info.id = NodeId("r" + std::to_string(index));
      info.endpoint = routers[index]->endpoint("peer");
      listing.nodes.push_back(info);
    }
    limits::OwnerView view;
    view.refresh(listing, MonotonicTime{});
    const Endpoint owner = view.ownerOf(hashBytes("large")).endpoint;
    for (const auto& router : routers) {
      if (router->endpoint("peer") == owner) {
        return *router;
      }
    }
    throw std::runtime_error("no router owns the tenant");
  }

  Fleet fleet;
  std::unique_ptr<Process> service;
  std::vector<std::unique_ptr<Process>> routers;
};

/// Checks one phase against the stated bound: limit x (1 + k/n) over its time, and the burst.
void checkPhase(const std::string& name, double seconds, const Tally& large, const Tally& small,
                double withoutLease) {
  const double nodes = kRouters;
  const double bound = kLimit * (1 + withoutLease / nodes) * seconds + kBurst;
  BOOST_REQUIRE(!large.refusedMs.empty());
  BOOST_TEST_MESSAGE(name << ": accepted " << large.completed << " in " << seconds << " s (bound "
                          << bound << "), refused " << large.refused << ", refusal ms p50 "
                          << sampleAt(large.refusedMs, 0.5) << " p99 "
                          << sampleAt(large.refusedMs, 0.99) << "; small accepted "
                          << small.completed << ", refused " << small.refused);
  BOOST_TEST(static_cast<double>(large.completed) <= bound);
  const auto asked = static_cast<double>(large.completed + large.refused);
  BOOST_TEST(static_cast<double>(large.completed) > std::min(kLimit * seconds, asked) / 2);
  BOOST_TEST(large.wrong == 0U);
  // A few ms here; the bound leaves room for a busy machine, far from any deadline.
  constexpr double kAtOnceMs = 100;
  BOOST_TEST(sampleAt(large.refusedMs, 0.5) < kAtOnceMs);
  BOOST_TEST(small.refused + small.wrong == 0U);
  BOOST_TEST(small.completed > 0U);
}

BOOST_FIXTURE_TEST_CASE(aTenantLimitHoldsOverThreeRoutersAndTheDeathOfItsOwner, LimitedFleet) {
  Tally large;
  Tally small;
  double seconds = hammer(Milliseconds(8000), large, small);
  checkPhase("three routers", seconds, large, small, 0);

  ownerOfLarge().killAtOnce();
  Tally largeAfter;
  Tally smallAfter;
  seconds = hammer(Milliseconds(8000), largeAfter, smallAfter);
  // On a busy machine one of the two may lose its lease before the death is noticed.
  checkPhase("owner killed", seconds, largeAfter, smallAfter, 1);

  // What the dead node held is handed out again.
  Tally largeLater;
  Tally smallLater;
  seconds = hammer(Milliseconds(4000), largeLater, smallLater);
  checkPhase("later", seconds, largeLater, smallLater, 1);
  BOOST_TEST(static_cast<double>(largeLater.completed) > kLimit * seconds * 0.7);
}

}  // namespace
}  // namespace calicodrift::testing
