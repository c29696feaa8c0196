#include "store/object_store.h"

#include <algorithm>
#include <boost/json.hpp>

namespace calicodrift::store {

Object parsed(const Object& object) {
  Object whole = object;
  if (whole.specText) {
    boost::system::error_code code;
    whole.spec = boost::json::parse(*whole.specText, code);
    if (code) {
      whole.spec = nullptr;
    }
    whole.specText.reset();
  }
  return whole;
}

MonotonicTime provenAt(const ChangeBatch& batch, MonotonicTime asked, Milliseconds wait,
                       MonotonicTime now) {
  if (batch.provenAfterAsked) {
    return std::min(asked + *batch.provenAfterAsked, now);
  }
  return batch.changes.empty() ? std::min(asked + wait, now) : asked;
}

}  // namespace calicodrift::store
