#include "forward/crash_follow_up.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "log/log.h"

namespace calicodrift::forward {

namespace asio = boost::asio;
using asio::awaitable;

CrashFollowUp::CrashFollowUp(asio::any_io_executor executor, CrashCheck& check,
                             const fleet::ServerPool& pool, ForwardMetrics& metrics,
                             CrashListener onCrash)
    : executor_(std::move(executor)),
      check_(check),
      pool_(pool),
      metrics_(metrics),
      onCrash_(std::move(onCrash)) {}

void CrashFollowUp::add(const fleet::Server& server, InterruptedRequest request) {
  const RunKey run{server.id, fleet::incarnationOf(server)};
  const bool isNew = !runs_.contains(run);
  if (isNew && runs_.size() >= kMaxRuns) {
    metrics_.countCrashFollowUp("left_out");
    return;
  }
  std::vector<InterruptedRequest>& requests = runs_[run];
  if (requests.size() < kMaxRequestsPerRun) {
    requests.push_back(std::move(request));
  }
  if (isNew) {
    asio::co_spawn(executor_, followUp(server), asio::detached);
  }
}

void CrashFollowUp::recordServed(const quarantine::RequestFingerprint& request) {
  for (auto& [run, requests] : runs_) {
    std::erase_if(requests, [&request](const auto& one) { return one.fingerprint == request; });
  }
}

awaitable<void> CrashFollowUp::followUp(fleet::Server server) {
  const RunState state = co_await findState(server);
  const auto found = runs_.find({server.id, fleet::incarnationOf(server)});
  const std::vector<InterruptedRequest> requests = std::move(found->second);
  runs_.erase(found);
  switch (state) {
    case RunState::kRunning:
      metrics_.countCrashFollowUp("running");
      break;
    case RunState::kEnded:
      metrics_.countCrashFollowUp("ended");
      for (const InterruptedRequest& request : requests) {
        onCrash_(server, request);
      }
      break;
    case RunState::kSilent:
    case RunState::kUnidentified:
      metrics_.countCrashFollowUp("undecided");
      log::write(log::Level::kInfo, "crash_check_undecided",
                 {{"server", server.id.value()}, {"requests", std::to_string(requests.size())}});
      break;
  }
}

awaitable<RunState> CrashFollowUp::findState(fleet::Server server) {
  asio::steady_timer timer(executor_);
  const MonotonicTime end = monotonicNow() + kMaxTime;
  Milliseconds pause = kFirstPause;
  while (monotonicNow() < end) {
    timer.expires_after(pause);
    co_await timer.async_wait(asio::use_awaitable);
    pause = std::min(2 * pause, kMaxPause);
    if (isLeaving(server)) {
      // It ends as planned.
      co_return RunState::kRunning;
    }
    if (!pool_.isCurrent(server)) {
      co_return RunState::kEnded;
    }
    const RunState state = co_await check_.stateOf(server);
    if (isDecided(state)) {
      co_return state;
    }
  }
  co_return RunState::kSilent;
}

bool CrashFollowUp::isLeaving(const fleet::Server& server) const {
  const fleet::Server* listed = pool_.find(server.id);
  return listed != nullptr && listed->draining && listed->started == server.started;
}

}  // namespace calicodrift::forward
