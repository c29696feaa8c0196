#include "exchange/node_exchange.h"

#include <boost/asio.hpp>

#include "peer/codec.h"

namespace calicodrift::exchange {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;

}  // namespace

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
      table_.expire(monotonicNow());
      saves_.append(context_.takeSaves(), true);
      for (const Endpoint& other : context_.otherRelays()) {
        // One of two relays asks, and both learn.
        if (settings_.endpoint < other) {
          asio::co_spawn(context_.executor, swapWith(other), asio::detached);
        }
      }
      fleet::ServerLoads others = table_.followers("", monotonicNow());
      addLoads(others, table_.groups(monotonicNow()));
      context_.onOthers(others);
    } else {
      context_.onOthers({});
    }
  }
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
  ExchangeReport report;
  report.sender = settings_.endpoint.toString();
  report.group = true;
  report.entries = toEntries(group(""));
  const std::string other = relay.toString();
  report.saves = saves_.nextFor(other, true);
  Result<ExchangeReport> answer = co_await send(std::move(relay), std::move(report));
  if (answer && answer.value().group) {
    table_.setGroup(other, toLoads(answer.value().entries), monotonicNow());
    learnSaves(answer.value().saves, false);
  }
}

awaitable<Result<ExchangeReport>> NodeExchange::send(Endpoint relay, ExchangeReport report) {
  http::ExchangeOptions options;
  options.connectTimeout = settings_.callTimeout;
  options.headerTimeout = settings_.callTimeout;
  options.bodyTimeout = settings_.callTimeout;
  options.unacknowledgedTimeout = settings_.callTimeout;
  http::Request request;
  request.method = "POST";
  request.target = std::string(kExchangePath);
  request.body = peer::encode(report);
  Result<http::Response> answer =
      co_await context_.client.exchange(relay, std::move(request), options);
  if (!answer) {
    co_return answer.error();
  }
  if (answer.value().status != kStatusOk) {
    co_return fail(ErrorKind::kProtocolViolation, "the relay takes no load reports");
  }
  co_return peer::decode<ExchangeReport>(answer.value().body);
}

awaitable<void> NodeExchange::handle(http::Request& request, http::ResponseWriter& writer) {
  Result<ExchangeReport> report = peer::decode<ExchangeReport>(request.body);
  if (!report) {
    http::Response refusal = http::textResponse(kStatusBadRequest, report.error().detail + "\n");
    co_await http::respond(writer, std::move(refusal));
    co_return;
  }
  http::Response response;
  response.status = kStatusOk;
  response.body = peer::encode(answerTo(report.value()));
  co_await http::respond(writer, std::move(response));
}

ExchangeReport NodeExchange::answerTo(const ExchangeReport& report) {
  const MonotonicTime now = monotonicNow();
  ExchangeReport answer;
  answer.sender = settings_.endpoint.toString();
  answer.group = report.group;
  if (report.group) {
    table_.setGroup(report.sender, toLoads(report.entries), now);
    answer.entries = toEntries(group(""));
    learnSaves(report.saves, false);
    answer.saves = saves_.nextFor(report.sender, true);
    return answer;
  }
  table_.setNode(report.sender, toLoads(report.entries), now);
  fleet::ServerLoads others = group(report.sender);
  addLoads(others, table_.groups(now));
  answer.entries = toEntries(others);
  learnSaves(report.saves, true);
  answer.saves = saves_.nextFor(report.sender, false);
  return answer;
}

void NodeExchange::learnSaves(const std::vector<SavedPart>& saves, bool ownGroup) {
  saves_.append(saves, ownGroup);
  context_.onSaves(saves);
}

fleet::ServerLoads NodeExchange::group(const std::string& except) const {
  fleet::ServerLoads loads = context_.own();
  addLoads(loads, table_.followers(except, monotonicNow()));
  return loads;
}

}  // namespace calicodrift::exchange
