#include "gateway/store_views.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/weights_schema.h"
#include "relay/fake_store.h"

namespace calicodrift::gateway {
namespace {

namespace asio = boost::asio;

const ModelId kModel("m");
constexpr weights::WeightsTerms kTerms{Milliseconds(6000), Milliseconds(7500)};
/// Within which requests must have begun on older weights.
constexpr Milliseconds kBound{8000};

/// Reads each object of the list as a server of its name.
class NamedServersSchema : public WeightsSchema {
 public:
  Result<fleet::Server> readServer(const store::Object& object) const override {
    fleet::Server server;
    server.id = BackendId(object.name);
    if (object.spec.is_string()) {
      server.version = SoftwareVersion(std::string(object.spec.as_string()));
    }
    return server;
  }
};

GatewaySettings settingsOfViews() {
  GatewaySettings settings;
  settings.nodeId = "node";
  settings.configWatch = settings.serverWatch = settings.configProofAge = Milliseconds(600);
  settings.weightsWatch = Milliseconds(500);
  return settings;
}

struct Views {
  asio::io_context context;
  relay::FakeStore store{context};
  NamedServersSchema schema;
  GatewaySettings settings = settingsOfViews();
  fleet::ServerPool pool{40, [](const fleet::Server&, fleet::ServerLoss) {}};
  weights::WeightsTargets targets{kTerms, monotonicNow()};
  prometheus::Registry registry;
  GatewayMetrics metrics{registry};
  UnreadableObjects unreadable{metrics};
  StoreViews views{
      context.get_executor(),
      store,
      schema,
      settings,
      pool,
      targets,
      unreadable,
      {[](const routes::RouteTable&) {}, [](const ModelId&, WeightsVersion) {}, [] {},
       [this](const fleet::Server& server) { entries.push_back(server.version.value()); },
       [this] { ++missed; }, [this] { ++proofs; }}};
  /// Software versions of the entries that changed, and how often changes were missed and the list
  /// was proven.
  std::vector<std::string> entries;
  std::size_t missed = 0;
  std::size_t proofs = 0;
  void runFor(Milliseconds time) { context.run_for(time); }
  /// The first listing, with one server of the software version, misses nothing.
  void startWithServer(const std::string& id, const std::string& version) {
    store.set("servers", id, version);
    views.start();
    runFor(Milliseconds(50));
    BOOST_TEST(missed == 0U);
  }
};

/// A node whose parent in the tree has gone finds another one within a second. What was named
/// meanwhile counts from when it is heard, where the term of requests that wait leaves half a
/// second of the bound for hearing of it.
BOOST_AUTO_TEST_CASE(changeThatCameASecondLateLeavesNoRequestWaitingBeyondTheBound) {
  Views node;
  node.store.set("weights", "m", "m 1");
  node.views.start();
  node.runFor(Milliseconds(30));
  node.store.down = true;
  node.runFor(Milliseconds(20));
  node.store.set("weights", "m", "m 2");
  const MonotonicTime named = monotonicNow();
  node.runFor(Milliseconds(550));
  node.store.down = false;
  node.runFor(Milliseconds(600));
  BOOST_REQUIRE((node.targets.newest(kModel) == WeightsVersion(2)));
  BOOST_TEST((node.targets.leastWaitable(kModel, named + kBound) == WeightsVersion(2)));
}

/// A node that starts while another writer's object stands in place of the naming must not take the
/// naming that comes back for one that was made just then.
BOOST_AUTO_TEST_CASE(namingThatComesBackAfterABadObjectCountsFromTheNodesStart) {
  Views node;
  node.store.set("weights", "m", "bad");
  node.views.start();
  node.runFor(Milliseconds(700));
  const MonotonicTime back = monotonicNow();
  node.store.set("weights", "m", "m 2");
  node.runFor(Milliseconds(100));
  BOOST_REQUIRE((node.targets.newest(kModel) == WeightsVersion(2)));
  const MonotonicTime foundEnd = back + weights::WeightsTargets::kDiscoveredTerm;
  BOOST_TEST((node.targets.leastSendable(kModel, foundEnd) == WeightsVersion(2)));
  BOOST_TEST((node.targets.leastWaitable(kModel, foundEnd) == WeightsVersion(2)));
  BOOST_TEST(node.targets.exportNamings(back).empty());
}

/// What was named while the object could not be read may have been named just after the last time
/// that it could.
BOOST_AUTO_TEST_CASE(namingThatComesBackCountsFromTheLastReadableState) {
  Views node;
  node.store.set("weights", "m", "m 1");
  node.views.start();
  node.runFor(Milliseconds(300));
  const MonotonicTime readable = monotonicNow();
  node.store.set("weights", "m", "bad");
  node.runFor(Milliseconds(1200));
  node.store.set("weights", "m", "m 2");
  node.runFor(Milliseconds(100));
  BOOST_REQUIRE((node.targets.newest(kModel) == WeightsVersion(2)));
  BOOST_TEST((node.targets.leastSendable(kModel, readable + kTerms.send) == WeightsVersion(2)));
  BOOST_TEST((node.targets.leastWaitable(kModel, readable + kTerms.wait) == WeightsVersion(2)));
}

/// Where nothing was named for a model, there is no object. The naming that makes it is as new as
/// any other: servers hold older weights, which stay in use for the whole term.
BOOST_AUTO_TEST_CASE(firstNamingOfAModelLeavesTheWholeTerm) {
  Views node;
  node.store.set("weights", "other", "other 1");
  node.views.start();
  node.runFor(Milliseconds(700));
  node.store.set("weights", "m", "m 2");
  const MonotonicTime named = monotonicNow();
  node.runFor(Milliseconds(100));
  BOOST_REQUIRE((node.targets.newest(kModel) == WeightsVersion(2)));
  // But for what the view's proof was old by.
  const MonotonicTime nearEnd = named + kTerms.send - Milliseconds(300);
  BOOST_TEST((node.targets.leastSendable(kModel, nearEnd) == WeightsVersion()));
  BOOST_TEST((node.targets.leastSendable(kModel, named + kTerms.send + Milliseconds(100)) ==
              WeightsVersion(2)));
}

/// The recorder would write to it again and again.
BOOST_AUTO_TEST_CASE(removedNamingIsNotKeptForTheRecorder) {
  Views node;
  node.store.set("weights", "m", "m 1");
  node.views.start();
  node.runFor(Milliseconds(30));
  BOOST_TEST(node.views.storedWeights().size() == 1U);
  node.store.remove("weights", "m");
  node.runFor(Milliseconds(100));
  BOOST_TEST(node.views.storedWeights().empty());
}

/// Guards against software versions of which nobody knows, as their servers came and went, or
/// changed their version, within one batch of changes.
BOOST_AUTO_TEST_CASE(versionsThatCameAndWentWithinABatchAreTold) {
  Views node;
  node.startWithServer("a", "v1");
  node.store.set("servers", "b", "v1.1");
  node.store.remove("servers", "b");
  node.store.set("servers", "a", "v1.2");
  node.store.set("servers", "a", "v1");
  node.runFor(Milliseconds(100));
  // The store tells the states of a listed server, and of one that has left that it has.
  BOOST_TEST((std::find(node.entries.begin(), node.entries.end(), "v1.2") != node.entries.end()));
  BOOST_TEST((std::find(node.entries.begin(), node.entries.end(), "v1.1") != node.entries.end()));
  BOOST_TEST(node.missed == 0U);
  BOOST_TEST(node.proofs >= 2U);
}

/// Guards against a second listing that is taken for all that was since the first one.
BOOST_AUTO_TEST_CASE(aListingAfterTheFirstOneMayLackWhatCameAndWent) {
  Views node;
  node.startWithServer("a", "v1");
  node.store.forgottenKind = "servers";
  node.runFor(Milliseconds(800));
  BOOST_TEST(node.missed == 1U);
}

/// The largest number of servers that one handler of the event loop adds to the pool while a
/// listing of this many is applied.
std::size_t mostServersInAHandler(std::size_t servers) {
  Views node;
  for (std::size_t number = 0; number < servers; ++number) {
    node.store.setSpec("servers", "server-" + std::to_string(number), boost::json::object());
  }
  node.views.start();
  std::size_t most = 0;
  std::size_t before = 0;
  while (node.pool.size() < servers && node.context.run_one() != 0) {
    most = std::max(most, node.pool.size() - before);
    before = node.pool.size();
  }
  BOOST_TEST(node.pool.size() == servers);
  return most;
}

/// A listing that is applied without a break holds the event loop for longer the more servers there
/// are.
BOOST_AUTO_TEST_CASE(aHandlerAppliesNoMoreServersOfALongListingThanOfAShortOne) {
  const std::size_t most = mostServersInAHandler(100);
  BOOST_TEST(most < 100U);
  BOOST_TEST(mostServersInAHandler(3000) == most);
}

}  // namespace
}  // namespace calicodrift::gateway
