#include "gateway/weights_floor.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "log/log.h"

namespace calicodrift::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Interval between two checks. A term lasts seconds, and a node that starts within this time after
/// its end uses the older weights for WeightsTargets::kDiscoveredTerm at most.
constexpr Milliseconds kInterval{250};
/// Nodes wait for different parts of this time, so that mostly one writes and the others see it.
constexpr Milliseconds kLongestDelay{200};
/// After a write: it is to be seen in the view before the next one, or tried again where it failed.
constexpr Milliseconds kPause{1000};
/// It doubles while writes fail, as each costs a call, up to this.
constexpr Milliseconds kLongestPause{16'000};
constexpr unsigned kMostDoublings = 4;

}  // namespace

WeightsFloorRecorder::WeightsFloorRecorder(WeightsFloorContext context, std::uint64_t seed)
    : context_(std::move(context)), seed_(seed) {}

void WeightsFloorRecorder::start() {
  asio::co_spawn(context_.executor, run(), asio::detached);
}

awaitable<void> WeightsFloorRecorder::run() {
  asio::steady_timer timer(context_.executor);
  Milliseconds pause = kInterval;
  for (;;) {
    timer.expires_after(pause);
    co_await timer.async_wait(asio::use_awaitable);
    pause = kInterval;
    const std::vector<ModelId> models = lacking();
    if (!context_.mayWrite() || models.empty()) {
      continue;
    }
    timer.expires_after(delay());
    co_await timer.async_wait(asio::use_awaitable);
    for (const ModelId& model : models) {
      co_await record(model);
    }
    pause = pauseAfterWrites();
  }
}

std::vector<ModelId> WeightsFloorRecorder::lacking() const {
  std::vector<ModelId> models;
  for (const auto& [model, stored] : context_.stored()) {
    if (missing(model)) {
      models.push_back(model);
    }
  }
  return models;
}

std::optional<WeightsVersion> WeightsFloorRecorder::missing(const ModelId& model) const {
  const auto stored = context_.stored().find(model);
  if (stored == context_.stored().end()) {
    return std::nullopt;
  }
  const WeightsVersion floor = context_.targets.confirmedLeast(model, monotonicNow());
  return floor > stored->second.floor ? std::optional(floor) : std::nullopt;
}

Milliseconds WeightsFloorRecorder::pauseAfterWrites() const {
  return std::min(kPause * (1U << std::min(failures_, kMostDoublings)), kLongestPause);
}

Milliseconds WeightsFloorRecorder::delay() const {
  return Milliseconds(
      static_cast<std::int64_t>(seed_ % static_cast<std::uint64_t>(kLongestDelay.count())));
}

awaitable<void> WeightsFloorRecorder::record(ModelId model) {
  // Looked up anew, as the write of another model may have taken long.
  const std::optional<WeightsVersion> floor = missing(model);
  if (!floor) {
    co_return;
  }
  const StoredWeights& stored = context_.stored().at(model);
  store::Object object;
  object.name = stored.object;
  object.revision = stored.revision;
  object.status = context_.schema.weightsStatus(*floor);
  const Result<store::Revision> written =
      co_await context_.store.putStatus(context_.schema.weightsKind(), std::move(object));
  failures_ = written ? 0 : failures_ + 1;
  // Of a store that refuses for long the first failure is told.
  if (failures_ <= 1) {
    log::write(written ? log::Level::kInfo : log::Level::kWarning, "weights_floor_recorded",
               {{"model", model.value()},
                {"floor", std::to_string(floor->value())},
                {"outcome", written ? "written" : written.error().detail}});
  }
}

}  // namespace calicodrift::gateway
