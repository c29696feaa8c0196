#include "http/connection_admission.h"

namespace calicodrift::http {

void ConnectionAdmission::observeDelay(MonotonicTime::duration delay) {
  if (maxDelay_ <= Milliseconds(0)) {
    overloaded_ = false;
    return;
  }
  longDelays_ = delay > maxDelay_ ? longDelays_ + 1 : 0;
  // Ends at a lower delay than it begins, so that it does not alternate with each connection.
  if (longDelays_ >= kDelaysToRefuse) {
    overloaded_ = true;
  } else if (delay <= maxDelay_ / 2) {
    overloaded_ = false;
  }
}

bool ConnectionAdmission::admit(MonotonicTime now) {
  if (overloaded_ && now - lastAdmitted_ < kMinInterval) {
    return false;
  }
  lastAdmitted_ = now;
  return true;
}

}  // namespace calicodrift::http
