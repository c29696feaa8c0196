#pragma once

#include "metrics/metrics.h"

namespace calicodrift::forward {

/// Metrics of the data path.
class ForwardMetrics {
 public:
  explicit ForwardMetrics(prometheus::Registry& registry);

  void countRequest(std::string_view kind);
  /// @param status status of the answer that the caller received; 0 if none was complete.
  void countAnswer(unsigned status);
  void countError(std::string_view errorKind);
  /// Counts a request whose connection ended with neither a whole answer nor a refusal, by cause.
  void countUnfinishedAnswer(std::string_view cause);
  /// @param nearby whether the server is in this node's region.
  void countDispatch(bool nearby);
  void countRetry(std::string_view cause);
  void countRetryDenied();
  /// Counts requests recalled from servers whose weights expired before they had begun.
  void countRecalls(std::size_t count);
  void countServerLoss(std::string_view cause);
  /// Counts a notice in the head of a server's answer: "leaving", "rest" or "unreadable".
  void countNotice(std::string_view notice);
  /// Counts a refusal of a server that fails if it has to refuse many, by what this node knew when
  /// it sent the request: "trial" for the first one after a pause, "refusal_heard_late" if another
  /// refusal became known after it was sent, "load_unknown", or "room_unknown".
  void countRefusalOfFull(std::string_view cause);
  /// Counts a call that was not sent because its server left, or asked for rest, after it was
  /// chosen.
  void countWithdrawn() { withdrawn_.Increment(); }
  /// Counts a copy of an answer to an earlier request that came before the answer that was due.
  void countSurplusAnswer() { surplusAnswers_.Increment(); }
  /// Counts a request that a server was about to get when its caller had left already, by the wait
  /// in which it left.
  void countDepartureBeforeSend(std::string_view wait);
  /// Counts a request that a server began on weights that are not the newest.
  /// @param beyondBound whether newer ones were named longer ago than the deployment allows.
  void countOutdatedStart(bool beyondBound);
  /// Counts the end of a server's answer: "framed", "confirmed", or why it is not proven.
  void countAnswerEnd(std::string_view end);
  /// Counts a server run that was checked again after answers had broken off there, by what was
  /// found: "running", "ended", "undecided", or "left_out" if too many were being checked.
  void countCrashFollowUp(std::string_view result);
  void observeFirstByte(double seconds);
  void observeAnswerTime(double seconds);
  /// Records the longest pause between two chunks of a stream, in seconds.
  void observePause(double seconds);
  void setConfigVersion(double version);
  void setServers(double count);
  /// Caller connections that were closed unread because the event loop was late.
  void setRefusedConnections(double count);
  /// Requests of callers whose handler ended with an exception.
  void setFailedHandlers(double count);

 private:
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& errors_;
  prometheus::Family<prometheus::Counter>& unfinishedAnswers_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& losses_;
  prometheus::Family<prometheus::Counter>& notices_;
  prometheus::Family<prometheus::Counter>& refusalsOfFull_;
  prometheus::Family<prometheus::Counter>& departuresBeforeSend_;
  prometheus::Family<prometheus::Counter>& outdatedStarts_;
  prometheus::Family<prometheus::Counter>& answerEnds_;
  prometheus::Family<prometheus::Counter>& crashFollowUps_;
  prometheus::Counter& dispatches_;
  prometheus::Counter& distantDispatches_;
  prometheus::Counter& retriesDenied_;
  prometheus::Counter& recalls_;
  prometheus::Counter& withdrawn_;
  prometheus::Counter& surplusAnswers_;
  prometheus::Histogram& firstByte_;
  prometheus::Histogram& answerTime_;
  prometheus::Histogram& pause_;
  prometheus::Gauge& configVersion_;
  prometheus::Gauge& servers_;
  prometheus::Gauge& refusedConnections_;
  prometheus::Gauge& failedHandlers_;
};

}  // namespace calicodrift::forward
