#include "forward/request_gate.h"

#include "forward/cache_scope.h"

namespace calicodrift::forward {
namespace {

/// Longest pause between parts of an answer that still arrives.
constexpr Milliseconds kArrivalPause{1000};

Error outdated() {
  return fail(ErrorKind::kNoConfiguration, "a newer configuration is still arriving");
}

}  // namespace

bool RequestGate::isUsable(const ConfigurationView& view, MonotonicTime now) const {
  if (view.table == nullptr) {
    return false;
  }
  const bool arriving = now - view.bytesAt < kArrivalPause;
  return now - view.provenAt <= settings_.configurationBound || !arriving;
}

Result<Grant> RequestGate::check(const Request& request, const ConfigurationView& view,
                                 MonotonicTime now) const {
  if (!view.table) {
    return fail(ErrorKind::kNoConfiguration, "no configuration has been read yet");
  }
  if (!isUsable(view, now)) {
    return outdated();
  }
  Grant grant;
  grant.table = view.table;
  grant.route = view.table->findRoute(request.host, request.message.path());
  if (grant.route == nullptr) {
    return absence(view, now, ErrorKind::kUnknownRoute, "no route for this host and path");
  }
  if (grant.route->isPublic || !view.table->needsKeys()) {
    grant.isolation = isolationIn(*view.table, grant, request);
    return grant;
  }
  if (!servesKeys(view, now)) {
    return fail(ErrorKind::kNoConfiguration, "the configuration is not proven to be the newest");
  }
  grant.tenant = view.table->findTenant(request.apiKey);
  if (grant.tenant == nullptr) {
    return absence(view, now, ErrorKind::kUnauthenticated, "no tenant holds this key");
  }
  return grant;
}

Result<void> RequestGate::mayBeSent(const Request& request, const Grant& grant,
                                    const ConfigurationView& view, MonotonicTime now) const {
  if (!isUsable(view, now)) {
    return outdated();
  }
  if (grant.tenant == nullptr) {
    return boost::outcome_v2::success();
  }
  if (!servesKeys(view, now)) {
    return fail(ErrorKind::kNoConfiguration, "the configuration is not proven to be the newest");
  }
  const routes::Tenant* holder = view.table->findTenant(request.apiKey);
  if (holder != nullptr && holder->id != grant.tenant->id) {
    return fail(ErrorKind::kNoConfiguration, "the key now belongs to another tenant");
  }
  if (holder == nullptr) {
    return absence(view, now, ErrorKind::kUnauthenticated, "the tenant's key was revoked");
  }
  return boost::outcome_v2::success();
}

Error RequestGate::absence(const ConfigurationView& view, MonotonicTime now, ErrorKind kind,
                           std::string detail) const {
  if (now - view.provenAt > settings_.absenceProofAge) {
    return fail(ErrorKind::kNoConfiguration, std::move(detail) + " in an unproven configuration");
  }
  return fail(kind, std::move(detail));
}

}  // namespace calicodrift::forward
