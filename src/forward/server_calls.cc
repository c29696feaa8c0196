#include "forward/server_calls.h"

#include "log/log.h"

namespace calicodrift::forward {

using boost::asio::awaitable;

awaitable<Result<std::unique_ptr<http::ResponseStream>>> ServerCalls::open(
    const fleet::Server& server, http::Request request, http::ExchangeOptions options) {
  const server_limits::LimitVersion seen = limits_.versionOf(server);
  auto opened = co_await client_.open(server.endpoint, std::move(request), options);
  if (opened) {
    noteHead(server, seen, opened.value()->head());
  }
  co_return opened;
}

awaitable<Result<http::Response>> ServerCalls::exchange(const fleet::Server& server,
                                                        http::Request request,
                                                        http::ExchangeOptions options) {
  auto opened = co_await open(server, std::move(request), options);
  if (!opened) {
    co_return opened.error();
  }
  co_return co_await http::readWhole(*opened.value());
}

void ServerCalls::noteHead(const fleet::Server& server, server_limits::LimitVersion seen,
                           const http::Response& head) {
  if (!protocol_.speaksFor(server, head)) {
    return;
  }
  const ServerNotices notices = protocol_.noticesOf(head);
  limits_.noteHead(server, seen, notices.requestLimit);
  for (const Error& error : notices.unreadable) {
    noteUnreadable(server, error);
  }
  if (notices.leaving) {
    metrics_.countNotice("leaving");
    log::write(log::Level::kInfo, "server_says_it_leaves",
               {{"server", server.id.value()}, {"status", std::to_string(head.status)}});
  }
  if (notices.rest) {
    metrics_.countNotice("rest");
    log::write(log::Level::kInfo, "server_asks_for_rest",
               {{"server", server.id.value()},
                {"status", std::to_string(head.status)},
                {"ms", std::to_string(notices.rest->count())}});
  }
}

void ServerCalls::noteUnreadable(const fleet::Server& server, const Error& error) {
  metrics_.countNotice("unreadable");
  log::write(log::Level::kWarning, "server_notice_unreadable",
             {{"server", server.id.value()}, {"cause", error.detail}});
}

}  // namespace calicodrift::forward
