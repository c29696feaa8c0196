#include "http/path_handlers.h"

namespace calicodrift::http {
namespace {

constexpr unsigned kStatusNotFound = 404;

}  // namespace

void PathHandlers::add(std::string path, Handler handler) {
  handlers_[std::move(path)] = std::move(handler);
}

boost::asio::awaitable<void> PathHandlers::handle(Request& request, ResponseWriter& writer) {
  const auto found = handlers_.find(request.path());
  if (found == handlers_.end()) {
    co_await respond(writer, textResponse(kStatusNotFound, "no such path\n"));
    co_return;
  }
  co_await found->second(request, writer);
}

}  // namespace calicodrift::http
