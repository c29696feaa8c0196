#include "bench/soak_faults.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace calicodrift::bench {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr Milliseconds kCheckInterval{20};
/// Callers notice a broken connection within this time, also on a busy machine.
constexpr Milliseconds kSettle{500};
/// Longest planned stop; far above the longest request of the load.
constexpr Milliseconds kStopBound{60000};

}  // namespace

FaultRunner::FaultRunner(asio::any_io_executor executor, SoakRun& run, FleetControl& control)
    : executor_(std::move(executor)), run_(run), control_(control) {
  const FleetSizes sizes = run.fleet.sizes();
  busy_.resize(sizes.routers + sizes.engines + sizes.services + 1);
  for (std::size_t index = 0; index < kFaultKindCount; ++index) {
    injected_[std::string(faultRow(static_cast<FaultKind>(index)).name)] = 0;
  }
}

awaitable<void> FaultRunner::runAll(std::vector<FaultEvent> events) {
  const MonotonicTime start = monotonicNow();
  unfinished_ = events.size();
  for (const FaultEvent& event : events) {
    asio::co_spawn(executor_, runOne(event, start), asio::detached);
  }
  while (unfinished_ > 0) {
    co_await pause(kCheckInterval);
  }
}

awaitable<void> FaultRunner::runOne(FaultEvent event, MonotonicTime runStart) {
  asio::steady_timer timer(executor_, runStart + event.start);
  co_await timer.async_wait(asio::use_awaitable);
  const std::vector<std::size_t> slots = slotsOf(event);
  while (!allFree(slots)) {
    co_await pause(kCheckInterval);
  }
  occupy(slots, true);
  co_await strike(event);
  occupy(slots, false);
  --unfinished_;
}

awaitable<void> FaultRunner::strike(FaultEvent event) {
  if (event.kind == FaultKind::kPlannedStop) {
    co_await stopAsPlanned(event);
    co_return;
  }
  if (event.kind == FaultKind::kEngineLeaves) {
    co_await watchLeaving(event);
    co_return;
  }
  const bool begun = co_await act(event, true);
  co_await pause(event.duration);
  const bool ended = co_await act(event, false);
  if (begun && ended) {
    ++injected_[std::string(faultRow(event.kind).name)];
  }
}

awaitable<void> FaultRunner::stopAsPlanned(FaultEvent event) {
  StopWindow window{event.target, monotonicNow(), {}};
  const bool begun = co_await act(event, true);
  const Endpoint router = run_.fleet.routers[event.target].endpoint;
  bool gone = false;
  while (!gone && monotonicNow() - window.from < kStopBound) {
    co_await pause(kCheckInterval);
    http::Request probe;
    probe.target = "/healthz";
    http::ExchangeOptions options;
    options.connection = http::ConnectionUse::kFresh;
    const auto answer = co_await run_.client.exchange(router, std::move(probe), options);
    gone = !answer && answer.error().kind == ErrorKind::kConnectFailed;
  }
  if (!gone) {
    ++stuckStops_;
    run_.remarks.push_back("planned stop of " + run_.fleet.routers[event.target].id +
                           " did not end");
  }
  co_await pause(kSettle);
  window.to = monotonicNow();
  stops_.push_back(window);
  const bool ended = co_await act(event, false);
  if (begun && ended) {
    ++injected_[std::string(faultRow(event.kind).name)];
  }
}

awaitable<void> FaultRunner::watchLeaving(FaultEvent event) {
  const bool begun = co_await act(event, true);
  const auto marked = std::chrono::duration_cast<Milliseconds>(wallNow().time_since_epoch());
  co_await pause(event.duration);
  http::Request request;
  request.target = "/health";
  const auto health =
      co_await run_.client.exchange(run_.fleet.engines[event.target].endpoint, std::move(request));
  bool read = false;
  if (health && health.value().status == 200) {
    boost::json::error_code code;
    const boost::json::value document = boost::json::parse(health.value().body, code);
    const boost::json::value* last =
        document.is_object() ? document.get_object().if_contains("last_accepted_unix_ms") : nullptr;
    read = last != nullptr && last->is_int64();
    if (read) {
      const Milliseconds after = Milliseconds(last->get_int64()) - marked;
      run_.counts.newWorkAfterLeave = std::max(run_.counts.newWorkAfterLeave, after);
    }
  }
  const bool ended = co_await act(event, false);
  if (begun && read && ended) {
    ++injected_[std::string(faultRow(event.kind).name)];
  }
}

awaitable<void> FaultRunner::pause(Milliseconds duration) const {
  asio::steady_timer timer(executor_, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

awaitable<bool> FaultRunner::act(FaultEvent event, bool begin) {
  const Result<ActionResult> result =
      begin ? co_await control_.begin(event) : co_await control_.end(event);
  if (!result) {
    run_.remarks.push_back("action " + std::string(faultRow(event.kind).name) +
                           " failed: " + result.error().detail);
    co_return false;
  }
  accepted_ = std::max(accepted_, result.value().accepted);
  co_return true;
}

std::vector<std::size_t> FaultRunner::slotsOf(const FaultEvent& event) const {
  const FleetSizes sizes = run_.fleet.sizes();
  std::vector<std::size_t> slots;
  switch (faultRow(event.kind).target) {
    case FaultTarget::kRouter:
      slots.push_back(event.target);
      break;
    case FaultTarget::kAllRouters:
      for (std::size_t router = 0; router < sizes.routers; ++router) {
        slots.push_back(router);
      }
      break;
    case FaultTarget::kEngine:
    case FaultTarget::kBackend:
      slots.push_back(sizes.routers + event.target);
      break;
    case FaultTarget::kService:
      slots.push_back(sizes.routers + sizes.engines + event.target);
      break;
    case FaultTarget::kStore:
      slots.push_back(busy_.size() - 1);
      break;
    case FaultTarget::kNothing:
      break;
  }
  return slots;
}

bool FaultRunner::allFree(const std::vector<std::size_t>& slots) const {
  return std::none_of(slots.begin(), slots.end(), [this](std::size_t slot) { return busy_[slot]; });
}

void FaultRunner::occupy(const std::vector<std::size_t>& slots, bool busy) {
  for (const std::size_t slot : slots) {
    busy_[slot] = busy;
  }
}

}  // namespace calicodrift::bench
