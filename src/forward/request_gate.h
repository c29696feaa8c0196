#pragma once

#include <functional>
#include <memory>

#include "forward/request.h"

namespace calicodrift::forward {

/// The configuration in force at this node, and how new it is.
struct ConfigurationView {
  /// Null until the first one was read.
  std::shared_ptr<const routes::RouteTable> table;
  /// The table was the newest at this time for certain.
  MonotonicTime provenAt{};
};

struct GateSettings {
  /// A configuration whose proof is older than this may lack the withdrawal of a key, so that no
  /// request with a key is served by it.
  Milliseconds keyProofAge{3000};
  /// A configuration whose proof is older than this may lack a route or a key, so that their
  /// absence is not told to callers as final.
  Milliseconds absenceProofAge{2000};
};

/// Decides by the configuration whether a request is served, and as whose.
///
/// Invariant: no request is sent to a server for a key that was withdrawn more than `keyProofAge`
/// before. It holds because the table that grants it was the newest within that time, when the
/// request comes and at each send.
class RequestGate {
 public:
  explicit RequestGate(GateSettings settings) : settings_(settings) {}

  /// Fails with kNoConfiguration where nothing can be said yet (not run, come back), kUnknownRoute
  /// or kUnauthenticated.
  Result<Grant> check(const Request& request, const ConfigurationView& view,
                      MonotonicTime now) const;
  /// Whether a request that was granted before may be sent to a server now. Its key is looked up
  /// anew: until then a request may have waited for a claim or at another server, for longer than
  /// withdrawn keys may be served. Routes stay as they were granted. Fails with kNoConfiguration or
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
