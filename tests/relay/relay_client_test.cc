#include "relay/relay_client.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "common/hashing.h"
#include "http/server.h"
#include "log/log.h"
#include "peer/http_call.h"

namespace calicodrift::relay {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

SharedText specOf(char content) {
  return std::make_shared<const std::string>('"' + std::string(store::kLargeSpecBytes, content) +
                                             '"');
}

ViewObject objectAt(std::uint64_t revision, std::string spec) {
  ViewObject object;
  object.name = "main";
  object.revision = revision;
  object.spec = std::move(spec);
  return object;
}

/// A relay that gives one fixed reply.
struct ClientFixture {
  ClientFixture() {
    log::silence();
    endpoint = server.listen({"127.0.0.1", 0}).value();
  }
  ~ClientFixture() { context.stop(); }

  awaitable<void> answer(http::Request& request, http::ResponseWriter& writer) {
    if (request.target == kPatchedViewPath) {
      co_await peer::answerPeer<PatchedViewQuery, PatchedViewReply>(
          request, writer,
          [this](PatchedViewQuery) -> awaitable<PatchedViewReply> { co_return patched; });
    } else {
      co_await peer::answerPeer<ViewQuery, ViewReply>(
          request, writer, [this](ViewQuery) -> awaitable<ViewReply> { co_return whole; });
    }
  }

  /// What a node that holds `held` learns.
  Result<store::ChangeBatch> watch(const SharedText& held) {
    const HeldTexts texts{{"main", held}};
    std::optional<Result<store::ChangeBatch>> batch;
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
          batch =
              co_await client.watch(endpoint, "config", store::Revision(1), Milliseconds(0), texts);
        },
        asio::detached);
    while (!batch) {
      context.run_one();
    }
    return *batch;
  }

  asio::io_context context;
  http::Client calls{context.get_executor()};
  RelaySettings settings;
  RelayClient client{calls, settings};
  http::Server server{
      context.get_executor(), {}, [this](http::Request& request, http::ResponseWriter& writer) {
        return answer(request, writer);
      }};
  Endpoint endpoint;
  /// Replies with and without updates of held texts.
  PatchedViewReply patched;
  ViewReply whole;
};

BOOST_FIXTURE_TEST_SUITE(relay_client, ClientFixture)

/// Guards against an update that is applied to an earlier change of its object, which leaves the
/// newest change without a spec: earlier builds send several changes of an object in a reply.
BOOST_AUTO_TEST_CASE(updateBelongsToTheChangeThatCameWithoutSpec) {
  const SharedText held = specOf('h');
  const SharedText older = specOf('o');
  const SharedText newest = specOf('n');
  SpecTexts texts;
  texts.set("main", held);
  texts.set("main", older);
  texts.set("main", newest);
  patched.view.outcome = ViewOutcome::kServed;
  patched.view.objects = {objectAt(2, *older), objectAt(3, "")};
  patched.updates = {texts.updateFrom("main", hashBytes(*held))};
  const Result<store::ChangeBatch> batch = watch(held);
  BOOST_REQUIRE(batch);
  BOOST_REQUIRE(batch.value().changes.size() == 2U);
  const store::Object& first = batch.value().changes.front().object;
  const store::Object& last = batch.value().changes.back().object;
  BOOST_REQUIRE(first.specText);
  BOOST_TEST((*first.specText == *older));
  BOOST_REQUIRE(last.specText);
  BOOST_TEST((*last.specText == *newest));
}

/// Guards against objects that are taken over without their specs, as nobody asks for those again.
BOOST_AUTO_TEST_CASE(objectsWithoutSpecAreReadAgainWhole) {
  const SharedText newest = specOf('n');
  patched.view.outcome = ViewOutcome::kServed;
  patched.view.objects = {objectAt(3, "")};
  whole.outcome = ViewOutcome::kServed;
  whole.objects = {objectAt(3, *newest)};
  const Result<store::ChangeBatch> batch = watch(specOf('h'));
  BOOST_REQUIRE(batch);
  BOOST_REQUIRE(batch.value().changes.size() == 1U);
  const store::Object& object = batch.value().changes.front().object;
  BOOST_REQUIRE(object.specText);
  BOOST_TEST((*object.specText == *newest));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
