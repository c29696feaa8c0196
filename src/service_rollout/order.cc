#include "service_rollout/order.h"

namespace calicodrift::service_rollout {

std::string_view toString(OrderState state) {
  switch (state) {
    case OrderState::kNew:
      return "new";
    case OrderState::kRunning:
      return "running";
    case OrderState::kCompleted:
      return "completed";
    case OrderState::kRolledBack:
      return "rolled_back";
  }
  return "new";
}

Result<void> check(const Order& order) {
  if (order.service.empty()) {
    return fail(ErrorKind::kSettingsInvalid, "order '" + order.name + "' names no service");
  }
  if (order.target.value().empty()) {
    return fail(ErrorKind::kSettingsInvalid, "order '" + order.name + "' names no target version");
  }
  if (order.duration <= Milliseconds(0)) {
    return fail(ErrorKind::kSettingsInvalid, "order '" + order.name + "' has no duration above 0");
  }
  return boost::outcome_v2::success();
}

}  // namespace calicodrift::service_rollout
