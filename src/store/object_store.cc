#include "store/object_store.h"

#include <algorithm>

namespace calicodrift::store {

MonotonicTime provenAt(const ChangeBatch& batch, MonotonicTime asked, Milliseconds wait,
                       MonotonicTime now) {
  if (batch.provenAfterAsked) {
    return std::min(asked + *batch.provenAfterAsked, now);
  }
  return batch.changes.empty() ? std::min(asked + wait, now) : asked;
}

}  // namespace calicodrift::store
