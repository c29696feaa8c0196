#include "server_limits/notice_exchange.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "log/log.h"
#include "peer/http_call.h"

namespace calicodrift::server_limits {

namespace asio = boost::asio;
using asio::awaitable;

NoticeExchange::NoticeExchange(NoticeExchangeContext context, LimitTable& limits,
                               ServerLimitMetrics& metrics)
    : context_(std::move(context)),
      limits_(limits),
      metrics_(metrics),
      limitNews_(newsContext([this] { return limits_.changes(); },
                             [this](std::uint64_t since) {
                               LimitReport report;
                               report.facts = limits_.changedSince(since);
                               return report;
                             })),
      leavingNews_(newsContext([this] { return context_.pool.leaving().changes(); },
                               [this](std::uint64_t since) {
                                 LimitReport report;
                                 report.leaving = context_.pool.leaving().notedSince(since);
                                 return report;
                               })) {}

relay::NewsContext NoticeExchange::newsContext(
    std::function<std::uint64_t()> version, std::function<LimitReport(std::uint64_t since)> news) {
  return {context_.executor, [this] { return neighbours(); }, std::move(version),
          [this, news = std::move(news)](Endpoint neighbour, std::uint64_t since, Milliseconds wait,
                                         Milliseconds timeout) {
            return push(std::move(neighbour), news(since), wait, timeout);
          }};
}

awaitable<void> NoticeExchange::update() {
  co_await findOtherTrees();
  greetNeighbours();
  limitNews_.forgetFormerNeighbours();
  leavingNews_.forgetFormerNeighbours();
  limitNews_.tellSoon();
  leavingNews_.tellSoon();
}

awaitable<void> NoticeExchange::findOtherTrees() {
  // Their lists cost a call each, so that they are read only where there is news for them.
  if (context_.trees.size() < 2 || !context_.tree.isRoot() || changes() == otherTreesChange_) {
    co_return;
  }
  otherTreesChange_ = changes();
  std::vector<Endpoint> found;
  for (const std::string& tree : context_.trees) {
    if (tree != context_.ownTree) {
      const std::vector<Endpoint> roots = co_await context_.rootsOfTree(tree);
      found.insert(found.end(), roots.begin(), roots.end());
    }
  }
  otherTrees_ = std::move(found);
}

std::vector<Endpoint> NoticeExchange::neighbours() const {
  const bool isRoot = context_.tree.isRoot();
  return relay::neighboursIn(context_.tree, isRoot, isRoot ? otherTrees_ : std::vector<Endpoint>());
}

void NoticeExchange::greetNeighbours() {
  const std::vector<Endpoint> now = neighbours();
  std::erase_if(greeted_, [&now](const Endpoint& one) {
    return !std::binary_search(now.begin(), now.end(), one);
  });
  for (const Endpoint& neighbour : now) {
    if (!greeted_.contains(neighbour) && greeting_.insert(neighbour).second) {
      asio::co_spawn(context_.executor, greet(neighbour), asio::detached);
    }
  }
  settled_ = settled_ || context_.tree.isRoot() || context_.tree.isAlone();
}

awaitable<void> NoticeExchange::greet(Endpoint neighbour) {
  LimitReport report;
  report.fresh = true;
  report.facts = limits_.changedSince(0);
  report.leaving = context_.pool.leaving().notedSince(0);
  const std::uint64_t toldLimits = limits_.changes();
  const std::uint64_t toldLeaving = context_.pool.leaving().changes();
  const Result<LimitReport> answer =
      co_await send(neighbour, std::move(report), relay::NewsSpreader::kTellTime);
  greeting_.erase(neighbour);
  const bool isOlder = !answer && answer.error().kind == ErrorKind::kProtocolViolation;
  if (!answer && !isOlder) {
    co_return;
  }
  greeted_.insert(neighbour);
  settled_ = settled_ || context_.tree.parent() == neighbour;
  if (answer) {
    limitNews_.setTold(neighbour.toString(), toldLimits);
    leavingNews_.setTold(neighbour.toString(), toldLeaving);
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

awaitable<LimitReport> NoticeExchange::takeReport(LimitReport report) {
  const fleet::LeavingServers& leaving = context_.pool.leaving();
  const std::uint64_t limitsBefore = limits_.changes();
  const std::uint64_t leavingBefore = leaving.changes();
  merge(report);
  LimitReport answer;
  answer.sender = context_.tree.endpoint.toString();
  if (report.fresh) {
    answer.facts = limits_.changedSince(0);
    answer.leaving = leaving.notedSince(0);
    limitNews_.setTold(report.sender, limits_.changes());
    leavingNews_.setTold(report.sender, leaving.changes());
  } else {
    // A sender that started anew may know less than it did.
    for (const LimitFact& told : report.facts) {
      const LimitFact* known = limits_.find(told.server);
      if (known != nullptr && *known != told) {
        answer.facts.push_back(*known);
      }
    }
    limitNews_.onNewsFrom(report.sender, limitsBefore);
    leavingNews_.onNewsFrom(report.sender, leavingBefore);
  }
  const Milliseconds wait = std::min(Milliseconds(report.waitMs), relay::NewsSpreader::kTellTime);
  if (limits_.changes() != limitsBefore) {
    co_await limitNews_.tell(wait, report.sender);
  }
  if (leaving.changes() != leavingBefore) {
    co_await leavingNews_.tell(wait, report.sender);
  }
  co_return answer;
}

void NoticeExchange::merge(const LimitReport& report) {
  mergeLimits(report.facts);
  mergeLeaving(report.leaving);
}

void NoticeExchange::mergeLimits(const std::vector<LimitFact>& facts) {
  for (const LimitFact& fact : facts) {
    if (limits_.merge(fact)) {
      context_.onLimitLearnt(fact);
    }
  }
}

void NoticeExchange::mergeLeaving(const std::vector<fleet::ServerKey>& runs) {
  for (const fleet::ServerKey run : runs) {
    if (!context_.pool.noteLeaving(run, monotonicNow())) {
      continue;
    }
    metrics_.countLeavingLearnt();
    const fleet::Server* server = context_.pool.findRun(run);
    log::write(log::Level::kInfo, "server_leaving_learnt",
               {{"server", server == nullptr ? "" : server->id.value()}});
  }
}

}  // namespace calicodrift::server_limits
