// Whole listings between nodes: encoded once, passed on as they are, read part by part.
#include "relay/listing_snapshot.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fake_store.h"
#include "log/log.h"
#include "peer/codec.h"
#include "relay/relay_server.h"
#include "relay/relayed_store.h"

namespace calicodrift::relay {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kServers = 5'000;
constexpr const char* kKind = "servers";

store::Object serverNumbered(std::size_t number, std::uint64_t revision) {
  store::Object object;
  object.name = "i-" + std::to_string(number * 7'919 % 1'000'003);
  object.revision = store::Revision(revision);
  object.spec = json::object{{"service", "review-llm"},
                             {"address", "10.4." + std::to_string(number % 250) + ".7:8080"},
                             {"zone", "hall-petrzalka"},
                             {"version", "1"},
                             {"slots", 16},
                             {"state", "ready"},
                             {"cold_remaining_ms", 0},
                             {"call_seq", 0}};
  return object;
}

store::Listing listingOf(std::size_t servers) {
  store::Listing listing;
  listing.revision = store::Revision(1'000'000);
  for (std::size_t number = 0; number < servers; ++number) {
    listing.objects.push_back(serverNumbered(number, number + 1));
  }
  return listing;
}

std::string textOf(const store::Object& object) {
  return json::serialize(store::parsed(object).spec);
}

/// A node whose cache is served to others, and which reads from another one.
struct Node {
  Node(asio::io_context& context, http::Client& client, const std::string& name)
      : store(context),
        relayClient(client, settings),
        relayed(context.get_executor(), store, relayClient),
        relayServer([this](const std::string& kind) { return relayed.cache(kind); },
                    [](const std::string&) { return true; }),
        http(context.get_executor(), {},
             [this](http::Request& request, http::ResponseWriter& writer) {
               ++calls[request.target];
               return relayServer.handle(request, writer);
             }) {
    settings.node = NodeId(name);
    settings.callTimeout = Milliseconds(2000);
    endpoint = http.listen({"127.0.0.1", 0}).value();
  }

  FakeStore store;
  RelaySettings settings;
  RelayClient relayClient;
  RelayedStore relayed;
  RelayServer relayServer;
  http::Server http;
  Endpoint endpoint;
  std::map<std::string, std::size_t> calls;
};

struct SnapshotFixture {
  SnapshotFixture() { log::silence(); }

  Node& add(const std::string& name) {
    nodes.push_back(std::make_unique<Node>(context, client, name));
    return *nodes.back();
  }
  template <typename Value>
  Result<Value> await(asio::awaitable<Result<Value>> call) {
    std::optional<Result<Value>> result;
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { result = co_await std::move(call); },
        asio::detached);
    context.restart();
    while (!result && context.run_one_for(std::chrono::seconds(10)) > 0) {
    }
    BOOST_REQUIRE(result.has_value());
    return std::move(*result);
  }
  /// Lets the root read its listing from its store.
  Node& rootOf(std::size_t servers) {
    Node& root = add("root");
    for (const store::Object& object : listingOf(servers).objects) {
      root.store.setSpec(kKind, object.name, object.spec);
    }
    root.relayed.readDirectly();
    BOOST_REQUIRE(await(root.relayed.list(kKind)).has_value());
    return root;
  }
  Node& childOf(Node& parent, const std::string& name) {
    Node& child = add(name);
    child.relayed.follow(parent.endpoint);
    const Result<store::Listing> listing = await(child.relayed.list(kKind));
    BOOST_REQUIRE(listing.has_value());
    return child;
  }

  asio::io_context context;
  http::Client client{context.get_executor()};
  std::vector<std::unique_ptr<Node>> nodes;
};

BOOST_FIXTURE_TEST_SUITE(listing_snapshot, SnapshotFixture)

// A listing that was encoded anew for each child took its size several times at each parent, and a
// node's processor for longer than its children wait.
BOOST_AUTO_TEST_CASE(aListingIsEncodedOnceAndPassedOnAsItIs) {
  Node& root = rootOf(kServers);
  Node& first = childOf(root, "first");
  Node& second = childOf(first, "second");
  Node& third = childOf(second, "third");
  const auto atRoot = root.relayed.cache(kKind)->snapshotView();
  const auto atThird = third.relayed.cache(kKind)->snapshotView();
  BOOST_REQUIRE(atRoot.has_value());
  BOOST_REQUIRE(atThird.has_value());
  BOOST_REQUIRE(atRoot->snapshot->parts.size() == atThird->snapshot->parts.size());
  std::size_t compressed = 0;
  std::size_t raw = 0;
  for (std::size_t part = 0; part < atRoot->snapshot->parts.size(); ++part) {
    BOOST_REQUIRE(atRoot->snapshot->parts[part].compressed ==
                  atThird->snapshot->parts[part].compressed);
    compressed += atRoot->snapshot->parts[part].compressed.size();
    raw += atRoot->snapshot->parts[part].bytes;
  }
  BOOST_TEST(compressed * 4 < raw, compressed << " of " << raw << " bytes");
  const store::Listing listed = third.relayed.cache(kKind)->listing();
  const store::Listing wanted = root.relayed.cache(kKind)->listing();
  BOOST_REQUIRE(listed.objects.size() == kServers);
  for (std::size_t place = 0; place < kServers; ++place) {
    BOOST_REQUIRE(listed.objects[place].name == wanted.objects[place].name);
    BOOST_REQUIRE(listed.objects[place].revision == wanted.objects[place].revision);
    BOOST_REQUIRE(textOf(listed.objects[place]) == textOf(wanted.objects[place]));
  }
}

BOOST_AUTO_TEST_CASE(aSnapshotComesWithWhatHasChangedSince) {
  Node& root = rootOf(100);
  Node& child = childOf(root, "child");
  const SharedSnapshot before = root.relayed.cache(kKind)->snapshotView()->snapshot;
  root.store.setSpec(kKind, "i-new", serverNumbered(1, 1).spec);
  root.store.remove(kKind, listingOf(1).objects.front().name);
  const store::Revision known = root.relayed.cache(kKind)->revision();
  BOOST_REQUIRE(await(root.relayed.watch(kKind, known, Milliseconds(20))).has_value());
  Node& late = childOf(root, "late");
  BOOST_TEST((root.relayed.cache(kKind)->snapshotView()->snapshot == before));
  BOOST_TEST((late.relayed.cache(kKind)->revision() == root.relayed.cache(kKind)->revision()));
  const store::Listing listing = late.relayed.cache(kKind)->listing();
  BOOST_TEST(listing.objects.size() == 100U);
  const auto isNew = [](const store::Object& object) { return object.name == "i-new"; };
  BOOST_TEST(std::count_if(listing.objects.begin(), listing.objects.end(), isNew) == 1);
  BOOST_TEST(child.calls.empty());
}

// The store forgets its history, so that a root has to list again. Each node below it listed again,
// too: so late that all others read the store themselves, 20 pages each.
BOOST_AUTO_TEST_CASE(aRootThatListsAgainSendsWhatDiffersOnly) {
  Node& root = rootOf(kServers);
  Node& child = childOf(root, "child");
  const store::Revision known = child.relayed.cache(kKind)->revision();
  const std::string gone = listingOf(1).objects.front().name;
  root.store.setSpec(kKind, "i-new", serverNumbered(1, 1).spec);
  root.store.remove(kKind, gone);
  BOOST_REQUIRE(await(root.relayed.list(kKind)).has_value());
  const Result<store::ChangeBatch> changes =
      await(child.relayed.watch(kKind, known, Milliseconds(200)));
  BOOST_REQUIRE(changes.has_value());
  BOOST_REQUIRE(changes.value().changes.size() == 2U);
  for (const store::Change& change : changes.value().changes) {
    BOOST_TEST(change.removed == (change.object.name == gone));
  }
  BOOST_TEST((child.relayed.cache(kKind)->revision() == root.relayed.cache(kKind)->revision()));
  BOOST_TEST(child.relayed.cache(kKind)->listing().objects.size() == kServers);
  BOOST_TEST(root.calls[std::string(kSnapshotPath)] == 1U);
}

// Positions of two histories can't be compared: followers list anew.
BOOST_AUTO_TEST_CASE(aListingOfAnotherEraReplacesTheState) {
  WatchCache cache(context.get_executor());
  cache.applyListing(listingOf(3), monotonicNow());
  store::Listing returned = listingOf(2);
  returned.revision = store::makeRevision(store::Era(1), 500);
  cache.applyListing(returned, monotonicNow());
  BOOST_TEST(cache.listing().objects.size() == 2U);
  BOOST_TEST(!cache.changesSince(listingOf(1).revision).has_value());
}

BOOST_AUTO_TEST_CASE(aSnapshotThatTheHistoryDoesNotReachIsMadeAnew) {
  Node& root = rootOf(10);
  childOf(root, "child");
  WatchCache& cache = *root.relayed.cache(kKind);
  const SharedSnapshot before = cache.snapshotView()->snapshot;
  constexpr std::uint64_t kChanges = 3'000;
  for (std::uint64_t change = 1; change <= kChanges; ++change) {
    store::ChangeBatch batch;
    batch.revision = store::Revision(cache.revision().value() + 1);
    batch.changes = {{serverNumbered(3, batch.revision.value()), false}};
    cache.applyChanges(batch, monotonicNow());
  }
  BOOST_TEST(!cache.snapshotView().has_value());
  Node& late = childOf(root, "late");
  BOOST_TEST((cache.snapshotView()->snapshot != before));
  BOOST_TEST((late.relayed.cache(kKind)->revision() == cache.revision()));
}

// The children of a node that starts wait for it; what it was sent is theirs at once, as reading it
// takes a small machine seconds.
BOOST_AUTO_TEST_CASE(aSnapshotIsServedBeforeItHasBeenRead) {
  WatchCache cache(context.get_executor());
  SnapshotView offered;
  auto snapshot = std::make_shared<ListingSnapshot>();
  snapshot->revision = 5;
  snapshot->parts.push_back(encodePart(listingOf(3).objects, 0));
  offered.snapshot = snapshot;
  offered.changes.revision = store::Revision(6);
  offered.provenAt = monotonicNow();
  cache.offerSnapshot(offered);
  BOOST_TEST(!cache.known());
  BOOST_REQUIRE(cache.snapshotView().has_value());
  BOOST_TEST((cache.snapshotView()->snapshot == SharedSnapshot(snapshot)));
}

BOOST_AUTO_TEST_CASE(aRelayOfAnEarlierBuildIsAskedForAPlainListing) {
  Node& root = rootOf(20);
  http::Server earlier(
      context.get_executor(), {},
      [&root](http::Request& request, http::ResponseWriter& writer) -> asio::awaitable<void> {
        if (request.target == kSnapshotPath) {
          http::Response unknown = http::textResponse(404, "no handler\n");
          co_await http::respond(writer, std::move(unknown));
          co_return;
        }
        co_await root.relayServer.handle(request, writer);
      });
  Node& child = add("child");
  child.relayed.follow(earlier.listen({"127.0.0.1", 0}).value());
  const Result<store::Listing> listing = await(child.relayed.list(kKind));
  BOOST_REQUIRE(listing.has_value());
  BOOST_TEST(listing.value().objects.size() == 20U);
}

BOOST_AUTO_TEST_CASE(malformedPartsAreRejected) {
  SnapshotPart part = encodePart(listingOf(3).objects, 0);
  BOOST_TEST(decodePart(part).has_value());
  SnapshotPart cut = part;
  cut.compressed.resize(cut.compressed.size() / 2);
  BOOST_TEST(!decodePart(cut).has_value());
  SnapshotPart longer = part;
  longer.bytes += 1;
  BOOST_TEST(!decodePart(longer).has_value());
  SnapshotPart huge = part;
  huge.bytes = std::uint64_t{1} << 60U;
  BOOST_TEST(!decodePart(huge).has_value());
}

// Copies of a server's text: the state, the history, what a reader gets and what a child is sent
// share one.
BOOST_AUTO_TEST_CASE(objectsOfACacheShareTheirTexts) {
  WatchCache cache(context.get_executor());
  cache.applyListing(listingOf(3), monotonicNow());
  const store::Listing one = cache.listing();
  const store::Listing other = cache.listing();
  for (std::size_t place = 0; place < one.objects.size(); ++place) {
    BOOST_REQUIRE(one.objects[place].specText);
    BOOST_TEST(one.objects[place].specText == other.objects[place].specText);
    BOOST_TEST(one.objects[place].spec.is_null());
  }
}

/// Guards against views of earlier builds that cannot be read, and against gaps that are not told.
BOOST_AUTO_TEST_CASE(viewsTellWhetherChangesAreMissingAndThoseOfEarlierBuildsAreRead) {
  PatchedViewReply reply;
  reply.view.outcome = ViewOutcome::kServed;
  reply.view.revision = 7;
  reply.view.complete = false;
  const std::string encoded = peer::encode(reply);
  const auto read = peer::decode<PatchedViewReply>(encoded);
  BOOST_REQUIRE(read);
  BOOST_TEST(!read.value().view.complete);
  // Earlier builds end before the flag.
  const auto earlier = peer::decode<PatchedViewReply>(encoded.substr(0, encoded.size() - 1));
  BOOST_REQUIRE(earlier);
  BOOST_TEST(earlier.value().view.revision == 7U);
  BOOST_TEST(earlier.value().view.complete);
}

// A request of a build without the field is one byte sequence shorter.
BOOST_AUTO_TEST_CASE(joinRequestsOfEarlierBuildsAreRead) {
  JoinRequest request{"n", {"10.0.0.1", 7}, "z", true, 12};
  std::string encoded = peer::encode(request);
  BOOST_TEST(peer::decode<JoinRequest>(encoded).value().capacity == 12U);
  encoded.resize(encoded.size() - sizeof request.capacity);
  const Result<JoinRequest> earlier = peer::decode<JoinRequest>(encoded);
  BOOST_REQUIRE(earlier.has_value());
  BOOST_TEST(earlier.value().capacity == 0U);
  BOOST_TEST(earlier.value().probeOnly);
  BOOST_TEST(earlier.value().zone == "z");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
