#include "server_limits/notice_exchange.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "log/log.h"
#include "peer/http_call.h"

namespace calicodrift::server_limits {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Bounds what another node can ask for.
constexpr Milliseconds kLongestFullPause{5000};

}  // namespace

NoticeExchange::NoticeExchange(NoticeExchangeContext context, LimitTable& limits,
                               RefusalLimits& refusalLimits, ServerLimitMetrics& metrics)
    : context_(std::move(context)),
      limits_(limits),
      refusalLimits_(refusalLimits),
      metrics_(metrics),
      limitBroadcaster_(treeBroadcastContext([this] { return limits_.changes(); },
                                             [this](std::uint64_t since) {
                                               LimitReport report;
                                               report.records = limits_.changedSince(since);
                                               return report;
                                             })),
      leavingBroadcaster_(treeBroadcastContext([this] { return context_.pool.leaving().changes(); },
                                               [this](std::uint64_t since) {
                                                 LimitReport report;
                                                 report.leaving =
                                                     context_.pool.leaving().addedSince(since);
                                                 return report;
                                               })),
      fullBroadcaster_(treeBroadcastContext([this] { return context_.pool.full().changes(); },
                                            [this](std::uint64_t since) {
                                              LimitReport report;
                                              report.full = fullSince(since);
                                              return report;
                                            })),
      refusalLimitBroadcaster_(
          treeBroadcastContext([this] { return refusalLimits_.table().changes(); },
                               [this](std::uint64_t since) {
                                 LimitReport report;
                                 report.refusalLimits = refusalLimits_.table().changedSince(since);
                                 return report;
                               })) {}

relay::TreeBroadcastContext NoticeExchange::treeBroadcastContext(
    std::function<std::uint64_t()> version,
    std::function<LimitReport(std::uint64_t since)> changesSince) {
  return {context_.executor, [this] { return neighbours(); }, std::move(version),
          [this, changesSince = std::move(changesSince)](Endpoint neighbour, std::uint64_t since,
                                                         Milliseconds wait, Milliseconds timeout) {
            return push(std::move(neighbour), changesSince(since), wait, timeout);
          }};
}

awaitable<void> NoticeExchange::update() {
  co_await findOtherTrees();
  synchronizeNewNeighbours();
  limitBroadcaster_.pruneNeighbours();
  leavingBroadcaster_.pruneNeighbours();
  fullBroadcaster_.pruneNeighbours();
  refusalLimitBroadcaster_.pruneNeighbours();
  limitBroadcaster_.broadcastAsync();
  leavingBroadcaster_.broadcastAsync();
  fullBroadcaster_.broadcastAsync();
  refusalLimitBroadcaster_.broadcastAsync();
}

awaitable<void> NoticeExchange::findOtherTrees() {
  // Reading the roots of the other trees takes a call each, so it is done only if there is news for
  // them.
  if (context_.trees.size() < 2 || !context_.tree.isRoot() || changes() == otherTreeRootsChange_) {
    co_return;
  }
  otherTreeRootsChange_ = changes();
  std::vector<Endpoint> found;
  for (const std::string& tree : context_.trees) {
    if (tree != context_.ownTree) {
      const std::vector<Endpoint> roots = co_await context_.rootsOfTree(tree);
      found.insert(found.end(), roots.begin(), roots.end());
    }
  }
  otherTreeRoots_ = std::move(found);
}

std::vector<Endpoint> NoticeExchange::neighbours() const {
  const bool isRoot = context_.tree.isRoot();
  return relay::treeNeighbours(context_.tree, isRoot,
                               isRoot ? otherTreeRoots_ : std::vector<Endpoint>());
}

void NoticeExchange::synchronizeNewNeighbours() {
  const std::vector<Endpoint> now = neighbours();
  std::erase_if(synchronized_, [&now](const Endpoint& one) {
    return !std::binary_search(now.begin(), now.end(), one);
  });
  for (const Endpoint& neighbour : now) {
    if (!synchronized_.contains(neighbour) && synchronizing_.insert(neighbour).second) {
      asio::co_spawn(context_.executor, synchronizeWith(neighbour), asio::detached);
    }
  }
  settled_ = settled_ || context_.tree.isRoot() || context_.tree.isAlone();
}

awaitable<void> NoticeExchange::synchronizeWith(Endpoint neighbour) {
  LimitReport report;
  report.fresh = true;
  report.records = limits_.changedSince(0);
  report.leaving = context_.pool.leaving().addedSince(0);
  report.refusalLimits = refusalLimits_.table().changedSince(0);
  const std::uint64_t sentLimits = limits_.changes();
  const std::uint64_t sentRefusalLimits = refusalLimits_.table().changes();
  const std::uint64_t sentLeaving = context_.pool.leaving().changes();
  const Result<LimitReport> answer =
      co_await send(neighbour, std::move(report), relay::TreeBroadcaster::kBroadcastTimeout);
  synchronizing_.erase(neighbour);
  const bool isOlderBuild = !answer && answer.error().kind == ErrorKind::kProtocolViolation;
  if (!answer && !isOlderBuild) {
    co_return;
  }
  synchronized_.insert(neighbour);
  settled_ = settled_ || context_.tree.parent() == neighbour;
  if (answer) {
    limitBroadcaster_.setAcknowledged(neighbour.toString(), sentLimits);
    refusalLimitBroadcaster_.setAcknowledged(neighbour.toString(), sentRefusalLimits);
    leavingBroadcaster_.setAcknowledged(neighbour.toString(), sentLeaving);
    // Pauses are short: a new neighbour is told of those that begin from now on.
    fullBroadcaster_.setAcknowledged(neighbour.toString(), context_.pool.full().changes());
    merge(answer.value());
  }
}

awaitable<bool> NoticeExchange::push(Endpoint neighbour, LimitReport report, Milliseconds wait,
                                     Milliseconds timeout) {
  report.waitMs = static_cast<std::uint32_t>(wait.count());
  const Result<LimitReport> answer =
      co_await send(std::move(neighbour), std::move(report), timeout);
  metrics_.countReport(static_cast<bool>(answer));
  if (answer) {
    merge(answer.value());
  }
  co_return static_cast<bool>(answer);
}

awaitable<Result<LimitReport>> NoticeExchange::send(Endpoint neighbour, LimitReport report,
                                                    Milliseconds timeout) {
  report.sender = context_.tree.endpoint.toString();
  co_return co_await peer::callPeer<LimitReport>(context_.client, std::move(neighbour), kReportPath,
                                                 std::move(report), timeout, timeout);
}

awaitable<LimitReport> NoticeExchange::handleReport(LimitReport report) {
  const fleet::LeavingServers& leaving = context_.pool.leaving();
  const std::uint64_t limitsBefore = limits_.changes();
  const std::uint64_t leavingBefore = leaving.changes();
  const std::uint64_t fullBefore = context_.pool.full().changes();
  const std::uint64_t refusalLimitsBefore = refusalLimits_.table().changes();
  merge(report);
  LimitReport answer;
  answer.sender = context_.tree.endpoint.toString();
  if (report.fresh) {
    answer.records = limits_.changedSince(0);
    answer.leaving = leaving.addedSince(0);
    answer.refusalLimits = refusalLimits_.table().changedSince(0);
    refusalLimitBroadcaster_.setAcknowledged(report.sender, refusalLimits_.table().changes());
    limitBroadcaster_.setAcknowledged(report.sender, limits_.changes());
    leavingBroadcaster_.setAcknowledged(report.sender, leaving.changes());
    fullBroadcaster_.setAcknowledged(report.sender, context_.pool.full().changes());
  } else {
    // A restarted sender may know less than before.
    for (const LimitRecord& received : report.records) {
      const LimitRecord* known = limits_.find(received.server);
      if (known != nullptr && *known != received) {
        answer.records.push_back(*known);
      }
    }
    limitBroadcaster_.onUpdateFrom(report.sender, limitsBefore);
    refusalLimitBroadcaster_.onUpdateFrom(report.sender, refusalLimitsBefore);
    leavingBroadcaster_.onUpdateFrom(report.sender, leavingBefore);
    fullBroadcaster_.onUpdateFrom(report.sender, fullBefore);
  }
  const Milliseconds wait =
      std::min(Milliseconds(report.waitMs), relay::TreeBroadcaster::kBroadcastTimeout);
  if (refusalLimits_.table().changes() != refusalLimitsBefore) {
    co_await refusalLimitBroadcaster_.broadcast(wait, report.sender);
  }
  if (limits_.changes() != limitsBefore) {
    co_await limitBroadcaster_.broadcast(wait, report.sender);
  }
  if (context_.pool.full().changes() != fullBefore) {
    co_await fullBroadcaster_.broadcast(wait, report.sender);
  }
  if (leaving.changes() != leavingBefore) {
    co_await leavingBroadcaster_.broadcast(wait, report.sender);
  }
  co_return answer;
}

void NoticeExchange::merge(const LimitReport& report) {
  mergeLimits(report.records);
  mergeLeaving(report.leaving);
  mergeRefusalLimits(report.refusalLimits);
  mergeFull(report.full);
}

std::vector<FullServerRecord> NoticeExchange::fullSince(std::uint64_t change) const {
  const MonotonicTime now = monotonicNow();
  std::vector<FullServerRecord> records;
  for (const fleet::FullServer& pause : context_.pool.full().addedSince(change, now)) {
    const auto left = std::chrono::ceil<Milliseconds>(pause.until - now);
    records.push_back({pause.server, static_cast<std::uint32_t>(left.count())});
  }
  return records;
}

void NoticeExchange::mergeFull(const std::vector<FullServerRecord>& records) {
  for (const FullServerRecord& record : records) {
    const Milliseconds remaining = std::min(Milliseconds(record.remainingMs), kLongestFullPause);
    if (context_.onFullLearnt(record.server, remaining)) {
      metrics_.countFullLearnt();
    }
  }
}

void NoticeExchange::mergeRefusalLimits(const std::vector<LimitRecord>& records) {
  const MonotonicTime now = monotonicNow();
  for (const LimitRecord& record : records) {
    refusalLimits_.merge(record, context_.pool.findRun(record.server), now);
  }
}

void NoticeExchange::mergeLimits(const std::vector<LimitRecord>& records) {
  for (const LimitRecord& record : records) {
    if (limits_.merge(record)) {
      context_.onLimitLearnt(record);
    }
  }
}

void NoticeExchange::mergeLeaving(const std::vector<fleet::ServerKey>& runs) {
  for (const fleet::ServerKey run : runs) {
    if (!context_.pool.recordLeaving(run, monotonicNow())) {
      continue;
    }
    metrics_.countLeavingLearnt();
    const fleet::Server* server = context_.pool.findRun(run);
    log::write(log::Level::kInfo, "server_leaving_learnt",
               {{"server", server == nullptr ? "" : server->id.value()}});
  }
}

}  // namespace calicodrift::server_limits
