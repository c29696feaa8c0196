#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "http/server.h"
#include "router/caller.h"
#include "router/route_context.h"

namespace calicodrift::router {

/// Passes requests through to ordinary services (registry, match). GET and HEAD are repeatable;
/// other methods are not, unless the caller says X-Not-Repeatable: false.
class ServiceHandler {
 public:
  explicit ServiceHandler(RouteContext& context) : context_(context) {}

  /// Answers the request, in every case.
  boost::asio::awaitable<void> handle(std::shared_ptr<const bundle::Bundle> bundle,
                                      const bundle::Service& service, const http::Request& request,
                                      http::ResponseWriter& writer);

 private:
  /// Claims a not-repeatable request, dispatches it and records how it ended.
  boost::asio::awaitable<Result<http::Response>> dispatchClaimed(const bundle::Service& service,
                                                                 const Caller& caller,
                                                                 const http::Request& request);
  boost::asio::awaitable<Result<http::Response>> dispatchUntilDone(const bundle::Service& service,
                                                                   const Caller& caller,
                                                                   const http::Request& request);
  boost::asio::awaitable<Result<http::Response>> dispatchOnce(const routing::Candidate& backend,
                                                              const Caller& caller,
                                                              const http::Request& request,
                                                              Attempt attempt);

  RouteContext& context_;
};

}  // namespace calicodrift::router
