// Drawn schedules of cuts and returns in virtual time: what a node believes of its direct paths
// against which of them work.

#include <boost/test/unit_test.hpp>
#include <random>

#include "server_paths/path_table.h"

namespace calicodrift::server_paths {
namespace {

constexpr int kSchedules = 10'000;
constexpr int kSteps = 200;
constexpr Milliseconds kStep{50};
constexpr std::uint16_t kServers = 12;
/// Steps in a row in which calls fail before a second witness is found.
constexpr int kStepsToWitness = 6;

/// One node and its servers: paths fail and return at random, and each path in use carries calls.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random_(seed) {}

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += kStep;
      if (draw(20) == 0) {
        changePaths();
      }
      callServers();
      probe();
      check();
    }
  }
  std::size_t violations() const { return violations_; }

 private:
  struct Path {
    bool works = true;
    MonotonicTime changedAt{};
    int failedSteps = 0;
  };

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  static Endpoint endpoint(std::uint16_t server) { return {"10.0.0.1", server}; }

  /// Some, all or one of the paths are cut or come back.
  void changePaths() {
    const bool works = draw(2) == 0;
    const std::uint64_t share = 1 + draw(4);
    for (Path& path : paths_) {
      if (draw(4) < share && path.works != works) {
        path = {works, now_, 0};
      }
    }
  }
  void callServers() {
    for (std::uint16_t server = 0; server < kServers; ++server) {
      Path& path = paths_[server];
      path.failedSteps = path.works ? 0 : path.failedSteps + 1;
      if (path.failedSteps >= kStepsToWitness) {
        table_.recordLost(endpoint(server), now_);
      }
    }
  }
  void probe() {
    const std::vector<Endpoint> due = table_.takeDueProbes(kServers, now_);
    for (const Endpoint& server : due) {
      violations_ += table_.isLost(server) ? 0 : 1;
      if (paths_[server.port].works) {
        table_.recordWorking(server, now_);
      }
    }
  }
  /// A path that has worked for longer than the hold-off and a probe is in use; one that has failed
  /// for long is not; and the count is that of the lost paths.
  void check() {
    const PathTableSettings settings;
    std::size_t lost = 0;
    for (std::uint16_t server = 0; server < kServers; ++server) {
      const Path& path = paths_[server];
      const bool isLost = table_.isLost(endpoint(server));
      lost += isLost ? 1 : 0;
      const auto since = now_ - path.changedAt;
      const bool shouldWork =
          path.works && since > settings.maxHoldOff + settings.probeInterval + kStep;
      const bool shouldBeLost = !path.works && since > kStepsToWitness * kStep;
      violations_ += (shouldWork && isLost) || (shouldBeLost && !isLost) ? 1 : 0;
    }
    violations_ += lost == table_.lostCount() ? 0 : 1;
  }

  std::mt19937_64 random_;
  MonotonicTime now_ = MonotonicTime{} + std::chrono::hours(1);
  PathTable table_{PathTableSettings{}};
  std::vector<Path> paths_ = std::vector<Path>(kServers);
  std::size_t violations_ = 0;
};

BOOST_AUTO_TEST_SUITE(path_schedules)

BOOST_AUTO_TEST_CASE(beliefsFollowThePathsInDrawnSchedules) {
  for (int seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(static_cast<std::uint64_t>(seed));
    schedule.run();
    BOOST_TEST_REQUIRE(schedule.violations() == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_paths
