#pragma once

#include "metrics/metrics.h"

namespace calicodrift::forward {

/// Counters of the data path; all are declared here.
class ForwardMetrics {
 public:
  explicit ForwardMetrics(prometheus::Registry& registry);

  void countRequest(std::string_view kind);
  /// @param status of the answer that the caller got; 0 where none was complete.
  void countAnswer(unsigned status);
  void countError(std::string_view errorKind);
  /// @param nearby whether the server stands in this node's region.
  void countDispatch(bool nearby);
  void countRetry(std::string_view cause);
  void countRetryDenied();
  /// Requests taken back from servers whose weights ran out before they had begun.
  void countRecalls(std::size_t count);
  void countServerLoss(std::string_view cause);
  /// The head of a server's answer said something of the server: "leaving" or "rest", or
  /// "unreadable".
  void countNotice(std::string_view notice);
  /// A call was not sent, as its server had left, or asked for rest, since it was chosen.
  void countWithdrawn() { withdrawn_.Increment(); }
  /// A server began with a request on weights that are not the newest.
  /// @param beyondBound whether newer ones were named longer ago than the deployment allows.
  void countOutdatedBegin(bool beyondBound);
  void observeFirstByte(double seconds);
  void observeWhole(double seconds);
  /// The longest pause between two pieces of a stream.
  void observePause(double seconds);
  void setConfigVersion(double version);
  void setServers(double count);

 private:
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& errors_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& losses_;
  prometheus::Family<prometheus::Counter>& notices_;
  prometheus::Family<prometheus::Counter>& outdatedBegins_;
  prometheus::Counter& dispatches_;
  prometheus::Counter& distantDispatches_;
  prometheus::Counter& retriesDenied_;
  prometheus::Counter& recalls_;
  prometheus::Counter& withdrawn_;
  prometheus::Histogram& firstByte_;
  prometheus::Histogram& whole_;
  prometheus::Histogram& pause_;
  prometheus::Gauge& configVersion_;
  prometheus::Gauge& servers_;
};

}  // namespace calicodrift::forward
