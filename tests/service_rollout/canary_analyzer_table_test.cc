#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <string>

#include "canary_analyzer_scenario.h"

/// Produces the table of docs/design/service-rollouts.md: probabilities of detecting a bad version,
/// compared with another method. JUDGE_TABLE_ORDERS sets the number of simulated orders for each
/// cell, JUDGE_TABLE_SHARE the candidate's share of the requests.
namespace calicodrift::service_rollout {
namespace {

/// The other method: compares the last window of both versions as a whole, by the probability that
/// a sound version has as many bad answers (binomial tail).
class WindowTest {
 public:
  bool rejects(const OrderObservations& sum, MonotonicTime /*now*/) {
    std::map<RouteKey, Samples> counts = sum.routes;
    for (const auto& [route, samples] : sum.routes) {
      add(counts[kAll], samples);
    }
    history_.push_back(counts);
    const auto& before = history_.size() > kTicks ? history_.front() : empty_;
    bool rejected = false;
    for (const auto& [route, samples] : counts) {
      const auto old = before.find(route);
      rejected = rejected || judge(samples, old == before.end() ? Samples{} : old->second);
    }
    if (history_.size() > kTicks) {
      history_.erase(history_.begin());
    }
    return rejected;
  }

 private:
  using Samples = std::array<RouteSample, kTrackCount>;
  static constexpr std::size_t kTicks = 50;
  /// As strict as the canary analyzer's threshold, e^-12.
  static constexpr double kMinProbability = 6e-6;
  inline static const RouteKey kAll{0};

  static void add(Samples& sum, const Samples& more) {
    sum[0] += more[0];
    sum[1] += more[1];
  }
  static std::uint32_t countFrom(const RatioHistogram& now, const RatioHistogram& old,
                                 std::size_t bucket) {
    std::uint32_t count = 0;
    for (; bucket < kRatioBuckets; ++bucket) {
      count += now[bucket] - old[bucket];
    }
    return count;
  }
  static bool judge(const Samples& now, const Samples& old) {
    const double answers = now[0].answered - old[0].answered;
    if (answers < 40) {
      return false;
    }
    const double failing = (now[0].failed - old[0].failed) / answers;
    return isUnlikely(now[1].failed - old[1].failed, now[1].answered - old[1].answered,
                      std::max(failing, 0.01)) ||
           slow(now, old, &RouteSample::start) || slow(now, old, &RouteSample::pace);
  }
  /// Slow answers: an octave above the time that 1 in 20 stable answers exceed.
  static bool slow(const Samples& now, const Samples& old, RatioHistogram RouteSample::*ratios) {
    const double stable = countFrom(now[0].*ratios, old[0].*ratios, 0);
    std::size_t bucket = 0;
    while (bucket + 1 < kRatioBuckets &&
           countFrom(now[0].*ratios, old[0].*ratios, bucket) > 0.05 * stable) {
      ++bucket;
    }
    const std::size_t cut = std::min(bucket + 2, kRatioBuckets - 1);
    const double share = countFrom(now[0].*ratios, old[0].*ratios, cut) / std::max(stable, 1.0);
    return isUnlikely(countFrom(now[1].*ratios, old[1].*ratios, cut),
                      countFrom(now[1].*ratios, old[1].*ratios, 0), std::max(share, 0.02));
  }
  static bool isUnlikely(std::uint32_t bad, std::uint32_t answers, double share) {
    const double all = answers;
    if (bad <= share * all) {
      return false;
    }
    double tail = 0;
    for (double count = bad; count <= all; ++count) {
      tail +=
          std::exp(std::lgamma(all + 1) - std::lgamma(count + 1) - std::lgamma(all - count + 1) +
                   count * std::log(share) + (all - count) * std::log(1 - share));
    }
    return tail < kMinProbability;
  }

  std::vector<std::map<RouteKey, Samples>> history_;
  std::map<RouteKey, Samples> empty_;
};

struct Kind {
  std::string name;
  Defect defect;
};

const std::vector<Kind>& kinds() {
  static const std::vector<Kind> all = {
      {"fails 0.05", {.failing = 0.05}},
      {"fails 0.1", {.failing = 0.1}},
      {"fails 0.2", {.failing = 0.2}},
      {"fails 0.3", {.failing = 0.3}},
      {"fails 0.5", {.failing = 0.5}},
      {"fails all", {.failing = 1}},
      {"fails 0.3, one route", {.failing = 0.3, .route = 1}},
      {"fails 0.3 from 4 s on", {.failing = 0.3, .fromSecond = 4}},
      {"0.3 slow x3", {.slow = 0.3, .slowBy = 3}},
      {"0.3 slow x5", {.slow = 0.3, .slowBy = 5}},
      {"all slow x3", {.slow = 1, .slowBy = 3}},
      {"all slow x5", {.slow = 1, .slowBy = 5}},
      {"all slow x3, one route", {.slow = 1, .slowBy = 3, .route = 1}},
      {"all slow x1.4 (sound)", {.slow = 1, .slowBy = 1.4}},
      {"as the stable one (sound)", {}},
  };
  return all;
}

std::size_t ordersPerCell() {
  constexpr std::size_t kDefault = 20;
  const char* wanted = std::getenv("JUDGE_TABLE_ORDERS");
  return wanted == nullptr ? kDefault : std::stoul(wanted);
}

double canaryShare() {
  constexpr double kDefault = 0.1;
  const char* wanted = std::getenv("JUDGE_TABLE_SHARE");
  return wanted == nullptr ? kDefault : std::stod(wanted);
}

/// Rejections within 8, 12 and 30 s, and the median of the bad answers until the rejection.
struct Cell {
  std::array<std::size_t, 3> rejected{};
  std::vector<std::uint64_t> bad;

  void add(const ScenarioResult& result) {
    if (!result.rejectedAt) {
      return;
    }
    for (std::size_t end = 0; end < kEnds.size(); ++end) {
      rejected[end] += *result.rejectedAt <= kEnds[end] ? 1 : 0;
    }
    bad.push_back(result.bad);
  }
  std::string text(std::size_t orders) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(orders >= 1000 ? 3 : 2);
    for (const std::size_t count : rejected) {
      out << static_cast<double>(count) / static_cast<double>(orders) << " ";
    }
    std::sort(bad.begin(), bad.end());
    out << "| " << (bad.empty() ? std::string("-") : std::to_string(bad[bad.size() / 2]));
    return out.str();
  }

  static constexpr std::array<double, 3> kEnds = {8, 12, 30};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(judge_table)

BOOST_AUTO_TEST_CASE(cumulativeRatiosDetectNoLessThanWindows) {
  const std::size_t orders = ordersPerCell();
  std::ostringstream table;
  table << "| badness | requests/s | judge: by 8, 12, 30 s | bad answers | windows: by 8, 12, 30 s "
           "| bad answers |\n";
  for (const Kind& kind : kinds()) {
    for (const double requestsPerSecond : {228.0, 843.0}) {
      Cell judged;
      Cell windows;
      for (std::size_t seed = 0; seed < orders; ++seed) {
        Scenario scenario;
        scenario.candidate = kind.defect;
        scenario.requestsPerSecond = requestsPerSecond;
        scenario.canaryShare = canaryShare();
        judged.add(runWithJudge(scenario, seed));
        WindowTest test;
        windows.add(ScenarioRunner(scenario, seed).run([&test](const auto& sum, MonotonicTime now) {
          return test.rejects(sum, now);
        }));
      }
      table << "| " << kind.name << " | " << requestsPerSecond << " | " << judged.text(orders)
            << " | " << windows.text(orders) << " |\n";
      if (kind.defect.failing > 0) {
        BOOST_TEST(judged.rejected[2] >= windows.rejected[2]);
      }
    }
  }
  BOOST_TEST_MESSAGE(table.str());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
