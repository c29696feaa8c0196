#include "forward/tenant_limit.h"

#include <cmath>

namespace calicodrift::forward {
namespace {

double unitsOf(const Request& request, const routes::Tenant* tenant) {
  if (tenant == nullptr || !tenant->limit) {
    return 0;
  }
  if (tenant->limit->unit == routes::LimitUnit::kRequests) {
    return 1;
  }
  return request.hasTokenCounts ? static_cast<double>(request.promptTokens + request.outputTokens)
                                : tenant->limit->defaultTokens;
}

}  // namespace

TenantLimitUse::TenantLimitUse(const Request& request, const routes::Tenant* tenant)
    : tenant_(tenant), units_(unitsOf(request, tenant)) {}

boost::asio::awaitable<Result<void>> TenantLimitUse::claim(quota::QuotaNode& quota) const {
  if (units_ <= 0) {
    co_return boost::outcome_v2::success();
  }
  const quota::QuotaVerdict verdict = co_await quota.take(tenant_->id, units_);
  if (verdict.granted) {
    co_return boost::outcome_v2::success();
  }
  Error error = fail(ErrorKind::kRateLimited,
                     "tenant '" + tenant_->id.value() + "' is over its limit with " +
                         std::to_string(std::llround(units_)) + " more; " + verdict.facts);
  error.retryAfter = verdict.comeBack;
  co_return error;
}

void TenantLimitUse::giveBack(quota::QuotaNode& quota) const {
  if (units_ > 0) {
    quota.giveBack(tenant_->id, units_);
  }
}

}  // namespace calicodrift::forward
