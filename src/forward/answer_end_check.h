#pragma once

#include <boost/asio/awaitable.hpp>

#include "forward/crash_check.h"
#include "http/body_end.h"

namespace calicodrift::forward {

/// Decides whether a server's answer that ended with its connection is whole.
///
/// The end of a connection is the same for a server that has written all of its answer and for one
/// whose process has ended. So the server is asked after the end: if the run that began the answer
/// is alive, it has ended the answer itself.
class AnswerEndCheck {
 public:
  AnswerEndCheck(CrashCheck& crashCheck, ForwardMetrics& metrics)
      : crashCheck_(crashCheck), metrics_(metrics) {}

  /// Succeeds if the body is whole, at once for BodyEnd::kFramed. Fails with kStreamBroken.
  boost::asio::awaitable<Result<void>> confirm(const fleet::Server& server, http::BodyEnd end);
  /// The error for a stream that ended inside an event.
  Error partialEventError(const fleet::Server& server);

 private:
  Error unproven(const fleet::Server& server, std::string_view cause);

  CrashCheck& crashCheck_;
  ForwardMetrics& metrics_;
};

}  // namespace calicodrift::forward
