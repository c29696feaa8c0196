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
  /// When bytes about the configuration last arrived from the store.
  MonotonicTime bytesAt{};
};

struct GateSettings {
  /// A configuration whose proof is older than this may lack the revocation of a key, so no request
  /// with a key is served from it.
  Milliseconds keyProofAge{3000};
  /// A configuration whose proof is older than this may lack a route or a key, so their absence is
  /// not reported to callers as final.
  Milliseconds absenceProofAge{2000};
  /// A configuration whose proof is older than this decides no request while the store is sending a
  /// newer one.
  Milliseconds configurationBound{4000};
};

/// Decides from the configuration whether a request is served, and for which tenant.
///
/// Invariants: no request is sent to a server for a key that was revoked more than `keyProofAge`
/// ago, and a node that can reach the store serves no request by a configuration that was replaced
/// more than `configurationBound` ago. Both hold because the table that grants the request was the
/// newest within that time, when the request arrives and at each send. A node that hears nothing
/// from the store can't have a newer configuration and serves until the bound of keys.
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
  /// Whether the configuration decides requests.
  bool isUsable(const ConfigurationView& view, MonotonicTime now) const;
  /// Whether requests with keys are served.
  bool servesKeys(const ConfigurationView& view, MonotonicTime now) const {
    return isUsable(view, now) && now - view.provenAt <= settings_.keyProofAge;
  }

 private:
  Error absence(const ConfigurationView& view, MonotonicTime now, ErrorKind kind,
                std::string detail) const;

  GateSettings settings_;
};

}  // namespace calicodrift::forward
