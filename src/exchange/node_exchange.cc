#include "exchange/node_exchange.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cmath>

#include "peer/http_call.h"

namespace calicodrift::exchange {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Key of the current parent, whichever relay it is: what one parent was sent need not be sent to
/// the next.
constexpr const char* kParent = "parent";
/// Encoded size of the key and the numbers of one server in a report; the numbers are mostly small.
constexpr double kEntryBytes = 14;
constexpr double kMsPerSecond = 1000;

}  // namespace

Milliseconds intervalFor(const NodeExchangeSettings& settings, std::size_t servers) {
  const double bytes = kEntryBytes * static_cast<double>(servers);
  const Milliseconds required(std::llround(bytes / settings.bytesPerSecond * kMsPerSecond));
  return std::clamp(required, settings.minInterval, settings.maxInterval);
}

std::size_t maxReportedServers(const NodeExchangeSettings& settings) {
  const double seconds = toMilliseconds(settings.maxInterval) / kMsPerSecond;
  return static_cast<std::size_t>(settings.bytesPerSecond * seconds / kEntryBytes);
}

NodeExchange::NodeExchange(NodeExchangeContext context, NodeExchangeSettings settings)
    : context_(std::move(context)),
      settings_(std::move(settings)),
      table_(settings_.term),
      observations_(settings_.term) {}

void NodeExchange::start() {
  if (settings_.endpoint.port != 0) {
    asio::co_spawn(context_.executor, run(), asio::detached);
  }
}

awaitable<void> NodeExchange::run() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    timer.expires_after(interval(monotonicNow()));
    co_await timer.async_wait(asio::use_awaitable);
    if (const std::optional<Endpoint> relay = context_.relay()) {
      co_await reportTo(*relay);
    } else if (context_.isRelay()) {
      runRelayInterval();
    } else {
      context_.onOtherLoads({});
      observations_.removeParent();
      publishObservations(monotonicNow());
    }
  }
}

void NodeExchange::runRelayInterval() {
  const MonotonicTime now = monotonicNow();
  table_.expire(now);
  table_.removeGroup(kParent);
  observations_.expire(now);
  observations_.removeParent();
  collectSaves();
  for (const Endpoint& other : context_.otherRelays()) {
    if (shouldInitiate(other, now)) {
      asio::co_spawn(context_.executor, exchangeWith(other), asio::detached);
    }
  }
  fleet::ServerLoads others = table_.followers("", now);
  addLoads(others, table_.groups(now));
  servers_ = others.size();
  context_.onOtherLoads(others);
  publishObservations(now);
}

bool NodeExchange::shouldInitiate(const Endpoint& other, MonotonicTime now) const {
  // It is enough for one of two relays to initiate. If the other relay does not know this one yet,
  // it does not initiate.
  constexpr int kUnresponsiveIntervals = 2;
  const auto lastReport = lastReportAt_.find(other.toString());
  const bool unresponsive =
      lastReport == lastReportAt_.end() ||
      now - lastReport->second > kUnresponsiveIntervals * settings_.maxInterval;
  return settings_.endpoint < other || unresponsive;
}

awaitable<void> NodeExchange::reportTo(Endpoint parent) {
  table_.expire(monotonicNow());
  observations_.expire(monotonicNow());
  collectSaves();
  SaveBatch batch = saves_.pendingFor(kParent, true);
  ExchangeReport report;
  report.sender = settings_.node;
  report.noAnswerYet = !answerReceived_;
  report.entries = toEntries(group(""));
  report.saves = std::move(batch.parts);
  report.namings = toEntries(context_.namings());
  report.observations = ObservationMessage(groupObservations(""));
  Result<ExchangeReport> answer = co_await send(std::move(parent), std::move(report));
  const MonotonicTime now = monotonicNow();
  if (answer) {
    answerReceived_ = true;
    saves_.markSent(kParent, batch.end);
    servers_ = answer.value().entries.size();
    table_.setGroup(kParent, toLoads(answer.value().entries), now);
    observations_.setParent(answer.value().observations.table(), now);
    recordSaves(answer.value().saves, false, kParent);
    context_.onNamings(toNamedWeights(answer.value().namings));
    context_.onCacheStores(answer.value().cacheStores);
  }
  fleet::ServerLoads others = table_.followers("", now);
  addLoads(others, table_.groups(now));
  context_.onOtherLoads(others);
  publishObservations(now);
}

awaitable<void> NodeExchange::exchangeWith(Endpoint relay) {
  const std::string other = relay.toString();
  SaveBatch batch = saves_.pendingFor(other, true);
  ExchangeReport report = groupReport(std::move(batch.parts));
  Result<ExchangeReport> answer = co_await send(std::move(relay), std::move(report));
  if (answer && answer.value().group) {
    saves_.markSent(other, batch.end);
    table_.setGroup(other, toLoads(answer.value().entries), monotonicNow());
    observations_.setGroup(other, answer.value().observations.table(), monotonicNow());
    recordSaves(answer.value().saves, false, other);
    context_.onNamings(toNamedWeights(answer.value().namings));
  }
}

awaitable<Result<ExchangeReport>> NodeExchange::send(Endpoint relay, ExchangeReport report) {
  co_return co_await peer::callPeer<ExchangeReport>(context_.client, std::move(relay),
                                                    kExchangePath, std::move(report),
                                                    settings_.callTimeout, settings_.callTimeout);
}

awaitable<void> NodeExchange::handle(http::Request& request, http::ResponseWriter& writer) {
  co_await peer::answerPeer<ExchangeReport, ExchangeReport>(
      request, writer, [this](const ExchangeReport& report) -> awaitable<ExchangeReport> {
        co_return handleReport(report);
      });
}

ExchangeReport NodeExchange::handleReport(const ExchangeReport& report) {
  const MonotonicTime now = monotonicNow();
  if (report.noAnswerYet) {
    saves_.resetPeer(report.sender);
  } else if (!report.group) {
    saves_.addPeer(report.sender);
  }
  recordSaves(report.saves, !report.group, report.sender);
  context_.onNamings(toNamedWeights(report.namings));
  if (report.group) {
    lastReportAt_[report.sender] = now;
    table_.setGroup(report.sender, toLoads(report.entries), now);
    observations_.setGroup(report.sender, report.observations.table(), now);
    return groupReport(takeSavesFor(report.sender, true));
  }
  table_.setFollower(report.sender, toLoads(report.entries), now);
  observations_.setChild(report.sender, report.observations.table(), now);
  fleet::ServerLoads others = group(report.sender);
  addLoads(others, table_.groups(now));
  ExchangeReport answer;
  answer.sender = settings_.endpoint.toString();
  answer.entries = heaviest(toEntries(others), maxReportedServers(settings_));
  answer.saves = takeSavesFor(report.sender, false);
  answer.namings = toEntries(context_.namings());
  answer.cacheStores = context_.cacheStores();
  service_rollout::ObservationTable seen = groupObservations(report.sender);
  service_rollout::addObservations(seen, observations_.outsideSubtree(now));
  answer.observations = ObservationMessage(std::move(seen));
  return answer;
}

std::vector<fleet::SavedPart> NodeExchange::takeSavesFor(const std::string& peer,
                                                         bool ownGroupOnly) {
  SaveBatch batch = saves_.pendingFor(peer, ownGroupOnly);
  saves_.markSent(peer, batch.end);
  return std::move(batch.parts);
}

ExchangeReport NodeExchange::groupReport(std::vector<fleet::SavedPart> saves) const {
  ExchangeReport report;
  report.sender = settings_.endpoint.toString();
  report.group = true;
  report.entries = toEntries(group(""));
  report.saves = std::move(saves);
  report.namings = toEntries(context_.namings());
  // The observations of a root that has just found a parent are counted by that parent.
  if (!context_.relay()) {
    report.observations = ObservationMessage(groupObservations(""));
  }
  return report;
}

void NodeExchange::recordSaves(const std::vector<fleet::SavedPart>& saves, bool ownGroup,
                               const std::string& source) {
  saves_.append(saves, ownGroup, source);
  context_.onSaves(saves);
}

Milliseconds NodeExchange::interval(MonotonicTime now) const {
  const bool orderRuns = observations_.hasOrders(now) ||
                         (context_.ownObservations && !context_.ownObservations().empty());
  return orderRuns ? settings_.minInterval : intervalFor(settings_, servers_);
}

void NodeExchange::publishObservations(MonotonicTime now) {
  if (!context_.onObservations) {
    return;
  }
  service_rollout::ObservationTable others = observations_.children("", now);
  service_rollout::addObservations(others, observations_.outsideSubtree(now));
  context_.onObservations(others);
}

service_rollout::ObservationTable NodeExchange::groupObservations(const std::string& except) const {
  service_rollout::ObservationTable seen;
  if (context_.ownObservations) {
    seen = context_.ownObservations();
  }
  service_rollout::addObservations(seen, observations_.children(except, monotonicNow()));
  return seen;
}

fleet::ServerLoads NodeExchange::group(const std::string& except) const {
  fleet::ServerLoads loads = context_.ownLoad();
  addLoads(loads, table_.followers(except, monotonicNow()));
  return loads;
}

}  // namespace calicodrift::exchange
