#include "forward/server_calls.h"

#include <algorithm>
#include <cmath>

#include "common/hashing.h"
#include "http/status.h"
#include "log/log.h"

namespace calicodrift::forward {
namespace {

using boost::asio::awaitable;

/// Interval over which nodes spread their first calls after a rest that ends for all of them at the
/// same time.
constexpr Milliseconds kRestEndSpread{200};
/// Bounds of the pause of a server that fails if it has to refuse many requests.
constexpr Milliseconds kShortestFullPause{150};
constexpr Milliseconds kLongestFullPause{2000};
/// Surplus answers before the own one; more look like a server that has lost its order.
constexpr std::size_t kMaxSurplusAnswers = 4;
/// Limits the memory for servers that were already logged; beyond it, servers are logged again.
constexpr std::size_t kMaxLoggedRuns = 4096;

/// Records the arrival of an answer's bytes for its call, which ends with the stream.
class TrackedStream : public http::ResponseStream {
 public:
  TrackedStream(std::unique_ptr<http::ResponseStream> stream,
                std::shared_ptr<server_paths::CallInFlight> call, server_paths::ServerPaths& paths)
      : stream_(std::move(stream)), call_(std::move(call)), paths_(paths) {}

  const http::Response& head() const override { return stream_->head(); }
  bool hasAnswered(http::RequestKey request) const override {
    return stream_->hasAnswered(request);
  }
  awaitable<Result<void>> skipAnswer() override { return stream_->skipAnswer(); }
  awaitable<Result<http::BodyPiece>> read() override {
    Result<http::BodyPiece> piece = co_await stream_->read();
    if (!piece) {
      co_return paths_.explainFailure(*call_, piece.error());
    }
    paths_.recordBytes(*call_);
    co_return piece;
  }
  std::optional<http::Tunnel> tunnel() const override { return stream_->tunnel(); }
  void setBodyTimeout(Milliseconds timeout) override { stream_->setBodyTimeout(timeout); }
  void noteRefusal() override { stream_->noteRefusal(); }
  void cancel() override { stream_->cancel(); }

 private:
  std::unique_ptr<http::ResponseStream> stream_;
  std::shared_ptr<server_paths::CallInFlight> call_;
  server_paths::ServerPaths& paths_;
};

Error withdrawnError(const fleet::Server& server, const std::string& cause) {
  return fail(ErrorKind::kServerWithdrawn, "server '" + server.id.value() + "' " + cause);
}

}  // namespace

server_paths::PathOptions ServerCalls::pathOptions(const fleet::Server& server,
                                                   const http::ExchangeOptions& options,
                                                   CallPurpose purpose) const {
  server_paths::PathOptions path;
  path.use = options.connection;
  // Servers take the machine that an order comes from for its holder.
  path.relay = purpose == CallPurpose::kOrder ? server_paths::RelayUse::kNever
                                              : server_paths::RelayUse::kAllowed;
  path.connectTimeout = options.connectTimeout;
  path.unacknowledgedTimeout = options.unacknowledgedTimeout;
  path.rttMs = context_.pool.rttMsTo(server, monotonicNow());
  path.request = options.request;
  path.canceller = options.canceller;
  return path;
}

awaitable<Result<std::unique_ptr<http::ResponseStream>>> ServerCalls::open(
    const fleet::Server& server, http::Request request, http::ExchangeOptions options,
    CallPurpose purpose, server_paths::MovePermission mayMove, SendCheck mayBeSent) {
  // No connection is made for a call that may not begin.
  if (const Result<void> allowed = mayBegin(server, purpose); !allowed) {
    context_.metrics.countWithdrawn();
    co_return allowed.error();
  }
  Result<http::ClientConnection> connection =
      co_await context_.paths.connect(server.endpoint, pathOptions(server, options, purpose));
  if (!connection) {
    co_return connection.error();
  }
  const http::ConnectionPath path = connection.value().path();
  if (options.connectTime != nullptr && path.direct() && connection.value().connectTime()) {
    *options.connectTime = connection.value().connectTime();
  }
  if (const Result<void> allowed = mayBegin(server, purpose); !allowed) {
    context_.metrics.countWithdrawn();
    context_.client.release(connection.value());
    co_return allowed.error();
  }
  if (const Result<void> allowed = mayBeSent ? mayBeSent(request) : boost::outcome_v2::success();
      !allowed) {
    if (allowed.error().kind == ErrorKind::kServerWithdrawn) {
      context_.metrics.countWithdrawn();
    }
    context_.client.release(connection.value());
    co_return allowed.error();
  }
  SendState sent{context_.limits.versionOf(server), context_.limits.refusalVersionOf(server),
                 monotonicNow()};
  sent.load = context_.pool.knownLoad(server.id);
  sent.isTrial = context_.pool.recordSent(server.id, sent.at);
  auto call = context_.paths.beginCall(path, std::move(mayMove), options.canceller);
  auto opened =
      co_await context_.client.send(std::move(connection.value()), std::move(request), options);
  if (!opened) {
    co_return context_.paths.explainFailure(*call, opened.error());
  }
  context_.paths.recordBytes(*call);
  if (const Result<void> own =
          co_await skipSurplusAnswers(server, *opened.value(), options.request);
      !own) {
    co_return context_.paths.explainFailure(*call, own.error());
  }
  processHead(server, sent, opened.value()->head());
  co_return std::make_unique<TrackedStream>(std::move(opened.value()), std::move(call),
                                            context_.paths);
}

awaitable<Result<void>> ServerCalls::skipSurplusAnswers(const fleet::Server& server,
                                                        http::ResponseStream& stream,
                                                        http::RequestKey own) {
  for (std::size_t skipped = 0; skipped < kMaxSurplusAnswers; ++skipped) {
    const std::string id = context_.protocol.requestIdOf(stream.head());
    const http::RequestKey answered(hashBytes(id));
    const bool surplus = !id.empty() && answered != own && stream.hasAnswered(answered);
    if (!surplus) {
      break;
    }
    context_.metrics.countSurplusAnswer();
    log::write(log::Level::kInfo, "surplus_answer_skipped",
               {{"server", server.id.value()}, {"of_request", id}});
    Result<void> next = co_await stream.skipAnswer();
    if (!next) {
      co_return next;
    }
  }
  co_return boost::outcome_v2::success();
}

awaitable<Result<http::Response>> ServerCalls::exchange(const fleet::Server& server,
                                                        http::Request request,
                                                        http::ExchangeOptions options,
                                                        CallPurpose purpose, SendCheck mayBeSent) {
  http::boundToShortAnswer(options);
  auto opened =
      co_await open(server, std::move(request), options, purpose, {}, std::move(mayBeSent));
  if (!opened) {
    co_return opened.error();
  }
  co_return co_await http::readWhole(*opened.value(), options.unframedBody);
}

Result<void> ServerCalls::mayBegin(const fleet::Server& server, CallPurpose purpose) const {
  if (const auto until = context_.pool.backoffs().excludedUntil(server.id, monotonicNow())) {
    return withdrawnError(server, "has asked to receive no requests for now");
  }
  if (purpose == CallPurpose::kQuery) {
    return boost::outcome_v2::success();
  }
  const fleet::Server* listed = context_.pool.find(server.id);
  if (listed == nullptr || listed->started != server.started) {
    return withdrawnError(server, "is no longer listed");
  }
  if (listed->draining) {
    return withdrawnError(server, "leaves");
  }
  const bool lacksUnit = purpose == CallPurpose::kRequest && context_.limits.any() &&
                         context_.limits.isLimited(server);
  if (lacksUnit) {
    return withdrawnError(server, "has announced a request limit since it was chosen");
  }
  return boost::outcome_v2::success();
}

void ServerCalls::processHead(const fleet::Server& server, const SendState& sent,
                              const http::Response& head) {
  if (!context_.protocol.isFromServer(server, head)) {
    return;
  }
  context_.pool.recordHeard(server.id, monotonicNow());
  const ServerNotices notices = context_.protocol.noticesOf(head);
  context_.limits.recordAnswerHead(server, sent.limit, notices.requestLimit);
  context_.limits.recordRefusalLimit(server, sent.refusalLimit, notices.refusalLimit);
  if (!notices.unreadable.empty()) {
    handleUnreadable(server, notices.unreadable);
  }
  if (notices.leaving) {
    handleLeaving(server, head);
  }
  const bool refused =
      head.status == http::kStatusUnavailable || head.status == http::kStatusTooManyRequests;
  const bool isSpared = notices.refusalLimit && notices.refusalLimit.value();
  if (isSpared && refused && !notices.rest) {
    handleFull(server, *notices.refusalLimit.value(), sent, head);
  } else if (notices.rest) {
    handleRest(server, *notices.rest, head);
  } else {
    context_.pool.recordAnswered(server.id, sent.at, monotonicNow());
  }
}

void ServerCalls::handleLeaving(const fleet::Server& server, const http::Response& head) {
  context_.metrics.countNotice("leaving");
  if (!context_.pool.recordLeaving(fleet::keyOf(server), monotonicNow())) {
    return;
  }
  log::write(log::Level::kInfo, "server_says_it_leaves",
             {{"server", server.id.value()},
              {"run", std::to_string(fleet::incarnationOf(server).value())},
              {"status", std::to_string(head.status)}});
  context_.limits.announceLeaving();
}

void ServerCalls::handleRest(const fleet::Server& server, Milliseconds rest,
                             const http::Response& head) {
  context_.metrics.countNotice("rest");
  std::uniform_int_distribution<std::int64_t> spread(0, kRestEndSpread.count());
  const MonotonicTime now = monotonicNow();
  context_.pool.recordBackoff(server.id, now + rest + Milliseconds(spread(random_)), now);
  log::write(log::Level::kInfo, "server_asks_for_rest",
             {{"server", server.id.value()},
              {"status", std::to_string(head.status)},
              {"ms", std::to_string(rest.count())}});
}

void ServerCalls::reportFull(const fleet::Server& server, const SendState& sent,
                             const http::Response& head) {
  const MonotonicTime now = monotonicNow();
  const auto ageOf = [now](std::optional<MonotonicTime> since) {
    return since ? std::to_string(std::chrono::floor<Milliseconds>(now - *since).count()) : "";
  };
  const std::optional<MonotonicTime> refusalHeardAt =
      context_.pool.full().addedAt(fleet::keyOf(server), now);
  std::string_view cause = "room_unknown";
  if (sent.isTrial) {
    cause = "trial";
  } else if (refusalHeardAt && *refusalHeardAt > sent.at) {
    cause = "refusal_heard_late";
  } else if (!sent.load.reportedAt) {
    cause = "load_unknown";
  }
  context_.metrics.countRefusalOfFull(cause);
  log::write(log::Level::kInfo, "server_refused_when_full",
             {{"server", server.id.value()},
              {"status", std::to_string(head.status)},
              {"cause", std::string(cause)},
              {"sent_ms", ageOf(sent.at)},
              {"own_load", std::to_string(sent.load.own)},
              {"others_load", std::to_string(sent.load.others)},
              {"load_age_ms", ageOf(sent.load.reportedAt)},
              {"refusal_heard_ms", ageOf(refusalHeardAt)}});
}

void ServerCalls::handleFull(const fleet::Server& server, double refusalLimit,
                             const SendState& sent, const http::Response& head) {
  context_.metrics.countNotice("full");
  reportFull(server, sent, head);
  // For nodes that know no permits: one or so tries the server after each pause.
  constexpr double kMsPerSecond = 1000;
  constexpr double kTriesPerLimit = 0.75;
  const double pauseMs = kMsPerSecond / std::max(kTriesPerLimit * refusalLimit, 1e-3);
  const Milliseconds pause = std::clamp(Milliseconds(std::llround(std::min(pauseMs, 1e6))),
                                        kShortestFullPause, kLongestFullPause);
  if (!context_.limits.recordFull(server, pause)) {
    return;
  }
  log::write(log::Level::kInfo, "server_full",
             {{"server", server.id.value()},
              {"status", std::to_string(head.status)},
              {"pause_ms", std::to_string(pause.count())}});
}

void ServerCalls::handleUnreadable(const fleet::Server& server, const std::vector<Error>& errors) {
  context_.metrics.countNotice("unreadable");
  if (loggedUnreadable_.size() >= kMaxLoggedRuns) {
    loggedUnreadable_.clear();
  }
  if (!loggedUnreadable_.insert(fleet::keyOf(server)).second) {
    return;
  }
  for (const Error& error : errors) {
    log::write(log::Level::kWarning, "server_notice_unreadable",
               {{"server", server.id.value()}, {"cause", error.detail}});
  }
}

}  // namespace calicodrift::forward
