#pragma once

#include <boost/asio/awaitable.hpp>

#include "common/error.h"
#include "forward/request.h"
#include "quota/quota_node.h"

namespace calicodrift::forward {

/// What one dispatch of a request takes out of its tenant's limit, over all nodes together. Each
/// dispatch claims anew, as each may run at a server; one that no server ran gives its units back.
class TenantLimitUse {
 public:
  /// @param tenant null where the request has none; outlives this, as `request` need not.
  TenantLimitUse(const Request& request, const routes::Tenant* tenant);

  /// Fails at once with kRateLimited, and when to come back, where the tenant is over its limit.
  boost::asio::awaitable<Result<void>> claim(quota::QuotaNode& quota) const;
  void giveBack(quota::QuotaNode& quota) const;

 private:
  const routes::Tenant* tenant_;
  /// 0 where the tenant has no limit.
  double units_;
};

}  // namespace calicodrift::forward
