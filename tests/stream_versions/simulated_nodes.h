#pragma once

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "stream_versions/version_core.h"
#include "support/simulated_network.h"

namespace calicodrift::stream_versions {

inline const std::string kService = "llm";
inline const SoftwareVersion kOld("v1");
inline const SoftwareVersion kNew("v1.1");
inline const StreamKey kStream(42);
inline constexpr Milliseconds kHour{3'600'000};

inline Endpoint endpointOf(std::size_t node) {
  return {"10.0.0." + std::to_string(node + 1), 7000};
}

/// Nodes that all know each other, and a store that lists servers, in virtual time.
struct SimulatedNodes {
  struct Node {
    std::unique_ptr<peer::Transport> transport;
    std::unique_ptr<VersionCore> core;
    /// Whether list() and proofs reach it.
    bool reachesStore = true;
    /// How many of the store's lists it has seen.
    std::size_t seenLists = 0;
    bool paused = false;
  };

  explicit SimulatedNodes(std::size_t count = 6) {
    network.run(kHour);
    for (std::size_t number = 0; number < count; ++number) {
      keepers.push_back(endpointOf(number));
    }
    nodes.resize(count);
    for (std::size_t number = 0; number < count; ++number) {
      start(number);
      // The fleet has had one version only before.
      nodes[number].core->applyArchive({}, {});
    }
  }

  void start(std::size_t number) {
    VersionCoreSettings settings;
    settings.endpoint = endpointOf(number);
    Node& node = nodes[number];
    node.core.reset();
    node.transport = network.attach(settings.endpoint);
    node.core = std::make_unique<VersionCore>(settings, *node.transport, metrics,
                                              [this] { return network.now(); });
    node.core->setKeepers(keepers);
    node.core->setProofRequest([this, number] { readStore(number); });
    node.seenLists = 0;
  }
  void kill(std::size_t number) {
    nodes[number].transport.reset();
    nodes[number].core.reset();
  }
  /// These nodes are the roots of the tree, as all know.
  void makeRoots(const std::vector<std::size_t>& numbers) {
    std::vector<Endpoint> roots;
    roots.reserve(numbers.size());
    for (const std::size_t number : numbers) {
      roots.push_back(endpointOf(number));
    }
    for (Node& node : nodes) {
      node.core->setRoots(roots);
    }
  }
  /// The node, the only root, reads the archive.
  void readArchive(std::size_t number, ArchivedHistory history, WallTime wall = {}) {
    makeRoots({number});
    nodes[number].core->applyArchive({{}, std::move(history)}, wall);
  }
  /// The node reaches no other node, and none reaches it.
  void cutOff(std::size_t number) {
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      network.cut(endpointOf(number), endpointOf(other));
      network.cut(endpointOf(other), endpointOf(number));
    }
  }
  /// The node's process stands still.
  void pause(std::size_t number) {
    nodes[number].paused = true;
    network.pause(endpointOf(number));
  }
  /// It goes on; timers are looked at before what has arrived is read.
  void resume(std::size_t number) {
    nodes[number].paused = false;
    nodes[number].core->tick();
    network.resume(endpointOf(number), Milliseconds(1));
  }

  /// The store lists these servers, and all nodes that reach it know at once.
  void list(const std::vector<ListedVersion>& servers) {
    lists.push_back(servers);
    for (std::size_t number = 0; number < nodes.size(); ++number) {
      if (nodes[number].core && nodes[number].reachesStore && !nodes[number].paused) {
        applyLists(number, network.now());
      }
    }
  }
  /// The node takes in all lists that it has not seen, with what came and went in between.
  void applyLists(std::size_t number, MonotonicTime provenAt) {
    Node& node = nodes[number];
    const bool hasSeenAny = node.seenLists > 0;
    for (std::size_t next = node.seenLists; hasSeenAny && next < lists.size(); ++next) {
      for (const ListedVersion& server : lists[next]) {
        node.core->noteListed(kService, server.version);
      }
    }
    node.seenLists = lists.size();
    node.core->applyListing({{kService, lists.back()}}, provenAt);
  }
  /// The node takes in the newest list as a whole: the store has forgotten what was in between.
  void applyNewestList(std::size_t number) {
    nodes[number].core->noteMissedChanges();
    nodes[number].seenLists = lists.size();
    nodes[number].core->applyListing({{kService, lists.back()}}, network.now());
  }
  static ListedVersion server(const SoftwareVersion& version, Milliseconds running = kHour) {
    return {version, running};
  }

  /// Starts to find out the version; run() or finish() go on with it.
  void ask(std::size_t number, StreamKey stream = kStream, bool attemptNamed = true) {
    answers.erase(stream);
    nodes[number].core->resolve(
        stream, kService, [this, stream](const Resolution& found) { answers[stream] = found; },
        attemptNamed);
  }
  Resolution finish(std::size_t number, StreamKey stream = kStream) {
    for (int step = 0; step < 100 && !answers.contains(stream); ++step) {
      network.run(Milliseconds(5));
      nodes[number].core->tick();
    }
    BOOST_REQUIRE(answers.contains(stream));
    return answers.at(stream);
  }
  Resolution resolve(std::size_t number, StreamKey stream = kStream, bool attemptNamed = true) {
    ask(number, stream, attemptNamed);
    return finish(number, stream);
  }

  testing::SimulatedNetwork network{7};
  prometheus::Registry registry;
  StreamVersionMetrics metrics{registry};
  std::vector<Endpoint> keepers;
  std::vector<Node> nodes;
  std::vector<std::vector<ListedVersion>> lists;
  std::map<StreamKey, Resolution> answers;
  /// Reads of the store for proofs.
  std::size_t reads = 0;

 private:
  void readStore(std::size_t number) {
    constexpr Milliseconds kRoundTrip{5};
    ++reads;
    const MonotonicTime asked = network.now();
    network.schedule(kRoundTrip, [this, number, asked] {
      const Node& node = nodes[number];
      if (node.core && node.reachesStore && !node.paused && !lists.empty()) {
        applyLists(number, asked);
      }
    });
  }
};

}  // namespace calicodrift::stream_versions
