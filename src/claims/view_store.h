#pragma once

#include <cstdint>
#include <functional>

#include "claims/claim_view.h"
#include "common/error.h"
#include "object_api/object_api.h"

namespace calicodrift::claims {

/// A view with the version under which the object API keeps it.
struct VersionedView {
  object_api::ResourceVersion version;
  ClaimView view;
};

/// Where the current view lives. Implemented over the object API, and by a model in tests. Reads
/// and conditional writes are linearizable; every call is answered once, within a bounded time.
class ViewStore {
 public:
  using ReadDone = std::function<void(const Result<VersionedView>&)>;

  virtual ~ViewStore() = default;
  /// Fails with kNotFound where no view was ever written, and with kStoreUnavailable.
  virtual void read(ReadDone done) = 0;
  /// Writes if the stored version is still `view.version`. Whether it took effect is read back.
  virtual void write(const VersionedView& view, std::function<void()> done) = 0;
};

}  // namespace calicodrift::claims
