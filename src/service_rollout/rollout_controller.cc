#include "service_rollout/rollout_controller.h"

#include <boost/asio.hpp>

#include "log/log.h"
#include "service_rollout/phase_watch.h"

namespace calicodrift::service_rollout {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

std::string_view describeVerdict(const PlanInput& input) {
  if (input.observations.rejected) {
    return "rejected by a node";
  }
  if (input.verdict == Verdict::kBad) {
    return "bad";
  }
  return input.verdict == Verdict::kSound ? "sound" : "undecided";
}

void logVerdict(const std::string& service, const PlanInput& input) {
  log::write(log::Level::kInfo, "service_rollout_verdict",
             {{"service", service},
              {"candidate", input.record->candidate.value()},
              {"verdict", std::string(describeVerdict(input))},
              {"age_ms", std::to_string(input.observations.age.count())},
              {"exposed", std::to_string(input.observations.exposed)},
              {"reached", std::to_string(input.observations.reached)},
              {"evidence", input.evidence}});
}

void logWrite(const std::string& service, const PlanInput& input, const PlanAction& action,
              const Result<store::Revision>& written) {
  const bool isRecord = action.step == PlanStep::kWriteRecord;
  const std::string_view content =
      isRecord ? toString(action.record.phase) : toString(action.state);
  const std::string_view result = written ? "written" : errorRow(written.error().kind).name;
  log::write(written ? log::Level::kInfo : log::Level::kWarning, "service_rollout_write",
             {{"service", service},
              {"write", isRecord ? "record" : "state"},
              {"content", std::string(content)},
              {"target", input.order ? input.order->target.value() : ""},
              {"stable", isRecord ? action.record.stable.value() : ""},
              {"result", std::string(result)},
              {"revision", written ? std::to_string(written.value().value()) : ""},
              {"reason", action.reason}});
}

}  // namespace

struct RolloutController::ServiceState {
  explicit ServiceState(WritePacingSettings settings) : pacing(settings) {}

  /// Discards the observations of an earlier tenure; pacing of its writes continues.
  void beginTenure() {
    phase = PhaseWatch();
    verdict = Verdict::kUndecided;
    rejected = false;
    waitReason.clear();
  }

  void recordVerdict(const std::string& service, const PlanInput& input) {
    const bool inProgress = input.record && input.record->phase != Phase::kSteady;
    if (!inProgress || input.observations.order != keyOf(*input.record)) {
      return;
    }
    if (input.verdict != verdict || input.observations.rejected != rejected) {
      verdict = input.verdict;
      rejected = input.observations.rejected;
      logVerdict(service, input);
    }
  }

  void recordWaitReason(const std::string& service, const std::string& reason) {
    if (reason != waitReason && !reason.empty()) {
      log::write(log::Level::kInfo, "service_rollout_waits",
                 {{"service", service}, {"reason", reason}});
    }
    waitReason = reason;
  }

  WritePacing pacing;
  bool writing = false;
  PhaseWatch phase;
  /// Values logged last.
  Verdict verdict = Verdict::kUndecided;
  bool rejected = false;
  std::string waitReason;
};

RolloutController::RolloutController(asio::any_io_executor executor, RolloutPorts ports,
                                     RolloutControllerSettings settings)
    : executor_(std::move(executor)),
      timer_(executor_),
      ports_(std::move(ports)),
      settings_(settings),
      random_(settings.seed) {}

void RolloutController::start() {
  asio::co_spawn(executor_, run(), asio::detached);
}

awaitable<void> RolloutController::run() {
  for (;;) {
    planAll();
    timer_.expires_after(settings_.interval);
    co_await timer_.async_wait(asio::use_awaitable);
  }
}

void RolloutController::planAll() {
  const std::optional<FencingToken> token = ports_.token();
  if (token != tenureToken_) {
    tenureToken_ = token;
    for (const auto& [service, state] : services_) {
      state->beginTenure();
    }
  }
  if (!token) {
    return;
  }
  const std::map<std::string, PlanInput> inputs = ports_.inputs();
  removeOtherServices(inputs);
  for (const auto& [service, input] : inputs) {
    planService(service, input);
  }
}

void RolloutController::planService(const std::string& service, PlanInput input) {
  std::shared_ptr<ServiceState>& state = services_[service];
  if (!state) {
    state = std::make_shared<ServiceState>(settings_.pacing);
  }
  const MonotonicTime now = monotonicNow();
  state->phase.observe(input, now);
  state->recordVerdict(service, input);
  if (state->writing || !state->pacing.mayWrite(input, now)) {
    return;
  }
  PlanAction action = nextAction(input, settings_.plan);
  if (action.step == PlanStep::kNothing) {
    state->recordWaitReason(service, action.reason);
    return;
  }
  state->writing = true;
  asio::co_spawn(executor_,
                 write(state, service, std::move(input), std::move(action), *tenureToken_),
                 asio::detached);
}

awaitable<void> RolloutController::write(std::shared_ptr<ServiceState> state, std::string service,
                                         PlanInput input, PlanAction action, FencingToken token) {
  if (ports_.token() != token) {
    state->writing = false;
    co_return;
  }
  const Result<store::Revision> written = co_await executeAction(input, action);
  logWrite(service, input, action, written);
  if (written) {
    state->pacing.onWritten(action.step, written.value(), monotonicNow());
  } else {
    state->pacing.onFailed(written.error().kind, monotonicNow(), random_);
  }
  state->writing = false;
}

RolloutPorts::Written RolloutController::executeAction(const PlanInput& input,
                                                       const PlanAction& action) const {
  if (action.step == PlanStep::kWriteRecord) {
    return ports_.writeRecord(action.record);
  }
  return ports_.writeState(*input.order, action.state);
}

void RolloutController::removeOtherServices(const std::map<std::string, PlanInput>& inputs) {
  std::erase_if(services_, [&inputs](const auto& entry) {
    return !inputs.contains(entry.first) && !entry.second->writing;
  });
}

}  // namespace calicodrift::service_rollout
