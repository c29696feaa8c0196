#include "sim/engine_control.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "http/status.h"

namespace calicodrift::sim {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

}  // namespace

EngineControl::EngineControl(asio::io_context& context, EngineControlSettings settings, Hooks hooks)
    : context_(context),
      settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      client_(context.get_executor()) {
  report_.id = settings_.id;
  report_.model = settings_.model;
  report_.incarnation = settings_.incarnation;
  report_.weights = settings_.weights;
  report_.role = "mixed";
}

http::Response EngineControl::handleOrder(const std::string& body) {
  Result<orders::EngineOrder> order = orders::engineOrderFromJson(body);
  if (!order) {
    return http::errorResponse(order.error());
  }
  if (fenced(order.value())) {
    ++refusedOrders_;
    return http::jsonResponse(http::kStatusPreconditionFailed, orders::toJson(report_));
  }
  report_.highestToken = order.value().token;
  report_.highestBundle = std::max(report_.highestBundle, order.value().bundle);
  const unsigned status = apply(order.value()) ? http::kStatusOk : http::kStatusConflict;
  return http::jsonResponse(status, orders::toJson(report_));
}

bool EngineControl::fenced(const orders::EngineOrder& order) const {
  const bool otherIncarnation = order.incarnation && *order.incarnation != report_.incarnation;
  return order.token < report_.highestToken || order.bundle < report_.highestBundle ||
         otherIncarnation;
}

bool EngineControl::apply(const orders::EngineOrder& order) {
  if (order.kind == orders::OrderKind::kSetRole) {
    report_.role = order.role;
  }
  if (order.kind != orders::OrderKind::kLoadVersion) {
    return true;
  }
  if (report_.loading) {
    return *report_.loading == order.weights;
  }
  if (order.weights != report_.weights) {
    report_.loading = order.weights;
    report_.accepting = false;
    asio::co_spawn(context_, load(order.weights), asio::detached);
  }
  return true;
}

awaitable<void> EngineControl::load(WeightsVersion version) {
  constexpr Milliseconds kDrainCheck{2};
  asio::steady_timer timer(context_);
  while (hooks_.runningRequests() > 0) {
    timer.expires_after(kDrainCheck);
    co_await timer.async_wait(asio::use_awaitable);
  }
  const bool fetched = co_await fetch(version);
  if (fetched) {
    report_.weights = version;
    hooks_.clearCache();
    ++completedLoads_;
  } else {
    ++failedLoads_;
  }
  report_.loading.reset();
  report_.accepting = true;
}

awaitable<bool> EngineControl::fetch(WeightsVersion version) {
  if (!settings_.weightStore) {
    asio::steady_timer timer(context_, settings_.loadTime);
    co_await timer.async_wait(asio::use_awaitable);
    co_return true;
  }
  http::Request request;
  request.target = "/weights/" + settings_.model.value() + "/" + std::to_string(version.value());
  const Result<http::Response> response =
      co_await client_.exchange(*settings_.weightStore, std::move(request));
  co_return response&& response.value().status == http::kStatusOk;
}

}  // namespace calicodrift::sim
