#pragma once

#include <functional>
#include <memory>

#include "forward/request.h"

namespace calicodrift::forward {

/// The configuration in force on this node, and its age.
struct ConfigurationView {
  /// Null until the first configuration was read.
  std::shared_ptr<const routes::RouteTable> table;
  /// Until this time it is certain that the table was the newest.
  MonotonicTime provenAt{};
};

struct GateSettings {
  /// A configuration whose proof is older than this may lack the revocation of a key, so no request
  /// with a key is served from it.
  Milliseconds keyProofAge{3000};
  /// A configuration whose proof is older than this may lack a route or a key, so their absence is
  /// not reported to callers as final.
  Milliseconds absenceProofAge{2000};
};

/// Decides from the configuration whether a request is served, and for which tenant.
///
/// Invariant: no request is sent to a server for a key that was revoked more than `keyProofAge`
/// ago. It holds because the table that grants the request was the newest within that time, both
/// when the request arrives and at each send.
class RequestGate {
 public:
  explicit RequestGate(GateSettings settings) : settings_(settings) {}

  /// Fails with kUnknownRoute or kUnauthenticated, or with kNoConfiguration (not run, retry later)
  /// if the configuration can't decide yet.
  Result<Grant> check(const Request& request, const ConfigurationView& view,
                      MonotonicTime now) const;
  /// Whether a request that was granted earlier may be sent to a server now. Its key is looked up
  /// again, because the request may have waited for a claim or on another server for longer than
  /// revoked keys may be served. Routes stay as granted. Fails with kNoConfiguration or
  /// kUnauthenticated.
  Result<void> mayBeSent(const Request& request, const Grant& grant, const ConfigurationView& view,
                         MonotonicTime now) const;
  /// Whether requests with keys are served.
  bool servesKeys(const ConfigurationView& view, MonotonicTime now) const {
    return view.table != nullptr && now - view.provenAt <= settings_.keyProofAge;
  }

 private:
  Error absence(const ConfigurationView& view, MonotonicTime now, ErrorKind kind,
                std::string detail) const;

  GateSettings settings_;
};

}  // namespace calicodrift::forward
