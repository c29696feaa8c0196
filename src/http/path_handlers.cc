#include "http/path_handlers.h"

#include "http/status.h"

namespace calicodrift::http {
namespace {}  // namespace

void PathHandlers::add(std::string path, Handler handler) {
  handlers_[std::move(path)] = std::move(handler);
}

boost::asio::awaitable<void> PathHandlers::handle(Request& request, ResponseWriter& writer) {
  const auto found = handlers_.find(request.path());
  if (found == handlers_.end()) {
    co_await respond(writer, textResponse(http::kStatusNotFound, "no such path\n"));
    co_return;
  }
  co_await found->second(request, writer);
}

}  // namespace calicodrift::http
