#include "router/dispatch_id.h"

#include <iomanip>
#include <random>
#include <sstream>

namespace calicodrift::router {

std::string makeDispatchId(Attempt attempt) {
  static thread_local std::mt19937_64 random{std::uint64_t{std::random_device{}()} << 32U |
                                             std::random_device{}()};
  std::ostringstream text;
  text << attempt.value() << "-" << std::hex << random();
  return text.str();
}

Error overAllAttempts(const Error& last, bool mayHaveRun) {
  if (last.kind == ErrorKind::kFenced && !mayHaveRun) {
    // Fencing is between router and engine; to the caller it is a refusal like others.
    return fail(ErrorKind::kBackendRefused, last.detail);
  }
  if (!mayHaveRun || errorRow(last.kind).run != RunStatement::kNo) {
    return last;
  }
  const std::string name(errorRow(last.kind).name);
  Error error = fail(ErrorKind::kOutcomeUnknown,
                     "an earlier attempt may have run; the last one: " + name + ", " + last.detail);
  error.retryAfter = last.retryAfter;
  return error;
}

}  // namespace calicodrift::router
