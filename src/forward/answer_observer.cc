#include "forward/answer_observer.h"

#include <algorithm>

namespace calicodrift::forward {
namespace {

using service_rollout::AnswerObservation;
using service_rollout::OrderKey;
using service_rollout::Track;

/// Answers that the running mean covers: a few seconds of one node's share of a service.
constexpr double kBaselineAnswers = 32;

}  // namespace

void AnswerObserver::Baseline::learn(double value) {
  ++answers;
  const double weight = std::max(1 / static_cast<double>(answers), 1 / kBaselineAnswers);
  mean += (value - mean) * weight;
}

std::optional<double> AnswerObserver::Baseline::ratioOf(std::optional<double> value) const {
  const bool known = answers >= kMinBaselineAnswers && mean > 0;
  return known && value ? std::optional(*value / mean) : std::nullopt;
}

std::optional<AnswerObservation> AnswerObserver::observe(const DispatchReport& report,
                                                         MonotonicTime now) {
  if (report.end == DispatchEnd::kNoAnswer) {
    return std::nullopt;
  }
  if (report.end == DispatchEnd::kBroken) {
    recordBrokenStream(report, now);
    return std::nullopt;
  }
  AnswerObservation answer;
  answer.route = report.route;
  answer.track = report.track;
  answer.failed = report.end == DispatchEnd::kFailed;
  // The latency of a failure does not reflect the work of the request.
  if (report.latencyRepresentative && !answer.failed) {
    ServiceBaselines& baselines = baselines_[report.service];
    answer.startRatio = baselines.startMs.ratioOf(report.startMs);
    if (report.expectedStartMs && report.startMs) {
      answer.startRatio = *report.startMs / std::max(*report.expectedStartMs, kMinExpectedStartMs);
    }
    answer.paceRatio = baselines.paceMs.ratioOf(report.paceMs);
    learn(report, baselines);
  }
  return report.order == OrderKey() ? std::nullopt : std::optional(answer);
}

void AnswerObserver::learn(const DispatchReport& report, ServiceBaselines& baselines) {
  if (report.track != Track::kStable) {
    return;
  }
  if (report.startMs && !report.expectedStartMs) {
    baselines.startMs.learn(*report.startMs);
  }
  if (report.paceMs) {
    baselines.paceMs.learn(*report.paceMs);
  }
}

void AnswerObserver::recordBrokenStream(const DispatchReport& report, MonotonicTime now) {
  if (report.order == OrderKey()) {
    return;
  }
  std::erase_if(lastBrokenAt_,
                [now](const auto& entry) { return now - entry.second >= kBrokenStreamInterval; });
  const bool first = lastBrokenAt_.try_emplace(report.server, now).second;
  if (first) {
    AnswerObservation answer;
    answer.route = report.route;
    answer.track = report.track;
    answer.failed = true;
    brokenStreams_.push_back({report.server, now, {report.order, answer}});
  }
}

void AnswerObserver::onRestarted(const BackendId& server) {
  std::erase_if(brokenStreams_,
                [&server](const BrokenStream& broken) { return broken.server == server; });
  lastBrokenAt_.erase(server);
}

std::vector<AnswerObserver::AttributedObservation> AnswerObserver::takeBrokenStreams(
    const std::function<bool(const BackendId&)>& isUp, MonotonicTime now) {
  std::vector<AttributedObservation> observations;
  std::erase_if(brokenStreams_, [&](const BrokenStream& broken) {
    const bool due = now - broken.at >= kCrashDetectionTime;
    if (due && isUp(broken.server)) {
      observations.push_back(broken.observation);
    }
    return due;
  });
  return observations;
}

}  // namespace calicodrift::forward
