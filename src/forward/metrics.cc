#include "forward/metrics.h"

namespace calicodrift::forward {
namespace {

prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry, const char* name,
                                                  const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Histogram& histogram(prometheus::Registry& registry, const char* name,
                                 const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(
      {}, metrics::latencyBuckets());
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

ForwardMetrics::ForwardMetrics(prometheus::Registry& registry)
    : requests_(counters(registry, "calicodrift_forward_requests_total",
                         "requests of callers, by kind of route")),
      answers_(counters(registry, "calicodrift_forward_answers_total",
                        "answers to callers, by status; 0 is a broken one")),
      errors_(counters(registry, "calicodrift_forward_errors_total",
                       "requests that ended in an error of this node, by kind")),
      unfinishedAnswers_(counters(registry, "calicodrift_forward_unfinished_answers_total",
                                  "requests that ended with neither a whole answer nor a refusal, "
                                  "by cause")),
      retries_(counters(registry, "calicodrift_forward_retries_total",
                        "requests sent to a further server, by the cause")),
      losses_(counters(registry, "calicodrift_forward_server_losses_total",
                       "servers that stopped getting work, by cause")),
      notices_(counters(registry, "calicodrift_forward_server_notices_total",
                        "heads of servers' answers that said something of the server, by what")),
      refusalsOfFull_(counters(registry, "calicodrift_forward_refusals_of_full_servers_total",
                               "refusals of servers that fail if they have to refuse many, by what "
                               "was known of the server when the request was sent")),
      departuresBeforeSend_(counters(registry, "calicodrift_forward_departures_before_send_total",
                                     "requests that a server was about to get when their callers "
                                     "had left already, by the wait in which they left")),
      outdatedStarts_(counters(registry, "calicodrift_forward_outdated_begins_total",
                               "requests that began on weights that were not the newest, by "
                               "whether that was later than the deployment allows")),
      answerEnds_(counters(registry, "calicodrift_forward_answer_ends_total",
                           "ends of servers' answers: framed, confirmed by the server where only "
                           "the connection ended, or why the answer is taken for broken off")),
      crashFollowUps_(counters(registry, "calicodrift_forward_crash_follow_ups_total",
                               "server runs that were checked again after answers had broken off "
                               "there, by what was found")),
      dispatches_(
          counters(registry, "calicodrift_forward_dispatches_total", "requests sent to a server")
              .Add({})),
      distantDispatches_(counters(registry, "calicodrift_forward_distant_dispatches_total",
                                  "requests sent to a server of another region")
                             .Add({})),
      retriesDenied_(counters(registry, "calicodrift_forward_retries_denied_total",
                              "retries that the budget did not allow")
                         .Add({})),
      recalls_(counters(registry, "calicodrift_forward_recalls_total",
                        "requests taken back from servers whose weights ran out before they had "
                        "begun")
                   .Add({})),
      withdrawn_(counters(registry, "calicodrift_forward_withdrawn_calls_total",
                          "calls that were not sent, as their server had left or asked for rest "
                          "since it was chosen")
                     .Add({})),
      surplusAnswers_(counters(registry, "calicodrift_forward_surplus_answers_total",
                               "copies of answers to earlier requests that were skipped")
                          .Add({})),
      firstByte_(histogram(registry, "calicodrift_forward_first_byte_seconds",
                           "from the request to the first byte of the answer")),
      answerTime_(histogram(registry, "calicodrift_forward_whole_seconds",
                            "from the request to the end of the answer")),
      pause_(histogram(registry, "calicodrift_forward_pause_seconds",
                       "longest pause between two pieces of a stream")),
      configVersion_(gauge(registry, "calicodrift_forward_config_version",
                           "version of the configuration in force here")),
      servers_(gauge(registry, "calicodrift_forward_servers", "listed servers")),
      refusedConnections_(
          gauge(registry, "calicodrift_forward_refused_connections",
                "caller connections closed unread because the event loop was late")),
      failedHandlers_(gauge(registry, "calicodrift_forward_failed_handlers",
                            "requests of callers whose handler ended with an exception")) {}

void ForwardMetrics::countRequest(std::string_view kind) {
  requests_.Add({{"kind", std::string(kind)}}).Increment();
}

void ForwardMetrics::countAnswer(unsigned status) {
  answers_.Add({{"status", std::to_string(status)}}).Increment();
}

void ForwardMetrics::countError(std::string_view errorKind) {
  errors_.Add({{"kind", std::string(errorKind)}}).Increment();
}

void ForwardMetrics::countUnfinishedAnswer(std::string_view cause) {
  unfinishedAnswers_.Add({{"cause", std::string(cause)}}).Increment();
}

void ForwardMetrics::countDispatch(bool nearby) {
  dispatches_.Increment();
  if (!nearby) {
    distantDispatches_.Increment();
  }
}

void ForwardMetrics::countRetry(std::string_view cause) {
  retries_.Add({{"cause", std::string(cause)}}).Increment();
}

void ForwardMetrics::countRetryDenied() {
  retriesDenied_.Increment();
}

void ForwardMetrics::countRecalls(std::size_t count) {
  recalls_.Increment(static_cast<double>(count));
}

void ForwardMetrics::countNotice(std::string_view notice) {
  notices_.Add({{"notice", std::string(notice)}}).Increment();
}

void ForwardMetrics::countRefusalOfFull(std::string_view cause) {
  refusalsOfFull_.Add({{"cause", std::string(cause)}}).Increment();
}

void ForwardMetrics::countDepartureBeforeSend(std::string_view wait) {
  departuresBeforeSend_.Add({{"wait", std::string(wait)}}).Increment();
}

void ForwardMetrics::countServerLoss(std::string_view cause) {
  losses_.Add({{"cause", std::string(cause)}}).Increment();
}

void ForwardMetrics::countOutdatedStart(bool beyondBound) {
  outdatedStarts_.Add({{"beyond_bound", beyondBound ? "true" : "false"}}).Increment();
}

void ForwardMetrics::countAnswerEnd(std::string_view end) {
  answerEnds_.Add({{"end", std::string(end)}}).Increment();
}

void ForwardMetrics::countCrashFollowUp(std::string_view result) {
  crashFollowUps_.Add({{"result", std::string(result)}}).Increment();
}

void ForwardMetrics::observeFirstByte(double seconds) {
  firstByte_.Observe(seconds);
}
void ForwardMetrics::observeAnswerTime(double seconds) {
  answerTime_.Observe(seconds);
}
void ForwardMetrics::observePause(double seconds) {
  pause_.Observe(seconds);
}
void ForwardMetrics::setConfigVersion(double version) {
  configVersion_.Set(version);
}
void ForwardMetrics::setServers(double count) {
  servers_.Set(count);
}
void ForwardMetrics::setRefusedConnections(double count) {
  refusedConnections_.Set(count);
}
void ForwardMetrics::setFailedHandlers(double count) {
  failedHandlers_.Set(count);
}

}  // namespace calicodrift::forward
