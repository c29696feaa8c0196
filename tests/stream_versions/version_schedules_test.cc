// Guards against streams of two software versions whatever happens between a break and the caller's
// return: drawn schedules in virtual time with kills, cuts, lists that lag, nodes that are out of
// step and versions that come and go.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

#include "stream_versions/version_core.h"
#include "support/simulated_network.h"

namespace calicodrift::stream_versions {
namespace {

using testing::SimulatedNetwork;

const std::string kService = "llm";
constexpr Milliseconds kWarmUp{60'000};
constexpr int kLongestStreamMs = 20'000;
/// The caller comes back this late at most.
constexpr int kLatestReturnMs = 3000;
/// A node counts as in touch so long after its start.
constexpr Milliseconds kContact{3000};
/// Servers that have left the list serve on so long.
constexpr Milliseconds kServesOn{4000};

struct Server {
  SoftwareVersion version;
  MonotonicTime started;
  bool operator==(const Server&) const = default;
};
using Servers = std::map<std::size_t, Server>;

/// What happens beside releases.
struct Troubles {
  bool killsAndCuts = true;
  /// Nodes get no list for a while, or stand still.
  bool outOfStep = false;
  /// Servers of other versions join and leave, some for a moment only.
  bool releases = true;
};

/// What the schedules have found.
struct Findings {
  std::size_t returns = 0;
  /// Returns at nodes that get no list or have stood still just before, without releases.
  std::size_t outOfStep = 0;
  std::size_t outOfStepWentOn = 0;
  /// Returns while two servers of their version served, at nodes that are not cut off.
  std::size_t judged = 0;
  std::size_t wentOn = 0;
  std::size_t mixed = 0;
  std::size_t keptByDeadNodes = 0;
};

/// A fleet of nodes before the servers of one service, all of it drawn from one seed.
class World {
 public:
  World(std::uint64_t seed, std::size_t nodes, std::size_t keepers, Findings& findings,
        Troubles troubles = {})
      : network_(seed), random_(network_.random()), findings_(findings), troubles_(troubles) {
    network_.setFaults({0.01, 0.01, Milliseconds(1), Milliseconds(5)});
    network_.run(Milliseconds(3'600'000));
    for (std::size_t number = 0; number < 12; ++number) {
      servers_[number] = {SoftwareVersion("v1"), network_.now() - Milliseconds(600'000)};
    }
    noteServers();
    keeperCount_ = keepers;
    nodes_.resize(nodes);
    for (std::size_t number = 0; number < nodes; ++number) {
      nodes_[number].endpoint = {
          "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1), 7000};
      start(number);
    }
    network_.run(kWarmUp);
  }

  /// Streams begin, break and are taken up again, while servers and nodes change.
  void run(std::size_t streams) {
    for (std::size_t number = 0; number < streams; ++number) {
      network_.schedule(draw(0, 40'000), [this] { beginStream(); });
    }
    if (troubles_.releases) {
      scheduleReleases();
    }
    // Each node is struck once or twice.
    for (std::size_t fault = 0; fault < nodes_.size() * 3 / 2; ++fault) {
      if (troubles_.killsAndCuts) {
        network_.schedule(draw(0, 40'000), [this] { strikeNode(); });
      }
      if (troubles_.outOfStep) {
        network_.schedule(draw(0, 40'000), [this] { putOutOfStep(); });
      }
    }
    network_.run(Milliseconds(60'000));
  }

 private:
  struct Stream {
    StreamKey key;
    SoftwareVersion version;
    std::size_t server = 0;
    std::size_t node = 0;
    std::size_t nodeStart = 0;
  };
  struct Node {
    Endpoint endpoint;
    std::unique_ptr<peer::Transport> transport;
    std::unique_ptr<VersionCore> core;
    /// The list that it sees is this old.
    Milliseconds lag{0};
    Servers seen;
    /// The number of the list that it sees.
    std::size_t seenList = 0;
    /// No list reaches it.
    bool cutFromStore = false;
    bool paused = false;
    /// When it was last out of step.
    MonotonicTime outOfStepAt{};
    /// Cut off all other nodes; callers, servers and the store reach it.
    bool cut = false;
    std::size_t starts = 0;
    MonotonicTime startedAt;
    MonotonicTime cutAt;
    /// Under way.
    std::map<StreamKey, Stream> streams;
  };

  std::size_t pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  Milliseconds draw(int least, int most) {
    return Milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
  }

  void noteServers() {
    lists_.push_back(servers_);
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      scheduleView(number);
    }
  }
  /// The node sees the present list after its lag.
  void scheduleView(std::size_t number) {
    const std::size_t starts = nodes_[number].starts;
    network_.schedule(nodes_[number].lag, [this, number, starts, list = lists_.size() - 1] {
      Node& node = nodes_[number];
      if (node.starts == starts && reachesStore(node)) {
        seeList(node, list, network_.now() - node.lag);
      }
    });
  }
  static bool reachesStore(const Node& node) {
    return node.core && !node.paused && !node.cutFromStore;
  }
  /// The node takes in the changes up to the list.
  void seeList(Node& node, std::size_t list, MonotonicTime provenAt) {
    for (std::size_t next = node.seenList + 1; next <= list; ++next) {
      for (const auto& [id, server] : lists_[next]) {
        node.core->noteListed(kService, server.version);
      }
    }
    if (list > node.seenList) {
      node.seenList = list;
      node.seen = lists_[list];
    }
    apply(node, provenAt);
  }
  void apply(Node& node, MonotonicTime provenAt) {
    VersionListing listing;
    for (const auto& [id, server] : node.seen) {
      listing[kService].push_back({server.version, std::chrono::duration_cast<Milliseconds>(
                                                       network_.now() - server.started)});
    }
    node.core->applyListing(listing, provenAt);
  }
  /// Reads the newest list for a proof.
  void readStore(std::size_t number) {
    const MonotonicTime asked = network_.now();
    network_.schedule(draw(4, 20), [this, number, asked, starts = nodes_[number].starts] {
      Node& node = nodes_[number];
      if (node.starts == starts && reachesStore(node)) {
        seeList(node, lists_.size() - 1, asked);
      }
    });
  }

  std::vector<Endpoint> keepers() const {
    std::vector<Endpoint> keepers;
    for (const Node& node : nodes_) {
      // A root forgets a child that has not called for three seconds.
      const bool known = node.core && (!node.cut || network_.now() - node.cutAt < kContact);
      if (known && keepers.size() < keeperCount_) {
        keepers.push_back(node.endpoint);
      }
    }
    return keepers;
  }
  /// The first two keepers.
  std::vector<Endpoint> roots() const {
    std::vector<Endpoint> roots = keepers();
    roots.resize(std::min<std::size_t>(roots.size(), 2));
    return roots;
  }
  void start(std::size_t number) {
    Node& node = nodes_[number];
    ++node.starts;
    node.startedAt = network_.now();
    node.lag = draw(50, 1500);
    node.transport = network_.attach(node.endpoint);
    VersionCoreSettings settings;
    settings.endpoint = node.endpoint;
    node.core = std::make_unique<VersionCore>(settings, *node.transport, metrics_,
                                              [this] { return network_.now(); });
    node.core->setProofRequest([this, number] { readStore(number); });
    node.seen = servers_;
    node.seenList = lists_.size() - 1;
    node.paused = false;
    network_.resume(node.endpoint);
    apply(node, network_.now() - node.lag);
    network_.schedule(draw(100, 400),
                      [this, number, starts = node.starts] { learnKeepers(number, starts); });
  }
  void learnKeepers(std::size_t number, std::size_t starts) {
    Node& node = nodes_[number];
    if (!node.core || node.starts != starts) {
      return;
    }
    if (!node.paused) {
      if (!node.cut || node.core->keepers().empty()) {
        node.core->setKeepers(keepers());
        node.core->setRoots(roots());
      }
      if (!node.cutFromStore) {
        node.core->setListingProvenAt(network_.now() - node.lag);
      }
      node.core->renewRecords();
    }
    network_.schedule(draw(1500, 2500), [this, number, starts] { learnKeepers(number, starts); });
  }
  void kill(std::size_t number) {
    nodes_[number].core.reset();
    nodes_[number].transport.reset();
    for (const auto& [key, stream] : std::exchange(nodes_[number].streams, {})) {
      returnLater(stream, true);
    }
    network_.schedule(draw(300, 3000), [this, number] {
      if (!nodes_[number].core) {
        start(number);
      }
    });
  }
  void cutOff(std::size_t number) {
    nodes_[number].cut = true;
    nodes_[number].cutAt = network_.now();
    for (const Node& other : nodes_) {
      network_.cut(nodes_[number].endpoint, other.endpoint);
      network_.cut(other.endpoint, nodes_[number].endpoint);
    }
  }
  void strikeNode() {
    const std::size_t number = pick(nodes_.size());
    if (pick(3) == 0 && nodes_[number].core && cuts_ < nodes_.size() / 3) {
      ++cuts_;
      cutOff(number);
    } else if (nodes_[number].core) {
      kill(number);
    }
  }

  /// A node gets no list for a while, or stands still, and is in step again.
  void putOutOfStep() {
    const std::size_t number = pick(nodes_.size());
    Node& node = nodes_[number];
    if (!node.core || node.paused || node.cutFromStore) {
      return;
    }
    const bool pauses = pick(2) == 0;
    (pauses ? node.paused : node.cutFromStore) = true;
    if (pauses) {
      network_.pause(node.endpoint);
    }
    network_.schedule(pauses ? draw(200, 6000) : draw(200, 10'000),
                      [this, number, pauses, starts = node.starts] {
                        if (nodes_[number].starts == starts && nodes_[number].core) {
                          putInStep(nodes_[number], pauses);
                        }
                      });
  }
  void putInStep(Node& node, bool paused) {
    node.outOfStepAt = network_.now();
    if (paused) {
      node.paused = false;
      node.core->tick();
      network_.resume(node.endpoint, draw(0, 5));
      return;
    }
    node.cutFromStore = false;
    // The store may have forgotten what was in between.
    if (pick(3) == 0) {
      node.core->noteMissedChanges();
      node.seenList = lists_.size() - 1;
      node.seen = servers_;
    }
    network_.schedule(draw(1, 400), [this, &node, starts = node.starts] {
      if (node.starts == starts && reachesStore(node)) {
        seeList(node, lists_.size() - 1, network_.now());
      }
    });
  }
  void scheduleReleases() {
    network_.schedule(draw(5'000, 15'000), [this] { upgradeInTurn(1); });
    if (pick(2) == 0) {
      network_.schedule(draw(20'000, 30'000), [this] { upgradeInTurn(2); });
    }
    for (int visit = 0; troubles_.outOfStep && visit < 3; ++visit) {
      network_.schedule(draw(0, 40'000), [this, visit] { visitShortly(visit); });
    }
  }
  /// A server of another version joins and leaves soon.
  void visitShortly(int visit) {
    const std::size_t id = 100 + static_cast<std::size_t>(visit);
    servers_[id] = {SoftwareVersion("v2." + std::to_string(visit)), network_.now()};
    noteServers();
    network_.schedule(draw(200, 3000), [this, id] {
      servers_.erase(id);
      leftAt_[id] = network_.now();
      noteServers();
    });
  }

  /// Servers start again one after the other, each with the next version; a few keep the old one.
  void upgradeInTurn(int minor) {
    int step = 0;
    for (auto& [id, server] : servers_) {
      if (pick(4) == 0) {
        continue;
      }
      network_.schedule(Milliseconds(400 * step++), [this, id = id, minor] {
        servers_[id] = {SoftwareVersion("v1." + std::to_string(minor)), network_.now()};
        noteServers();
      });
    }
  }

  /// Whether the server is there at this version: it is listed, or serves on after it has left.
  bool serves(std::size_t id, const SoftwareVersion& version) const {
    const auto listed = servers_.find(id);
    if (listed != servers_.end()) {
      return listed->second.version == version;
    }
    const auto left = leftAt_.find(id);
    return left != leftAt_.end() && network_.now() - left->second < kServesOn;
  }
  void beginStream() {
    const std::size_t number = pick(nodes_.size());
    Node& node = nodes_[number];
    if (!node.core || node.paused || node.seen.empty()) {
      return;
    }
    auto place = node.seen.begin();
    std::advance(place, pick(node.seen.size()));
    // A server that has started again answers that it is not the one that was meant.
    if (!serves(place->first, place->second.version)) {
      return;
    }
    Stream stream{StreamKey(nextStream_++), place->second.version, place->first, number,
                  node.starts};
    network_.schedule(draw(20, 300), [this, stream] { firstEvent(stream); });
  }
  void firstEvent(const Stream& stream) {
    Node& node = nodes_[stream.node];
    if (!node.core || node.starts != stream.nodeStart) {
      return;
    }
    if (node.paused) {
      // The node reads what the server has sent when it goes on.
      network_.schedule(draw(50, 200), [this, stream] { firstEvent(stream); });
      return;
    }
    if (!serves(stream.server, stream.version)) {
      return;
    }
    node.core->begin(stream.key, kService, stream.version);
    node.streams.insert({stream.key, stream});
    network_.schedule(draw(1, kLongestStreamMs), [this, stream] { endStream(stream); });
  }
  /// The stream is whole, or its caller's connection has broken.
  void endStream(const Stream& stream) {
    Node& node = nodes_[stream.node];
    if (node.core && node.starts == stream.nodeStart && node.streams.erase(stream.key) > 0) {
      const bool whole = pick(3) > 0;
      node.core->end(stream.key, whole);
      if (!whole) {
        returnLater(stream, false);
      }
    }
  }
  void returnLater(const Stream& stream, bool nodeDied) {
    network_.schedule(draw(5, kLatestReturnMs),
                      [this, stream, nodeDied] { comeBack(stream, nodeDied); });
  }
  void comeBack(const Stream& stream, bool nodeDied) {
    const std::size_t number = pick(nodes_.size());
    Node& node = nodes_[number];
    if (!node.core) {
      return;
    }
    if (node.paused) {
      // The node reads the return when it goes on.
      network_.schedule(draw(50, 200),
                        [this, stream, nodeDied, number] { comeBackTo(number, stream, nodeDied); });
      return;
    }
    comeBackTo(number, stream, nodeDied);
  }
  void comeBackTo(std::size_t number, const Stream& stream, bool nodeDied) {
    Node& node = nodes_[number];
    if (!node.core || node.paused) {
      return;
    }
    ++findings_.returns;
    findings_.keptByDeadNodes += nodeDied ? 1 : 0;
    const auto serving = std::count_if(servers_.begin(), servers_.end(), [&](const auto& item) {
      return item.second.version == stream.version;
    });
    const bool inTouch =
        !node.cut && !nodes_[stream.node].cut && network_.now() - node.startedAt > kContact;
    const bool inStep = !node.cutFromStore && network_.now() - node.outOfStepAt > kContact;
    const bool judged = serving >= 2 && inTouch && inStep;
    const bool outOfStep = !inStep && !troubles_.releases;
    findings_.judged += judged ? 1 : 0;
    findings_.outOfStep += outOfStep ? 1 : 0;
    const auto listener = [this, stream, judged, outOfStep](const Resolution& found) {
      findings_.wentOn += judged && found.known() ? 1 : 0;
      findings_.outOfStepWentOn += outOfStep && found.known() ? 1 : 0;
      findings_.mixed += found.known() && found.version != stream.version ? 1 : 0;
    };
    node.core->resolve(stream.key, kService, listener);
    tickUntilDone(number, node.starts, 100);
  }

  void tickUntilDone(std::size_t number, std::size_t starts, int left) {
    network_.schedule(Milliseconds(5), [this, number, starts, left] {
      Node& node = nodes_[number];
      if (!node.core || node.starts != starts || left == 0) {
        return;
      }
      if (!node.paused) {
        node.core->tick();
      }
      tickUntilDone(number, starts, left - 1);
    });
  }

  SimulatedNetwork network_;
  std::mt19937_64& random_;
  Findings& findings_;
  Troubles troubles_;
  prometheus::Registry registry_;
  StreamVersionMetrics metrics_{registry_};
  Servers servers_;
  /// All lists of the store, in order.
  std::vector<Servers> lists_;
  std::map<std::size_t, MonotonicTime> leftAt_;
  std::vector<Node> nodes_;
  std::size_t keeperCount_ = 0;
  std::size_t cuts_ = 0;
  std::uint64_t nextStream_ = 1;
};

void check(const Findings& findings, std::size_t leastReturns) {
  BOOST_TEST_MESSAGE(findings.returns
                     << " returns, " << findings.keptByDeadNodes
                     << " after the node that served them died; " << findings.judged << " judged, "
                     << findings.wentOn << " of these went on, " << findings.mixed
                     << " at another version; " << findings.outOfStep
                     << " at nodes out of step beside one version, " << findings.outOfStepWentOn
                     << " of these went on");
  BOOST_TEST(findings.returns >= leastReturns);
  BOOST_TEST(findings.mixed == 0U);
  BOOST_TEST(findings.wentOn * 100 >= findings.judged * 95);
}

BOOST_AUTO_TEST_SUITE(version_schedules)

BOOST_AUTO_TEST_CASE(noReturnGoesOnAtAnotherVersionAtSevenNodes) {
  Findings findings;
  for (std::uint64_t seed = 1; seed <= 160; ++seed) {
    World world(seed, 7, 7, findings);
    world.run(200);
  }
  check(findings, 10'000);
}

/// Schedules beside nodes out of step, from the first seed on; in half of them nodes are killed and
/// cut off, too.
struct Schedules {
  std::uint64_t firstSeed = 0;
  std::uint64_t count = 0;
  std::size_t nodes = 0;
  std::size_t keepers = 0;
  std::size_t streams = 0;
  bool releases = true;
};

void runOutOfStep(const Schedules& schedules) {
  Findings findings;
  const std::uint64_t end = schedules.firstSeed + schedules.count;
  for (std::uint64_t seed = schedules.firstSeed; seed < end; ++seed) {
    World world(seed, schedules.nodes, schedules.keepers, findings,
                {seed % 2 == 0, true, schedules.releases});
    world.run(schedules.streams);
  }
  check(findings, 10'000);
}

/// Guards against a return at a node that does not know of a version which has joined meanwhile.
BOOST_AUTO_TEST_CASE(noReturnGoesOnAtAnotherVersionBesideSevenNodesOutOfStep) {
  runOutOfStep({1001, 160, 7, 7, 200});
}

BOOST_AUTO_TEST_CASE(noReturnGoesOnAtAnotherVersionBesideThreeHundredNodesOutOfStep) {
  runOutOfStep({1001, 10, 300, 34, 3500});
}

/// Guards against refusals of returns that other nodes or the store could tell about.
BOOST_AUTO_TEST_CASE(returnsBesideOneVersionGoOnThoughNodesAreOutOfStep) {
  runOutOfStep({2001, 160, 7, 7, 200, false});
}

/// The roots of the tree and their children keep the records.
BOOST_AUTO_TEST_CASE(noReturnGoesOnAtAnotherVersionAtThreeHundredNodes) {
  Findings findings;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    World world(seed, 300, 34, findings);
    world.run(3500);
  }
  check(findings, 10'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::stream_versions
