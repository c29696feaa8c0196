#include "quarantine/quarantine_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

#include "http/status.h"
#include "log/log.h"
#include "peer/http_call.h"

namespace calicodrift::quarantine {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Retry interval while the parent has not read the records itself.
constexpr Milliseconds kStartInterval{100};
/// Retry delay suggested to a refused caller: the current attempt is likely to have ended by then.
constexpr Milliseconds kTrialRetryAfter{500};

Error barred(const RequestFingerprint& request, std::size_t count) {
  return fail(
      ErrorKind::kRequestBarred,
      std::to_string(count) + " servers have crashed while running request " + toString(request));
}

Error underWay(const RequestFingerprint& request, std::string_view reason) {
  Error error =
      fail(ErrorKind::kTrialUnderWay, std::string(reason) + ": request " + toString(request));
  error.retryAfter = kTrialRetryAfter;
  return error;
}

std::string_view nameOf(Standing standing) {
  switch (standing) {
    case Standing::kClear:
      return "clear";
    case Standing::kSuspect:
      return "suspect";
    case Standing::kBarred:
      break;
  }
  return "barred";
}

}  // namespace

QuarantineNode::QuarantineNode(QuarantineContext context, store::ObjectStore& store,
                               std::string recordKind, QuarantineMetrics& metrics,
                               Records::UnreadableListener onUnreadable, std::uint64_t seed)
    : context_(std::move(context)),
      metrics_(metrics),
      records_(store, std::move(recordKind), ledger_, metrics, std::move(onUnreadable)),
      random_(seed),
      broadcaster_(treeBroadcastContext()) {}

relay::TreeBroadcastContext QuarantineNode::treeBroadcastContext() {
  return {context_.executor, [this] { return neighbours(); }, [this] { return ledger_.version(); },
          [this](Endpoint neighbour, std::uint64_t since, Milliseconds wait, Milliseconds timeout) {
            return push(std::move(neighbour), since, wait, timeout);
          }};
}

void QuarantineNode::start() {
  startedAt_ = monotonicNow();
  asio::co_spawn(context_.executor, run(), asio::detached);
}

awaitable<void> QuarantineNode::run() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    co_await synchronizeWithParent();
    const bool readsRecords = context_.readsStore() || parentIsOlderBuild_;
    if (readsRecords) {
      co_await records_.synchronize();
    }
    settled_ = settled_ || records_.read();
    co_await findOtherTrees();
    broadcaster_.pruneNeighbours();
    broadcaster_.broadcastAsync();
    timer.expires_after(synchronized() ? kInterval : kStartInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> QuarantineNode::findOtherTrees() {
  // Reading the roots of the other trees takes a call each, so it is done only if there is news for
  // them.
  if (context_.otherTrees && context_.tree.isRoot() &&
      ledger_.version() != otherTreeRootsVersion_) {
    otherTreeRootsVersion_ = ledger_.version();
    otherTreeRoots_ = co_await context_.otherTrees();
  }
}

bool QuarantineNode::synchronized() const {
  return settled_ || monotonicNow() - startedAt_ > kMaxStartupTime;
}

awaitable<void> QuarantineNode::synchronizeWithParent() {
  const std::optional<Endpoint> parent = context_.tree.parent();
  const bool isNew = parent && (parent != synchronizedParent_ || !synchronized());
  if (!isNew || (parentIsOlderBuild_ && parent == synchronizedParent_)) {
    co_return;
  }
  SuspectReport report;
  report.fresh = true;
  const Result<SuspectReport> answer = co_await send(*parent, std::move(report), kBroadcastTimeout);
  if (answer) {
    mergeReport(answer.value());
    settled_ = settled_ || answer.value().settled;
  }
  parentIsOlderBuild_ = !answer && answer.error().kind == ErrorKind::kProtocolViolation;
  if (answer || parentIsOlderBuild_) {
    synchronizedParent_ = parent;
  }
}

std::vector<Endpoint> QuarantineNode::neighbours() const {
  const bool isRoot = context_.tree.isRoot();
  return relay::treeNeighbours(context_.tree, isRoot || parentIsOlderBuild_,
                               isRoot ? otherTreeRoots_ : std::vector<Endpoint>());
}

awaitable<bool> QuarantineNode::push(Endpoint neighbour, std::uint64_t since, Milliseconds wait,
                                     Milliseconds timeout) {
  SuspectReport report;
  report.settled = settled_;
  report.waitMs = static_cast<std::uint32_t>(wait.count());
  report.suspects = ledger_.changedSince(since);
  report.starts = ledger_.startsSince(since);
  const Result<SuspectReport> answer =
      co_await send(std::move(neighbour), std::move(report), timeout);
  metrics_.countReport(static_cast<bool>(answer));
  if (answer) {
    mergeReport(answer.value());
  }
  co_return static_cast<bool>(answer);
}

awaitable<Result<SuspectReport>> QuarantineNode::send(Endpoint neighbour, SuspectReport report,
                                                      Milliseconds time) {
  report.sender = context_.tree.endpoint.toString();
  co_return co_await peer::callPeer<SuspectReport>(context_.client, std::move(neighbour),
                                                   kReportPath, std::move(report), time, time);
}

awaitable<void> QuarantineNode::handle(http::Request& request, http::ResponseWriter& writer) {
  if (request.path() == kTrialPath) {
    co_await peer::answerPeer<TrialRequest, TrialReply>(
        request, writer, [this](TrialRequest asked) -> awaitable<TrialReply> {
          merge(asked.suspect);
          co_return decideTrial(asked);
        });
    co_return;
  }
  co_await peer::answerPeer<SuspectReport, SuspectReport>(
      request, writer, [this](SuspectReport report) { return handleReport(std::move(report)); });
}

awaitable<SuspectReport> QuarantineNode::handleReport(SuspectReport report) {
  const std::uint64_t before = ledger_.version();
  mergeReport(report);
  SuspectReport answer;
  answer.sender = context_.tree.endpoint.toString();
  answer.settled = settled_;
  if (report.fresh) {
    answer.suspects = ledger_.changedSince(0);
    answer.starts = ledger_.startsSince(0);
    broadcaster_.setAcknowledged(report.sender, ledger_.version());
  } else {
    broadcaster_.onUpdateFrom(report.sender, before);
  }
  if (ledger_.version() != before) {
    co_await broadcaster_.broadcast(std::min(Milliseconds(report.waitMs), kBroadcastTimeout),
                                    report.sender);
  }
  co_return answer;
}

void QuarantineNode::mergeReport(const SuspectReport& report) {
  for (const ServerStart& start : report.starts) {
    if (ledger_.recordStart(start) && context_.onServerStart) {
      context_.onServerStart(BackendId(start.server), Incarnation(start.started));
    }
  }
  merge(report.suspects);
}

void QuarantineNode::merge(const std::vector<Suspect>& suspects) {
  for (const Suspect& suspect : suspects) {
    const bool wasBarred = ledger_.isBarred(suspect.request);
    if (ledger_.merge(suspect, monotonicNow())) {
      logStandingChange(suspect.request, wasBarred);
    }
  }
}

void QuarantineNode::logStandingChange(const RequestFingerprint& request, bool wasBarred) const {
  const bool isBarred = ledger_.isBarred(request);
  if (isBarred != wasBarred) {
    const Standing standing = ledger_.standingOf(request);
    log::write(log::Level::kWarning, "request_standing",
               {{"request", toString(request)},
                {"standing", std::string(nameOf(standing))},
                {"servers", std::to_string(ledger_.crashCount(request))}});
  }
}

awaitable<void> QuarantineNode::recordCrash(RequestFingerprint request, ServerRun run,
                                            Milliseconds underWay) {
  metrics_.countCrash();
  merge(Suspect{request, {run}, {}, static_cast<std::uint32_t>(underWay.count())});
  co_await broadcaster_.broadcast(kBroadcastTimeout);
}

void QuarantineNode::clearRequest(const RequestFingerprint& request, const std::string& reason) {
  const bool wasBarred = ledger_.isBarred(request);
  if (!ledger_.clear(request)) {
    return;
  }
  log::write(log::Level::kInfo, "request_cleared",
             {{"request", toString(request)}, {"reason", reason}});
  logStandingChange(request, wasBarred);
  broadcaster_.broadcastAsync();
}

awaitable<Result<Trial>> QuarantineNode::admit(RequestFingerprint request,
                                               std::vector<ServerRun> choices, Milliseconds term) {
  const Standing standing = ledger_.standingOf(request);
  if (standing == Standing::kClear) {
    co_return Trial();
  }
  if (standing == Standing::kBarred) {
    metrics_.countBarredRefusal();
    co_return barred(request, ledger_.crashCount(request));
  }
  TrialRequest asked;
  asked.token = random_();
  asked.termMs = static_cast<std::uint32_t>(term.count());
  asked.suspect = ledger_.suspect(request);
  asked.choices = std::move(choices);
  const std::optional<TrialReply> reply = co_await requestTrial(asked);
  if (reply) {
    merge(reply->suspect);
  }
  // Read again, as news may have arrived during the call.
  const std::size_t count = ledger_.crashCount(request);
  const bool isBarred = ledger_.isBarred(request);
  const bool granted = reply && reply->granted;
  if (granted && !isBarred) {
    metrics_.countTrial();
    co_return makeTrial(reply->server, asked);
  }
  if (granted) {
    asio::co_spawn(context_.executor, endTrial(asked), asio::detached);
  }
  if (isBarred) {
    metrics_.countBarredRefusal();
    co_return barred(request, count);
  }
  constexpr std::size_t kMaxCrashesWithoutRoot = 1;
  if (!reply && count <= kMaxCrashesWithoutRoot) {
    metrics_.countTrial();
    co_return Trial(ServerRun(), [] {});
  }
  metrics_.countTrialRefusal();
  co_return underWay(request,
                     reply ? "another attempt is under way" : "no root of the relay tree answers");
}

Trial QuarantineNode::makeTrial(ServerRun server, const TrialRequest& request) {
  return Trial(server, [weak = std::weak_ptr(self_), request] {
    if (const auto self = weak.lock()) {
      QuarantineNode& node = **self;
      asio::co_spawn(node.context_.executor, node.endTrial(request), asio::detached);
    }
  });
}

std::vector<Endpoint> QuarantineNode::admittingRoots() const {
  std::vector<Endpoint> roots = context_.tree.roots();
  if (context_.tree.isRoot()) {
    roots.push_back(context_.tree.endpoint);
  }
  std::sort(roots.begin(), roots.end());
  return roots;
}

awaitable<std::optional<TrialReply>> QuarantineNode::requestTrial(TrialRequest request) {
  if (context_.tree.isAlone()) {
    co_return decideTrial(request);
  }
  const std::vector<Endpoint> roots = admittingRoots();
  for (const Endpoint& root : roots) {
    if (root == context_.tree.endpoint) {
      co_return decideTrial(request);
    }
    const Result<TrialReply> reply = co_await peer::callPeer<TrialReply>(
        context_.client, root, kTrialPath, request, kAdmitTimeout, kAdmitTimeout);
    if (reply) {
      co_return reply.value();
    }
  }
  co_return std::nullopt;
}

TrialReply QuarantineNode::decideTrial(const TrialRequest& request) {
  const RequestFingerprint& fingerprint = request.suspect.request;
  const TrialToken token(request.token);
  const MonotonicTime now = monotonicNow();
  TrialReply reply;
  reply.suspect = ledger_.suspect(fingerprint);
  if (request.ends) {
    trials_.end(fingerprint, token);
    return reply;
  }
  if (ledger_.isBarred(fingerprint)) {
    return reply;
  }
  const auto server =
      trials_.begin(fingerprint, token, request.choices, Milliseconds(request.termMs), now);
  reply.granted = server.has_value();
  reply.server = server.value_or(ServerRun());
  reply.waitMs = static_cast<std::uint32_t>(trials_.remaining(fingerprint, now).count());
  return reply;
}

awaitable<void> QuarantineNode::endTrial(TrialRequest request) {
  request.ends = true;
  request.suspect = ledger_.suspect(request.suspect.request);
  static_cast<void>(co_await requestTrial(std::move(request)));
}

awaitable<void> QuarantineNode::answerOperator(http::Request& request,
                                               http::ResponseWriter& writer) {
  if (request.method == "GET") {
    co_await http::respond(writer, http::jsonResponse(http::kStatusOk, listText()));
    co_return;
  }
  constexpr std::string_view kQuery = "?request=";
  const std::size_t query = request.target.find(kQuery);
  const auto fingerprint =
      query == std::string::npos
          ? std::nullopt
          : parseFingerprint(std::string_view(request.target).substr(query + kQuery.size()));
  if (!fingerprint || !ledger_.contains(*fingerprint)) {
    const Error error = fail(ErrorKind::kNotFound, "this node has no record of the request");
    co_await http::respond(writer, http::errorResponse(error));
    co_return;
  }
  clearRequest(*fingerprint, "operator");
  co_await broadcaster_.broadcast(kBroadcastTimeout);
  co_await http::respond(writer, http::jsonResponse(http::kStatusOk, listText()));
}

std::string QuarantineNode::listText() const {
  boost::json::array list;
  for (const Suspect& suspect : ledger_.atLeast(1)) {
    list.push_back(boost::json::object{{"request", toString(suspect.request)},
                                       {"standing", nameOf(ledger_.standingOf(suspect.request))},
                                       {"servers", ledger_.crashCount(suspect.request)}});
  }
  return boost::json::serialize(boost::json::object{{"requests", list}});
}

void QuarantineNode::showMetrics() {
  metrics_.set(ledger_.size(), ledger_.countBarred(), ledger_.evicted());
}

}  // namespace calicodrift::quarantine
