#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

#include "support/fleet.h"

namespace calicodrift::testing {
namespace {

namespace json = boost::json;

/// Five routers in three zones; the first two are the seeds.
struct FiveRouters {
  FiveRouters() {
    for (int index = 0; index < 5; ++index) {
      const std::string id = "r" + std::to_string(index);
      routers[id] = startMember(id, "127.0.0.1:0");
      peers[id] = routers[id]->endpoint("peer").toString();
      if (index < 2) {
        seeds += (seeds.empty() ? "" : ",") + peers[id];
      }
    }
    BOOST_REQUIRE(allAgreeOn(ids()));
  }
  std::unique_ptr<Process> startMember(const std::string& id, const std::string& peerListen) const {
    std::vector<std::string> flags{"--zone",
                                   "z" + std::to_string((id.back() - '0') % 3),
                                   "--peer-listen",
                                   peerListen,
                                   "--member-probe-interval-ms",
                                   "200",
                                   "--member-probe-timeout-ms",
                                   "60",
                                   "--member-suspicion-timeout-ms",
                                   "1500",
                                   "--member-join-retry-ms",
                                   "100"};
    if (!seeds.empty()) {
      flags.insert(flags.end(), {"--seeds", seeds});
    }
    return fleet.startRouter(id, flags);
  }
  std::vector<std::string> ids() const {
    std::vector<std::string> all;
    all.reserve(routers.size());
    for (const auto& [id, router] : routers) {
      all.push_back(id);
    }
    return all;
  }
  std::vector<std::string> idsWithout(const std::string& absent) const {
    std::vector<std::string> others = ids();
    std::erase(others, absent);
    return others;
  }
  /// From member name to its (incarnation, refutations) as `id` believes.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> members(
      const std::string& id) const {
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> found;
    const auto response = get(routers.at(id)->endpoint("router"), "/admin/members");
    if (!response) {
      return found;
    }
    const json::value body = json::parse(response.value().body);
    for (const json::value& member : body.at("members").as_array()) {
      found[std::string(member.at("node").as_string())] = {
          member.at("incarnation").to_number<std::uint64_t>(),
          member.at("refutations").to_number<std::uint64_t>()};
    }
    return found;
  }
  /// Whether each of `expected` believes in exactly `expected`.
  bool allAgreeOn(const std::vector<std::string>& expected) const {
    return eventually([&] {
      for (const std::string& id : expected) {
        const auto known = members(id);
        bool equal = known.size() == expected.size();
        for (const std::string& member : expected) {
          equal = equal && known.contains(member);
        }
        if (!equal) {
          return false;
        }
      }
      return true;
    });
  }

  Fleet fleet;
  std::string seeds;
  std::map<std::string, std::unique_ptr<Process>> routers;
  std::map<std::string, std::string> peers;
};

BOOST_FIXTURE_TEST_CASE(killedRouterIsDroppedAndComesBackAsANewIncarnation, FiveRouters) {
  const auto before = members("r0").at("r3");
  routers["r3"]->killAtOnce();
  BOOST_TEST(allAgreeOn(idsWithout("r3")));
  routers["r3"] = startMember("r3", peers["r3"]);
  BOOST_TEST(allAgreeOn(ids()));
  for (const std::string& id : ids()) {
    BOOST_TEST(members(id).at("r3").first > before.first);
  }
}

BOOST_FIXTURE_TEST_CASE(restartedSeedFindsItsFleetAgain, FiveRouters) {
  const auto before = members("r1").at("r0");
  routers["r0"]->killAtOnce();
  routers["r0"] = startMember("r0", peers["r0"]);
  BOOST_TEST(eventually([&] {
    const auto known = members("r1");
    return known.contains("r0") && known.at("r0").first > before.first;
  }));
  BOOST_TEST(allAgreeOn(ids()));
}

BOOST_FIXTURE_TEST_CASE(stoppedRouterIsDroppedAndRejoinsWhenItGoesOn, FiveRouters) {
  const auto before = members("r0").at("r4");
  routers["r4"]->signal(SIGSTOP);
  BOOST_TEST(allAgreeOn(idsWithout("r4")));
  routers["r4"]->signal(SIGCONT);
  BOOST_TEST(allAgreeOn(ids()));
  for (const std::string& id : ids()) {
    BOOST_TEST((members(id).at("r4") > before));
  }
}

BOOST_FIXTURE_TEST_CASE(plannedStopLeavesWithoutBeingSuspected, FiveRouters) {
  routers["r2"]->signal(SIGTERM);
  BOOST_TEST(routers["r2"]->wait() == 0);
  BOOST_TEST(allAgreeOn(idsWithout("r2")));
  for (const std::string& id : idsWithout("r2")) {
    const auto metrics = get(routers.at(id)->endpoint("router"), "/metrics");
    BOOST_REQUIRE(metrics.has_value());
    const bool left =
        metrics.value().body.find("calicodrift_membership_events_total{event=\"leave\"} 1\n") !=
        std::string::npos;
    BOOST_TEST(left);
  }
}

}  // namespace
}  // namespace calicodrift::testing
