#include <boost/json.hpp>
#include <boost/process.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <set>

#include "support/fleet.h"

namespace calicodrift::testing {
namespace {

namespace json = boost::json;
constexpr std::size_t kRouters = 6;
constexpr std::size_t kZones = 3;
/// In force everywhere within this.
constexpr std::chrono::seconds kBound(7);

json::object jsonAt(const Endpoint& endpoint, const std::string& target) {
  const auto response = get(endpoint, target);
  return response ? json::parse(response.value().body).as_object() : json::object();
}

/// Six routers in three zones, of which one in each watches the store.
struct ConfiguredFleet : Fleet {
  explicit ConfiguredFleet(std::vector<std::string> flags = {}) : flags_(std::move(flags)) {
    submitBundle(bundleText(1));
    routers.resize(kRouters);
    for (std::size_t index = 0; index < kRouters; ++index) {
      start(index);
    }
    BOOST_REQUIRE(eventually([&] { return inForce(1) == kRouters && vouched() == kRouters; }));
    BOOST_REQUIRE(eventually([&] { return watchers().size() == kZones; }));
  }
  void start(std::size_t index) {
    std::vector<std::string> all{"--zone", "z" + std::to_string(index % kZones),
                                 "--config-watchers-per-zone", "1"};
    if (index > 0) {
      all.insert(all.end(), {"--seeds", routers[0]->endpoint("peer").toString()});
    }
    all.insert(all.end(), flags_.begin(), flags_.end());
    routers[index] = startRouter("r" + std::to_string(index), all);
  }
  json::object status(std::size_t index) const {
    return jsonAt(routers[index]->endpoint("router"), "/admin/bundle");
  }
  std::vector<std::size_t> having(std::string_view key, const json::value& value) const {
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < kRouters; ++index) {
      if (routers[index]->running()) {
        const json::object row = status(index);
        const json::value* found = row.if_contains(key);
        if (found != nullptr && *found == value) {
          indexes.push_back(index);
        }
      }
    }
    return indexes;
  }
  std::size_t inForce(std::uint64_t version) const {
    return having("bundle_version", json::value(static_cast<std::int64_t>(version))).size();
  }
  std::size_t vouched() const { return having("vouched", true).size(); }
  std::vector<std::size_t> watchers() const { return having("watcher", true); }
  std::int64_t storeStat(const std::string& name) const {
    return jsonAt(store(), "/stats").at(name).as_int64();
  }
  std::int64_t bundleReads() const {
    return jsonAt(store(), "/stats").at("reads_of").at("bundles/current").as_int64();
  }
  /// Value of a counter without labels.
  double counter(std::size_t index, const std::string& name) const {
    const std::string page = get(routers[index]->endpoint("router"), "/metrics").value().body;
    const std::size_t at = page.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(page.substr(at + name.size() + 2));
  }
  std::string routerList() const {
    std::string list;
    for (const auto& router : routers) {
      list += (list.empty() ? "" : ",") + router->endpoint("router").toString();
    }
    return list;
  }
  /// Stores an object without any check, as a restored backup does.
  void storeAtOnce(const std::string& text) const { submitBundle(text); }

  std::vector<std::unique_ptr<Process>> routers;

 private:
  std::vector<std::string> flags_;
};

/// Runs the operator's command line to its end.
class Ctl {
 public:
  explicit Ctl(std::vector<std::string> arguments)
      : child_(std::string(std::getenv("CALICODRIFT_BIN")) + "/calicodriftctl",
               boost::process::args(std::move(arguments)), boost::process::std_out > output_,
               boost::process::std_err > errors_) {}
  int wait() {
    child_.wait();
    return child_.exit_code();
  }
  std::string output() { return {std::istreambuf_iterator<char>(output_), {}}; }
  std::string errors() { return {std::istreambuf_iterator<char>(errors_), {}}; }

 private:
  boost::process::ipstream output_;
  boost::process::ipstream errors_;
  boost::process::child child_;
};

/// A file that is removed at the end.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("calicodrift-" + std::to_string(::getpid()) + "-" + std::to_string(next_++))) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  std::string path() const { return path_.string(); }

 private:
  static inline int next_ = 0;
  std::filesystem::path path_;
};

std::vector<std::string> submitArguments(const Fleet& fleet, const std::string& file) {
  return {"bundle", "submit", file, "--object-api", fleet.store().toString()};
}

BOOST_FIXTURE_TEST_CASE(oneRouterOfEachZoneReadsTheStore, ConfiguredFleet) {
  constexpr std::int64_t kChanges = 10;
  const std::int64_t readsBefore = bundleReads();
  for (std::uint64_t version = 2; version < 2 + kChanges; ++version) {
    submitBundle(bundleText(version));
    BOOST_TEST(eventually([&] { return inForce(version) == kRouters; }));
  }
  const std::int64_t reads = bundleReads() - readsBefore;
  BOOST_TEST_MESSAGE("reads of the whole object at the start of "
                     << kRouters << " routers: " << readsBefore << ", over " << kChanges
                     << " changes: " << reads);
  // Each submission reads once; a watcher that is replaced costs one more. With each router
  // reading every change there would be 70.
  BOOST_TEST(reads <= kChanges + static_cast<std::int64_t>(kRouters));
  BOOST_TEST(
      eventually([&] { return storeStat("watches_open") <= static_cast<std::int64_t>(kZones); }));
}

BOOST_FIXTURE_TEST_CASE(theWatchersDeathRightAfterASubmissionDelaysNobody, ConfiguredFleet) {
  const std::vector<std::size_t> dying = watchers();
  submitBundle(bundleText(2));
  for (const std::size_t index : dying) {
    routers[index]->killAtOnce();
  }
  const MonotonicTime begin = monotonicNow();
  BOOST_TEST(eventually([&] { return inForce(2) == kRouters - dying.size(); }, kBound));
  BOOST_TEST_MESSAGE("in force on the survivors after " << toMilliseconds(monotonicNow() - begin)
                                                        << " ms");
  // Successors take over for good.
  submitBundle(bundleText(3));
  BOOST_TEST(eventually([&] { return inForce(3) == kRouters - dying.size(); }));
}

BOOST_FIXTURE_TEST_CASE(restartedRoutersTakeTheNewestBundleFromAPeerWhileTheStoreIsDown,
                        ConfiguredFleet) {
  submitBundle(bundleText(2));
  BOOST_REQUIRE(eventually([&] { return inForce(2) == kRouters; }));
  post(store(), "/faults", R"({"down":true})").value();
  for (std::size_t index = 1; index < kRouters; ++index) {
    routers[index]->killAtOnce();
  }
  for (std::size_t index = 1; index < kRouters; ++index) {
    start(index);
  }
  const MonotonicTime begin = monotonicNow();
  BOOST_TEST(eventually([&] { return inForce(2) == kRouters; }, kBound));
  BOOST_TEST_MESSAGE("5 of 6 restarted routers have version 2 after "
                     << toMilliseconds(monotonicNow() - begin) << " ms");
}

BOOST_FIXTURE_TEST_CASE(anOlderObjectInTheStoreMakesNoRouterRevert, ConfiguredFleet) {
  submitBundle(bundleText(2));
  BOOST_REQUIRE(eventually([&] { return inForce(2) == kRouters; }));
  storeAtOnce(bundleText(1));
  const std::vector<std::size_t> reading = watchers();
  BOOST_REQUIRE(!reading.empty());
  std::size_t lowest = kRouters;
  BOOST_TEST(eventually([&] {
    lowest = std::min(lowest, inForce(2));
    return counter(reading[0], "calicodrift_config_store_behind_total") >= 1;
  }));
  BOOST_TEST(lowest == kRouters);
  // The operator's tool says what to do.
  const TemporaryFile file(bundle::toJson(signBoth(bundleText(2, "LeastOutstanding"))));
  std::vector<std::string> arguments = submitArguments(*this, file.path());
  arguments.insert(arguments.end(), {"--routers", routerList()});
  Ctl late(arguments);
  BOOST_TEST(late.wait() != 0);
  BOOST_TEST(late.errors().find("set \"version\" to 3") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(aStoreThatLostItsLastChangesMakesNoRouterRevert, ConfiguredFleet) {
  submitBundle(bundleText(2));
  submitBundle(bundleText(3));
  BOOST_REQUIRE(eventually([&] { return inForce(3) == kRouters; }));
  const Endpoint sameAddress = store();
  platform->killAtOnce();
  platform = std::make_unique<Process>(
      "calicodrift-sim",
      std::vector<std::string>{"platform", "--object-api-listen", sameAddress.toString()}, 2);
  storeAtOnce(bundleText(2));
  const std::vector<std::size_t> reading = watchers();
  BOOST_REQUIRE(!reading.empty());
  std::size_t lowest = kRouters;
  BOOST_TEST(eventually([&] {
    lowest = std::min(lowest, inForce(3));
    return counter(reading[0], "calicodrift_config_store_behind_total") >= 1;
  }));
  BOOST_TEST(lowest == kRouters);
  // The store is followed again once it holds a higher version.
  storeAtOnce(bundleText(4));
  BOOST_TEST(eventually([&] { return inForce(4) == kRouters; }));
}

BOOST_FIXTURE_TEST_CASE(aPausedRouterCatchesUpAtOnce, ConfiguredFleet) {
  const std::vector<std::size_t> reading = watchers();
  const std::set<std::size_t> watching(reading.begin(), reading.end());
  std::size_t paused = 0;
  while (watching.contains(paused)) {
    ++paused;
  }
  routers[paused]->signal(SIGSTOP);
  submitBundle(bundleText(2));
  const auto othersHaveIt = [&] {
    for (std::size_t index = 0; index < kRouters; ++index) {
      if (index != paused && status(index).at("bundle_version") != 2) {
        return false;
      }
    }
    return true;
  };
  BOOST_TEST(eventually(othersHaveIt, kBound));
  routers[paused]->signal(SIGCONT);
  const MonotonicTime begin = monotonicNow();
  BOOST_TEST(eventually([&] { return inForce(2) == kRouters; }, kBound));
  BOOST_TEST_MESSAGE("the paused router caught up after " << toMilliseconds(monotonicNow() - begin)
                                                          << " ms");
}

struct StrictFleet : ConfiguredFleet {
  StrictFleet()
      : ConfiguredFleet({"--config-vouch-term-ms", "1000", "--config-unvouched-action", "refuse"}) {
  }
};

struct LenientFleet : ConfiguredFleet {
  LenientFleet() : ConfiguredFleet({"--config-vouch-term-ms", "1000"}) {}
};

BOOST_FIXTURE_TEST_CASE(withoutConfirmationAStrictRouterRefusesTruthfully, StrictFleet) {
  const Endpoint router = routers[0]->endpoint("router");
  post(store(), "/faults", R"({"down":true})").value();
  BOOST_TEST(eventually([&] { return vouched() == 0; }));
  const auto refused = exchange(router, authorized("GET", "/v1/models", ""));
  BOOST_TEST(refused.value().headers.get(http::kErrorKindHeader) == "no_configuration");
  BOOST_TEST(refused.value().headers.get(http::kRunHeader) == "no");
  BOOST_TEST(get(router, "/readyz").value().status == 503U);
  post(store(), "/faults", R"({"down":false})").value();
  BOOST_TEST(eventually([&] { return vouched() == kRouters; }));
  BOOST_TEST(get(router, "/readyz").value().status == 200U);
}

BOOST_FIXTURE_TEST_CASE(withoutConfirmationAnAnswerSaysSo, LenientFleet) {
  const Endpoint router = routers[0]->endpoint("router");
  const auto ask = [&] { return exchange(router, authorized("GET", "/v1/models", "")).value(); };
  BOOST_TEST(ask().headers.get(http::kConfigVersionHeader) == "1");
  BOOST_TEST(!ask().headers.find(http::kConfigVouchedHeader).has_value());
  post(store(), "/faults", R"({"down":true})").value();
  BOOST_TEST(eventually([&] { return vouched() == 0; }));
  BOOST_TEST(ask().status == 200U);
  BOOST_TEST(ask().headers.get(http::kConfigVouchedHeader) == "false");
  BOOST_TEST(eventually([&] { return counter(0, "calicodrift_config_vouched") == 0; }));
}

BOOST_FIXTURE_TEST_CASE(aLostAnswerIsSettledByReadingBack, ConfiguredFleet) {
  const TemporaryFile file(bundle::toJson(signBoth(bundleText(2))));
  post(store(), "/faults", R"({"lose_answers":1})").value();
  const std::int64_t writesBefore = storeStat("writes");
  Ctl submission(submitArguments(*this, file.path()));
  BOOST_TEST(submission.wait() == 0);
  BOOST_TEST(submission.output() == "accepted version 2\n");
  BOOST_TEST(storeStat("writes") - writesBefore == 1);
  Ctl waiting({"bundle", "status", "--routers", routerList(), "--wait-version", "2", "--timeout-ms",
               "7000"});
  BOOST_TEST(waiting.wait() == 0);
}

BOOST_AUTO_TEST_CASE(ofTwoRacingOperatorsExactlyOneWins) {
  const Fleet fleet;
  fleet.submitBundle(Fleet::bundleText(1));
  for (std::uint64_t version = 2; version < 12; ++version) {
    const TemporaryFile first(
        bundle::toJson(fleet.signBoth(Fleet::bundleText(version, "RoundRobin"))));
    const TemporaryFile second(
        bundle::toJson(fleet.signBoth(Fleet::bundleText(version, "LeastOutstanding"))));
    Ctl one(submitArguments(fleet, first.path()));
    Ctl two(submitArguments(fleet, second.path()));
    const bool oneWon = one.wait() == 0;
    const bool twoWon = two.wait() == 0;
    BOOST_TEST(oneWon != twoWon);
    const std::string refusal = oneWon ? two.errors() : one.errors();
    BOOST_TEST(refusal.find("version_conflict") != std::string::npos);
    BOOST_TEST(refusal.find("another bundle of version " + std::to_string(version)) !=
               std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(aBundleWithFewerSignaturesThanRequiredIsNotSubmitted) {
  const Fleet fleet;
  bundle::SignedBundle signedBundle = fleet.signBoth(Fleet::bundleText(1));
  signedBundle.signatures.pop_back();
  const TemporaryFile file(bundle::toJson(signedBundle));
  Ctl submission(submitArguments(fleet, file.path()));
  BOOST_TEST(submission.wait() != 0);
  BOOST_TEST(submission.errors().find("signature_invalid") != std::string::npos);
}

}  // namespace
}  // namespace calicodrift::testing
