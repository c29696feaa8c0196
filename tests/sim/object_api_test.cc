#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "sim/object_api_server.h"
#include "support/blocking_client.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
using object_api::ResourceVersion;
using object_api::WatchEvent;
constexpr Milliseconds kNoWait{0};

/// A store that remembers the last four changes, in the test's own thread.
struct Store {
  Store() : endpoint(server.listen(Endpoint{"127.0.0.1", 0}).value()) {}
  template <typename Body>
  void run(Body body) {
    asio::co_spawn(
        context,
        [this, body]() -> asio::awaitable<void> {
          object_api::ObjectApiClient api(client, endpoint);
          co_await body(api);
          context.stop();
        },
        asio::detached);
    context.restart();
    context.run();
  }
  static asio::awaitable<std::uint64_t> write(object_api::ObjectApiClient& api, std::string spec,
                                              std::uint64_t over) {
    object_api::StoredObject object{"bundles", "current", ResourceVersion(over), std::move(spec)};
    const Result<object_api::StoredObject> written = co_await api.put(object);
    co_return written.value().version.value();
  }
  /// Texts of all changes until the watch ends; bookmarks as "#VERSION".
  static asio::awaitable<std::vector<std::string>> watch(object_api::ObjectApiClient& api,
                                                         std::uint64_t since,
                                                         Milliseconds duration) {
    std::vector<std::string> events;
    auto opened = co_await api.watch("bundles", "current", ResourceVersion(since), duration);
    if (!opened) {
      events.emplace_back(errorRow(opened.error().kind).name);
      co_return events;
    }
    for (;;) {
      auto event = co_await opened.value()->next();
      if (!event || !event.value()) {
        events.emplace_back(event ? "end" : "broken");
        co_return events;
      }
      const WatchEvent& content = *event.value();
      const bool modified = content.kind == WatchEvent::Kind::kModified;
      events.push_back(modified ? content.object.spec
                                : "#" + std::to_string(content.object.version.value()));
    }
  }

  asio::io_context context{1};
  http::Client client{context.get_executor()};
  sim::ObjectApiServer server{context.get_executor(), http::ServerLimits{}, 4};
  Endpoint endpoint;
};

using Texts = std::vector<std::string>;

BOOST_FIXTURE_TEST_CASE(aWatchStartsFromTheObjectAndGoesOnFromItsBookmark, Store) {
  run([](object_api::ObjectApiClient& api) -> asio::awaitable<void> {
    const Texts empty = co_await watch(api, 0, kNoWait);
    BOOST_TEST(empty == (Texts{"#0", "end"}), boost::test_tools::per_element());
    const std::uint64_t version = co_await write(api, "one", 0);
    const Texts first = co_await watch(api, 0, kNoWait);
    BOOST_TEST(first == (Texts{"one", "#1", "end"}), boost::test_tools::per_element());
    const Texts unchanged = co_await watch(api, version, kNoWait);
    BOOST_TEST(unchanged == (Texts{"#1", "end"}), boost::test_tools::per_element());
  });
}

BOOST_FIXTURE_TEST_CASE(anOpenWatchDeliversAChangeAtOnce, Store) {
  run([this](object_api::ObjectApiClient& api) -> asio::awaitable<void> {
    auto opened =
        co_await api.watch("bundles", "current", ResourceVersion(0), Milliseconds(60'000));
    auto bookmark = co_await opened.value()->next();
    BOOST_TEST((bookmark.value()->kind == WatchEvent::Kind::kBookmark));
    asio::co_spawn(
        context, [&api]() -> asio::awaitable<void> { co_await write(api, "one", 0); },
        asio::detached);
    auto change = co_await opened.value()->next();
    BOOST_TEST(change.value()->object.spec == "one");
  });
}

BOOST_FIXTURE_TEST_CASE(aCompactedVersionIsRefusedAndTheObjectCanBeReadAnew, Store) {
  run([](object_api::ObjectApiClient& api) -> asio::awaitable<void> {
    std::uint64_t version = 0;
    for (int change = 0; change < 6; ++change) {
      version = co_await write(api, std::to_string(change), version);
    }
    const Texts compacted = co_await watch(api, 1, kNoWait);
    BOOST_TEST(compacted == Texts{"version_conflict"}, boost::test_tools::per_element());
    const Texts anew = co_await watch(api, 0, kNoWait);
    BOOST_TEST(anew == (Texts{"5", "#6", "end"}), boost::test_tools::per_element());
  });
}

}  // namespace
}  // namespace calicodrift::testing
