#pragma once

#include <map>
#include <string>

#include "http/server.h"

namespace calicodrift::http {

/// Gives each request to the handler of its path, and answers 404 where there is none. Handlers are
/// added before the server listens.
class PathHandlers {
 public:
  void add(std::string path, Handler handler);
  boost::asio::awaitable<void> handle(Request& request, ResponseWriter& writer);

 private:
  std::map<std::string, Handler, std::less<>> handlers_;
};

}  // namespace calicodrift::http
