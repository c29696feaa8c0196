#include "quarantine/quarantine_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <set>
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

/// Kind of the stored records of parts: that of requests with this appended.
constexpr std::string_view kPartKindSuffix = "-parts";

Error underWay(const RequestTraits& traits, std::string_view reason) {
  Error error = fail(ErrorKind::kTrialUnderWay,
                     std::string(reason) + ": request " + toString(traits.request));
  error.retryAfter = kTrialRetryAfter;
  return error;
}

std::vector<PartFingerprint> partsOf(const std::vector<PartSuspect>& suspects) {
  std::vector<PartFingerprint> parts;
  parts.reserve(suspects.size());
  for (const PartSuspect& suspect : suspects) {
    parts.push_back(suspect.part);
  }
  return parts;
}

/// Age of a crash in milliseconds, for a message.
std::uint32_t ageMsOf(MonotonicTime crashed, MonotonicTime now) {
  constexpr Milliseconds kMaxAge{std::chrono::hours(24)};
  const auto age = std::chrono::floor<Milliseconds>(now - crashed);
  return static_cast<std::uint32_t>(std::clamp(age, Milliseconds(0), kMaxAge).count());
}

}  // namespace

QuarantineNode::QuarantineNode(QuarantineContext context, store::ObjectStore& store,
                               const std::string& recordKind, QuarantineMetrics& metrics,
                               const Records::UnreadableListener& onUnreadable, std::uint64_t seed)
    : context_(std::move(context)),
      metrics_(metrics),
      records_(store, recordKind, requestSource_, metrics, onUnreadable),
      partRecords_(store, recordKind + std::string(kPartKindSuffix), partSource_, metrics,
                   onUnreadable),
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
      co_await partRecords_.synchronize();
    }
    settled_ = settled_ || (records_.read() && partRecords_.read());
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
  addChanges(report, since);
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
          for (const PartSuspect& part : asked.triedParts) {
            merge(part);
          }
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
    addChanges(answer, 0);
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
  const MonotonicTime now = monotonicNow();
  for (const CrashAge& crash : report.crashAges) {
    const MonotonicTime at = now - Milliseconds(crash.ageMs);
    ledger_.recordCrashTime(crash.run, at);
    parts_.recordCrashTime(crash.run, at);
  }
  for (const Suspect& suspect : report.suspects) {
    merge(suspect);
  }
  for (const PartSuspect& part : report.parts) {
    merge(part);
  }
}

void QuarantineNode::addChanges(SuspectReport& report, std::uint64_t since) const {
  report.suspects = ledger_.changedSince(since);
  report.starts = ledger_.startsSince(since);
  report.parts = parts_.changedSince(since);
  std::set<ServerRun> runs;
  for (const Suspect& suspect : report.suspects) {
    runs.insert(suspect.ended.begin(), suspect.ended.end());
  }
  for (const PartSuspect& part : report.parts) {
    for (const PartCrash& crash : part.crashes) {
      runs.insert(crash.run);
    }
  }
  const MonotonicTime now = monotonicNow();
  for (const ServerRun run : runs) {
    const std::optional<MonotonicTime> at = parts_.crashTime(run);
    if (at && *at != kUnknownCrashTime) {
      report.crashAges.push_back({run, ageMsOf(*at, now)});
    }
  }
}

void QuarantineNode::merge(const Suspect& suspect) {
  const bool wasBarred = ledger_.isBarred(suspect.request);
  const MonotonicTime now = monotonicNow();
  for (const ServerRun run : suspect.ended) {
    parts_.recordCrashTime(run, now);
  }
  if (ledger_.merge(suspect, now)) {
    logStandingChange(suspect.request, wasBarred);
  }
}

void QuarantineNode::merge(const PartSuspect& suspect) {
  const Standing before = parts_.standingOf(suspect.part);
  if (parts_.merge(suspect, monotonicNow())) {
    logStandingChange(suspect.part, before);
  }
}

void QuarantineNode::logStandingChange(const RequestFingerprint& request, bool wasBarred) const {
  const bool isBarred = ledger_.isBarred(request);
  if (isBarred != wasBarred) {
    const Standing standing = ledger_.standingOf(request);
    log::write(log::Level::kWarning, "request_standing",
               {{"request", toString(request)},
                {"standing", std::string(toString(standing))},
                {"servers", std::to_string(ledger_.crashCount(request))}});
  }
}

void QuarantineNode::logStandingChange(const PartFingerprint& part, Standing before) const {
  const Standing standing = parts_.standingOf(part);
  if (standing != before) {
    log::write(log::Level::kWarning, "part_standing",
               {{"part", toString(part)},
                {"standing", std::string(toString(standing))},
                {"servers", std::to_string(parts_.crashCount(part))}});
  }
}

awaitable<void> QuarantineNode::recordCrash(CrashedRequest crashed, fleet::Server server) {
  const ServerRun run = runOf(server);
  metrics_.countCrash();
  merge(Suspect{crashed.request, {run}, {}, static_cast<std::uint32_t>(crashed.underWay.count())});
  recordPartCrashes(crashed, server);
  co_await broadcaster_.broadcast(kBroadcastTimeout);
}

void QuarantineNode::recordPartCrashes(const CrashedRequest& crashed, const fleet::Server& server) {
  const MonotonicTime now = monotonicNow();
  const auto wasServed = [this, now](const PartFingerprint& part) {
    return servedParts_.contains(part, now);
  };
  // The last part is the request's own, and was not served before for that reason.
  const bool holdsUnservedPart =
      crashed.parts.size() > 1 &&
      !std::all_of(crashed.parts.begin(), std::prev(crashed.parts.end()), wasServed);
  for (const PartFingerprint& part : crashed.parts) {
    const bool isTried = std::find(crashed.triedParts.begin(), crashed.triedParts.end(), part) !=
                         crashed.triedParts.end();
    const bool servedBefore = wasServed(part);
    const PartCrash crash{runOf(server),
                          {shortDigest(crashed.request)},
                          isTried && !(servedBefore && holdsUnservedPart),
                          versionIsSound(part, server),
                          servedBefore};
    const Standing before = parts_.standingOf(part);
    if (parts_.recordCrash(part, crash, now)) {
      logStandingChange(part, before);
    }
  }
}

bool QuarantineNode::versionIsSound(const PartFingerprint& part,
                                    const fleet::Server& server) const {
  const std::optional<MonotonicTime> firstCrash = parts_.firstCrash(part);
  const std::optional<MonotonicTime> lastAnswer = soundAnswers_.last(serviceVersionOf(server));
  return firstCrash && lastAnswer && *lastAnswer > *firstCrash;
}

void QuarantineNode::recordSoundParts(const std::vector<PartFingerprint>& parts) {
  const MonotonicTime now = monotonicNow();
  for (std::size_t index = 0; index < parts.size(); ++index) {
    const bool isShared = index + 1 < parts.size();
    if (isShared) {
      servedParts_.record(parts[index], now);
    }
    clearPart(parts[index], "served");
  }
}

void QuarantineNode::clearPart(const PartFingerprint& part, const std::string& reason) {
  const Standing before = parts_.standingOf(part);
  if (!parts_.clear(part)) {
    return;
  }
  if (before != Standing::kClear) {
    log::write(log::Level::kInfo, "part_cleared", {{"part", toString(part)}, {"reason", reason}});
    logStandingChange(part, before);
  }
  broadcaster_.broadcastAsync();
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

bool QuarantineNode::needsAdmission(const RequestTraits& traits) const {
  if (ledger_.contains(traits.request)) {
    return true;
  }
  const PartVerdict verdict = parts_.judge(traits.parts);
  return verdict.barred || !verdict.suspects.empty();
}

Error QuarantineNode::barredError(const RequestFingerprint& request) {
  metrics_.countBarredRefusal();
  return fail(ErrorKind::kRequestBarred, std::to_string(ledger_.crashCount(request)) +
                                             " servers have crashed while running request " +
                                             toString(request));
}

Error QuarantineNode::barredError(const PartFingerprint& part) {
  metrics_.countBarredPartRefusal();
  return fail(ErrorKind::kRequestBarred, std::to_string(parts_.crashCount(part)) +
                                             " servers have crashed while running requests with "
                                             "the prompt part " +
                                             toString(part));
}

awaitable<Result<Trial>> QuarantineNode::admit(RequestTraits traits, std::vector<ServerRun> choices,
                                               Milliseconds term) {
  const Standing standing = ledger_.standingOf(traits.request);
  const PartVerdict before = parts_.judge(traits.parts);
  if (standing == Standing::kBarred) {
    co_return barredError(traits.request);
  }
  if (before.barred) {
    co_return barredError(*before.barred);
  }
  if (standing == Standing::kClear && before.suspects.empty()) {
    co_return Trial();
  }
  if (standing == Standing::kSuspect && !before.suspects.empty()) {
    // Another crash under the same request would not tell more about its parts.
    metrics_.countTrialRefusal();
    co_return underWay(traits,
                       "a server has crashed under it, and a part of its prompt is suspect");
  }
  TrialRequest asked;
  asked.token = random_();
  asked.termMs = static_cast<std::uint32_t>(term.count());
  asked.suspect = ledger_.suspect(traits.request);
  asked.choices = std::move(choices);
  asked.parts = traits.parts;
  for (const PartFingerprint& part : before.suspects) {
    asked.triedParts.push_back(parts_.suspect(part));
  }
  const std::optional<TrialReply> reply = co_await requestTrial(asked);
  if (reply) {
    merge(reply->suspect);
    for (const PartSuspect& part : reply->triedParts) {
      merge(part);
    }
  }
  // Read again, as news may have arrived during the call.
  const std::size_t count = ledger_.crashCount(traits.request);
  const bool isBarred = ledger_.isBarred(traits.request);
  const PartVerdict verdict = parts_.judge(traits.parts);
  // A root of a build without parts admits attempts by their requests only.
  const bool decidesParts = reply && reply->form >= kFormWithParts;
  const bool granted = reply && reply->granted;
  if (granted && !isBarred && !verdict.barred && (verdict.suspects.empty() || decidesParts)) {
    metrics_.countTrial();
    co_return makeTrial(reply->server, asked);
  }
  if (granted) {
    asio::co_spawn(context_.executor, endTrial(asked), asio::detached);
  }
  if (isBarred) {
    co_return barredError(traits.request);
  }
  if (verdict.barred) {
    co_return barredError(*verdict.barred);
  }
  constexpr std::size_t kMaxCrashesWithoutRoot = 1;
  if (!reply && count <= kMaxCrashesWithoutRoot && verdict.suspects.empty()) {
    metrics_.countTrial();
    co_return Trial(ServerRun(), {}, [] {});
  }
  metrics_.countTrialRefusal();
  co_return underWay(traits,
                     reply ? "another attempt is under way" : "no root of the relay tree answers");
}

Trial QuarantineNode::makeTrial(ServerRun server, const TrialRequest& request) {
  return Trial(server, partsOf(request.triedParts), [weak = std::weak_ptr(self_), request] {
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
  reply.triedParts.reserve(request.triedParts.size());
  for (const PartSuspect& part : request.triedParts) {
    reply.triedParts.push_back(parts_.suspect(part.part));
  }
  const Traits traits(fingerprint, partsOf(request.triedParts));
  if (request.ends) {
    trials_.end(traits, token);
    return reply;
  }
  if (ledger_.isBarred(fingerprint) || parts_.judge(request.parts).barred) {
    return reply;
  }
  const auto server =
      trials_.begin(traits, token, request.choices, Milliseconds(request.termMs), now);
  reply.granted = server.has_value();
  reply.server = server.value_or(ServerRun());
  reply.waitMs = static_cast<std::uint32_t>(trials_.remaining(traits, now).count());
  return reply;
}

awaitable<void> QuarantineNode::endTrial(TrialRequest request) {
  request.ends = true;
  request.suspect = ledger_.suspect(request.suspect.request);
  for (PartSuspect& part : request.triedParts) {
    part = parts_.suspect(part.part);
  }
  static_cast<void>(co_await requestTrial(std::move(request)));
}

awaitable<void> QuarantineNode::answerOperator(http::Request& request,
                                               http::ResponseWriter& writer) {
  if (request.method == "GET") {
    co_await http::respond(writer, http::jsonResponse(http::kStatusOk, listText()));
    co_return;
  }
  if (!liftBar(request.target)) {
    const Error error =
        fail(ErrorKind::kNotFound, "this node has no record of the request or part");
    co_await http::respond(writer, http::errorResponse(error));
    co_return;
  }
  co_await broadcaster_.broadcast(kBroadcastTimeout);
  co_await http::respond(writer, http::jsonResponse(http::kStatusOk, listText()));
}

bool QuarantineNode::liftBar(std::string_view target) {
  constexpr std::string_view kRequestQuery = "?request=";
  constexpr std::string_view kPartQuery = "?part=";
  if (const std::size_t query = target.find(kRequestQuery); query != std::string_view::npos) {
    const auto request = parseFingerprint(target.substr(query + kRequestQuery.size()));
    if (request && ledger_.contains(*request)) {
      clearRequest(*request, "operator");
      return true;
    }
  }
  if (const std::size_t query = target.find(kPartQuery); query != std::string_view::npos) {
    const auto part = parsePartFingerprint(target.substr(query + kPartQuery.size()));
    if (part && parts_.contains(*part)) {
      clearPart(*part, "operator");
      return true;
    }
  }
  return false;
}

std::string QuarantineNode::listText() const {
  boost::json::array requests;
  for (const Suspect& suspect : ledger_.atLeast(1)) {
    requests.push_back(
        boost::json::object{{"request", toString(suspect.request)},
                            {"standing", toString(ledger_.standingOf(suspect.request))},
                            {"servers", ledger_.crashCount(suspect.request)}});
  }
  boost::json::array parts;
  for (const PartSuspect& suspect : parts_.suspects()) {
    parts.push_back(boost::json::object{{"part", toString(suspect.part)},
                                        {"standing", toString(parts_.standingOf(suspect.part))},
                                        {"servers", parts_.crashCount(suspect.part)}});
  }
  return boost::json::serialize(
      boost::json::object{{"requests", std::move(requests)}, {"parts", std::move(parts)}});
}

void QuarantineNode::showMetrics() {
  metrics_.set({ledger_.size(), ledger_.countBarred(), ledger_.evicted()});
  metrics_.setParts({parts_.size(), parts_.countBarred(), parts_.evicted()});
}

}  // namespace calicodrift::quarantine
