#pragma once

#include <cstdint>
#include <functional>

#include "claims/claim_view.h"
#include "common/error.h"
#include "object_api/object_api.h"

namespace calicodrift::claims {

/// A view with its resource version in the object API.
struct VersionedView {
  object_api::ResourceVersion version;
  ClaimView view;
};

/// Storage of the current view, implemented over the object API and by a simulation in tests. Reads
/// and conditional writes are linearizable. Every call completes exactly once, within a bounded
/// time.
class ViewStore {
 public:
  using ReadDone = std::function<void(const Result<VersionedView>&)>;

  virtual ~ViewStore() = default;
  /// Fails with kNotFound if no view was ever written, and with kStoreUnavailable if the store
  /// cannot be reached.
  virtual void read(ReadDone done) = 0;
  /// Writes the view if the stored version still equals `view.version`. `done` does not report
  /// success; callers find out with the next read.
  virtual void write(const VersionedView& view, std::function<void()> done) = 0;
};

}  // namespace calicodrift::claims
