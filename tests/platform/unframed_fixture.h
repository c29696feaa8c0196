#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_fixture.h"
#include "unframed_server.h"

namespace calicodrift::testing {

/// A gateway, with a second try for each request, before servers that answer without a length.
struct UnframedFixture : GatewayFixture {
  UnframedFixture() {
    settings.retryFloor = 10;
    store.put("config", "main", configuration(1));
    store.put("versions", "m", boost::json::object{{"model", "m"}, {"version", 1}});
  }
  UnframedServer& addUnframed(const std::string& id, const std::string& service) {
    unframed.push_back(std::make_unique<UnframedServer>(context, id, service));
    store.put("servers", id, unframed.back()->entry());
    return *unframed.back();
  }
  void addTwoOfEachService() {
    addUnframed("app-1", "app");
    addUnframed("app-2", "app");
    addUnframed("llm-1", "llm");
    addUnframed("llm-2", "llm");
  }
  static bool isStream(std::string_view path) { return path.starts_with("/stream"); }
  /// What the servers answer if nothing goes wrong.
  static std::string wholeBody(const std::string& path) {
    return isStream(path) ? events(1, 4) : "a whole answer";
  }
  boost::asio::awaitable<void> pause(Milliseconds time) {
    boost::asio::steady_timer timer(context, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  std::vector<std::unique_ptr<UnframedServer>> unframed;
};

}  // namespace calicodrift::testing
