#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "service_rollout/observations.h"

namespace calicodrift::forward {

/// How a dispatch ended, as evidence about its server's version.
enum class DispatchEnd {
  /// Not run, server not reached, or ended by the caller or this node: no evidence about the
  /// version.
  kNoAnswer,
  kAnswered,
  /// The server answered with an error of its own.
  kFailed,
  /// The server's stream ended before it was complete.
  kBroken,
};

/// The result of one finished dispatch.
struct DispatchReport {
  std::string service;
  service_rollout::RouteKey route;
  service_rollout::Track track = service_rollout::Track::kStable;
  /// Rollout order in progress when the request was sent; 0 if there was none.
  service_rollout::OrderKey order;
  BackendId server;
  DispatchEnd end = DispatchEnd::kNoAnswer;
  /// Whether the latency is representative of the version, see ServerPool::isSpeedSample().
  bool latencyRepresentative = true;
  /// Milliseconds from sending the request to the first event, or to the body of the answer.
  std::optional<double> startMs;
  /// Milliseconds that the routing cost functions predicted when the server was chosen; empty for
  /// services without models, whose baseline is learnt.
  std::optional<double> expectedStartMs;
  /// Mean time between two events of the stream, in milliseconds.
  std::optional<double> paceMs;
};

/// Derives the observations that evaluate a version from finished dispatches: whether each failed,
/// and its latency relative to a baseline. Does no I/O; callers pass the time.
///
/// The baseline is learnt from the stable version only: a slow candidate would raise it and so look
/// less slow. It is also learnt while no order is in progress, so that it is known when one begins.
class AnswerObserver {
 public:
  using AttributedObservation =
      std::pair<service_rollout::OrderKey, service_rollout::AnswerObservation>;

  /// @return the observation; empty if the dispatch is no evidence, if no order is in progress, or
  /// if its stream broke, which takeBrokenStreams() reports.
  std::optional<service_rollout::AnswerObservation> observe(const DispatchReport& report,
                                                            MonotonicTime now);
  /// Returns the streams that broke at least kCrashDetectionTime ago on servers that are still up.
  /// A crash also breaks streams but is not a fault of the version; by that time it has been
  /// detected.
  std::vector<AttributedObservation> takeBrokenStreams(
      const std::function<bool(const BackendId&)>& isUp, MonotonicTime now);

  /// The server has restarted: its broken streams are attributed to the crash, although it is up
  /// again.
  void onRestarted(const BackendId& server);

  /// Broken streams of one server count at most once in this interval, so that an event that
  /// affects the whole server counts once.
  static constexpr Milliseconds kBrokenStreamInterval{1000};
  /// Time in which a crash of the server is detected after a broken stream: the next connect to it
  /// fails, or the report of another node, sent every 250 ms, says so.
  static constexpr Milliseconds kCrashDetectionTime{600};
  /// Number of answers after which the baseline is known.
  static constexpr std::size_t kMinBaselineAnswers = 5;
  /// Expected times below this are raised to it, because network latency and timer resolution would
  /// outweigh the work.
  static constexpr double kMinExpectedStartMs = 10;

 private:
  /// Running mean over the stable version's answers.
  struct Baseline {
    double mean = 0;
    std::size_t answers = 0;
    void learn(double value);
    std::optional<double> ratioOf(std::optional<double> value) const;
  };
  struct ServiceBaselines {
    Baseline startMs;
    Baseline paceMs;
  };
  struct BrokenStream {
    BackendId server;
    MonotonicTime at{};
    AttributedObservation observation;
  };

  static void learn(const DispatchReport& report, ServiceBaselines& baselines);
  void recordBrokenStream(const DispatchReport& report, MonotonicTime now);

  std::map<std::string, ServiceBaselines> baselines_;
  std::vector<BrokenStream> brokenStreams_;
  std::map<BackendId, MonotonicTime> lastBrokenAt_;
};

}  // namespace calicodrift::forward
