#include "exchange/node_exchange.h"

#include <boost/asio.hpp>

#include "peer/http_call.h"

namespace calicodrift::exchange {

namespace asio = boost::asio;
using asio::awaitable;

NodeExchange::NodeExchange(NodeExchangeContext context, NodeExchangeSettings settings)
    : context_(std::move(context)), settings_(std::move(settings)), table_(settings_.term) {}

void NodeExchange::start() {
  if (settings_.endpoint.port != 0) {
    asio::co_spawn(context_.executor, run(), asio::detached);
  }
}

awaitable<void> NodeExchange::run() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    timer.expires_after(settings_.interval);
    co_await timer.async_wait(asio::use_awaitable);
    if (const std::optional<Endpoint> relay = context_.relay()) {
      co_await reportTo(*relay);
    } else if (context_.isRelay()) {
      actAsRelay();
    } else {
      context_.onOthers({});
    }
  }
}

void NodeExchange::actAsRelay() {
  const MonotonicTime now = monotonicNow();
  table_.expire(now);
  saves_.append(context_.takeSaves(), true);
  for (const Endpoint& other : context_.otherRelays()) {
    // One of two relays asks, and both learn.
    if (settings_.endpoint < other) {
      asio::co_spawn(context_.executor, swapWith(other), asio::detached);
    }
  }
  fleet::ServerLoads others = table_.followers("", now);
  addLoads(others, table_.groups(now));
  context_.onOthers(others);
}

awaitable<void> NodeExchange::reportTo(Endpoint relay) {
  ExchangeReport report;
  report.sender = settings_.node;
  report.entries = toEntries(context_.own());
  report.saves = context_.takeSaves();
  Result<ExchangeReport> answer = co_await send(std::move(relay), std::move(report));
  context_.onOthers(answer ? toLoads(answer.value().entries) : fleet::ServerLoads{});
  if (answer) {
    context_.onSaves(answer.value().saves);
  }
}

awaitable<void> NodeExchange::swapWith(Endpoint relay) {
  const std::string other = relay.toString();
  ExchangeReport report = groupReportFor(other);
  Result<ExchangeReport> answer = co_await send(std::move(relay), std::move(report));
  if (answer && answer.value().group) {
    table_.setGroup(other, toLoads(answer.value().entries), monotonicNow());
    learnSaves(answer.value().saves, false);
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
        co_return answerTo(report);
      });
}

ExchangeReport NodeExchange::answerTo(const ExchangeReport& report) {
  const MonotonicTime now = monotonicNow();
  learnSaves(report.saves, !report.group);
  if (report.group) {
    table_.setGroup(report.sender, toLoads(report.entries), now);
    return groupReportFor(report.sender);
  }
  table_.setNode(report.sender, toLoads(report.entries), now);
  fleet::ServerLoads others = group(report.sender);
  addLoads(others, table_.groups(now));
  ExchangeReport answer;
  answer.sender = settings_.endpoint.toString();
  answer.entries = toEntries(others);
  answer.saves = saves_.nextFor(report.sender, false);
  return answer;
}

ExchangeReport NodeExchange::groupReportFor(const std::string& relay) {
  ExchangeReport report;
  report.sender = settings_.endpoint.toString();
  report.group = true;
  report.entries = toEntries(group(""));
  report.saves = saves_.nextFor(relay, true);
  return report;
}

void NodeExchange::learnSaves(const std::vector<fleet::SavedPart>& saves, bool ownGroup) {
  saves_.append(saves, ownGroup);
  context_.onSaves(saves);
}

fleet::ServerLoads NodeExchange::group(const std::string& except) const {
  fleet::ServerLoads loads = context_.own();
  addLoads(loads, table_.followers(except, monotonicNow()));
  return loads;
}

}  // namespace calicodrift::exchange
