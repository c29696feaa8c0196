#pragma once

#include <boost/asio/awaitable.hpp>

#include "common/error.h"
#include "forward/request.h"
#include "quota/quota_node.h"

namespace calicodrift::forward {

/// The units that one dispatch of a request consumes of its tenant's limit, which applies to all
/// nodes together. Each dispatch claims them again, because each may run on a server; the units of
/// a dispatch that no server ran are returned.
class TenantLimitUse {
 public:
  /// @param tenant null if the request has none; must outlive this object, while `request` need
  /// not.
  TenantLimitUse(const Request& request, const routes::Tenant* tenant);

  /// Whether the tenant has a limit; if not, claim() succeeds at once.
  bool needsClaim() const { return units_ > 0; }
  /// Fails immediately with kRateLimited and a retry time if the tenant is over its limit.
  boost::asio::awaitable<Result<void>> claim(quota::QuotaNode& quota) const;
  void giveBack(quota::QuotaNode& quota) const;

 private:
  const routes::Tenant* tenant_;
  /// 0 if the tenant has no limit.
  double units_;
};

}  // namespace calicodrift::forward
