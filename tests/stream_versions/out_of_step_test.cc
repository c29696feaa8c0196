// Guards against streams that are joined from two software versions at a node that is out of step
// with the others: cut off, standing still, or with a list that lacks what came and went.

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "stream_versions/keeper_ranking.h"
#include "stream_versions/simulated_nodes.h"

namespace calicodrift::stream_versions {
namespace {

constexpr Milliseconds kLong{40'000};

struct OutOfStep : SimulatedNodes {
  OutOfStep() {
    list({server(kOld)});
    network.run(kLong);
    list({server(kOld)});
  }
  /// A node, not this one, that keeps no record of the stream which node 1 serves.
  std::size_t nodeWithoutRecord() const {
    const std::vector<Endpoint> ranked = rankedKeepers(keepers, kStream, keepers.size());
    for (auto last = ranked.rbegin(); last != ranked.rend(); ++last) {
      const auto number = static_cast<std::size_t>(
          std::find(keepers.begin(), keepers.end(), *last) - keepers.begin());
      if (number != 1) {
        return number;
      }
    }
    return 0;
  }
  /// Servers of the new version join, which all nodes in step know, and node 1 begins the stream at
  /// one of them.
  void joinAndBegin() {
    list({server(kOld), server(kNew, Milliseconds(0))});
    nodes[1].core->begin(kStream, kService, kNew);
    network.run(Milliseconds(20));
  }
  /// The same, and node 1 reaches no keeper and is lost.
  void joinAndBeginUnrecorded() {
    cutOff(1);
    joinAndBegin();
    network.healAll();
    kill(1);
  }
  bool goesOnAtOld(const Resolution& found) const { return found.known() && found.version == kOld; }
};

BOOST_FIXTURE_TEST_SUITE(out_of_step, OutOfStep)

/// Guards against a list of some seconds ago that is taken for the present one.
BOOST_AUTO_TEST_CASE(aNodeThatIsCutOffDoesNotTakeItsListForTheNewestOne) {
  cutOff(0);
  nodes[0].reachesStore = false;
  network.run(Milliseconds(2000));
  joinAndBegin();
  network.run(Milliseconds(1000));
  const Resolution found = resolve(0);
  BOOST_TEST(!goesOnAtOld(found));
  BOOST_TEST(!found.final, "the stream may go on at another node");
}

/// Guards against a timer that gives a question up before the answers are read that came while the
/// process stood still.
BOOST_AUTO_TEST_CASE(aNodeThatStoodStillReadsTheAnswersBeforeItGivesUp) {
  const std::size_t number = nodeWithoutRecord();
  nodes[number].reachesStore = false;
  joinAndBegin();
  ask(number);
  pause(number);
  network.run(Milliseconds(500));
  resume(number);
  const Resolution found = finish(number);
  BOOST_TEST((found.source == VersionSource::kKeeper));
  BOOST_TEST((found.version == kNew));
}

/// Guards against two lists in a row that are taken for all that was listed in between.
BOOST_AUTO_TEST_CASE(aNodeWhoseListHasAGapDoesNotTakeWhatIsListedForAllThatWas) {
  nodes[0].reachesStore = false;
  network.run(Milliseconds(1000));
  joinAndBeginUnrecorded();
  network.run(Milliseconds(6000));
  list({server(kOld)});
  for (std::size_t number = 2; number < nodes.size(); ++number) {
    kill(number);
  }
  nodes[0].reachesStore = true;
  applyNewestList(0);
  BOOST_TEST(!resolve(0).known());
}

/// Guards against a batch of changes of which only the last state is looked at.
BOOST_AUTO_TEST_CASE(aVersionThatCameAndWentWithinABatchOfChangesCounts) {
  nodes[0].reachesStore = false;
  network.run(Milliseconds(1000));
  joinAndBeginUnrecorded();
  list({server(kOld)});
  for (std::size_t number = 2; number < nodes.size(); ++number) {
    kill(number);
  }
  nodes[0].reachesStore = true;
  BOOST_TEST(!resolve(0).known());
}

/// Guards against nodes out of step that confirm each other.
BOOST_AUTO_TEST_CASE(nodesThatAreOutOfStepTogetherProveNothingToEachOther) {
  for (const std::size_t number : {0, 2, 3}) {
    nodes[number].reachesStore = false;
    for (const std::size_t other : {1, 4, 5}) {
      network.cut(endpointOf(number), endpointOf(other));
      network.cut(endpointOf(other), endpointOf(number));
    }
  }
  makeRoots({2, 3});
  network.run(Milliseconds(2000));
  joinAndBegin();
  for (const std::size_t number : {0, 2, 3}) {
    BOOST_TEST(!resolve(number).known());
  }
}

/// Guards against an outdated root, which speaks for all nodes that ask it.
BOOST_AUTO_TEST_CASE(aRootOutOfStepProvesNothing) {
  makeRoots({2});
  nodes[2].reachesStore = false;
  nodes[0].reachesStore = false;
  network.run(Milliseconds(2000));
  joinAndBeginUnrecorded();
  for (const std::size_t number : {3, 4, 5}) {
    kill(number);
  }
  BOOST_TEST(!resolve(0).known());
  nodes[2].reachesStore = true;
  const Resolution found = resolve(0);
  BOOST_TEST(!found.known(), "the root has read the list again, and tells of both versions");
}

/// Guards against keepers that are all out of step: none has the record.
BOOST_AUTO_TEST_CASE(keepersOutOfStepDoNotSpeakForTheNodeThatServedTheStream) {
  list({server(kOld), server(kNew, Milliseconds(0))});
  for (std::size_t number = 0; number < nodes.size(); ++number) {
    if (number != 1) {
      cutOff(number);
    }
  }
  nodes[1].core->begin(kStream, kService, kNew);
  network.run(Milliseconds(20));
  network.healAll();
  kill(1);
  for (const std::size_t number : {0, 2, 3, 4, 5}) {
    BOOST_TEST(!resolve(number).known());
  }
}

/// Guards against a return that goes on at the wrong version wherever the node stands still: before
/// it asks, between question and answer, and between the proof of the store and the answer.
BOOST_AUTO_TEST_CASE(aNodeThatStandsStillAtAnyStepOfAReturnTakesNoOtherVersion) {
  for (int before = 0; before <= 30; before += 2) {
    OutOfStep fleet;
    fleet.makeRoots({2, 3});
    const std::size_t number = fleet.nodeWithoutRecord();
    fleet.ask(number, StreamKey(7));
    fleet.network.run(Milliseconds(before));
    fleet.pause(number);
    fleet.network.run(Milliseconds(1000));
    fleet.joinAndBegin();
    fleet.network.run(Milliseconds(1000));
    fleet.resume(number);
    // A stream that has begun meanwhile, and one that was asked for before.
    const Resolution later = fleet.resolve(number);
    BOOST_TEST(!fleet.goesOnAtOld(later), "stood still " << before << " ms after the question");
    fleet.finish(number, StreamKey(7));
  }
}

/// The old version may leave, too: what its streams wrote goes on nowhere else.
BOOST_AUTO_TEST_CASE(aVersionThatLeavesWhileANodeIsCutOffIsNotForgotten) {
  nodes[1].core->begin(kStream, kService, kOld);
  cutOff(0);
  nodes[0].reachesStore = false;
  list({server(kOld), server(kNew, Milliseconds(0))});
  network.run(Milliseconds(1000));
  list({server(kNew, Milliseconds(1000))});
  kill(1);
  network.run(Milliseconds(1000));
  network.healAll();
  nodes[0].reachesStore = true;
  const Resolution found = resolve(0);
  BOOST_TEST((!found.known() || found.version == kOld));
}

/// A version that comes back is not the only one as long as streams of the one in between last.
BOOST_AUTO_TEST_CASE(aVersionThatComesBackIsNotTheOnlyOne) {
  list({server(kNew, Milliseconds(0))});
  nodes[1].core->begin(kStream, kService, kNew);
  network.run(Milliseconds(3000));
  list({server(kOld, Milliseconds(0))});
  for (std::size_t number = 1; number < nodes.size(); ++number) {
    kill(number);
  }
  network.run(Milliseconds(20'000));
  list({server(kOld, Milliseconds(20'000))});
  BOOST_TEST(!goesOnAtOld(resolve(0)));
  BOOST_TEST(!resolve(0, StreamKey(43)).known(), "no record of this one");
}

/// Beside one version a return goes on: by a proof of a root, of which many returns share one, or
/// by the node's own.
BOOST_AUTO_TEST_CASE(streamsOfAFleetWithOneVersionGoOn) {
  makeRoots({2, 3});
  nodes[1].core->begin(kStream, kService, kOld);
  kill(1);
  BOOST_TEST((resolve(0).version == kOld));
  nodes[0].reachesStore = false;
  BOOST_TEST((resolve(0, StreamKey(43)).version == kOld), "proven by a root");
  nodes[0].reachesStore = true;
  cutOff(0);
  BOOST_TEST((resolve(0, StreamKey(44)).version == kOld), "proven by its own read of the store");
}

/// Guards against reads of the store that no one needs.
BOOST_AUTO_TEST_CASE(onlyReturnsThatNameTheirAttemptAreProven) {
  makeRoots({2, 3});
  BOOST_TEST((resolve(0, kStream, false).version == kOld));
  BOOST_TEST(reads == 0U);
  BOOST_TEST((resolve(0).version == kOld));
  BOOST_TEST(reads > 0U);
}

/// Guards against reads of a store that is away which go on after all that asked have given up.
BOOST_AUTO_TEST_CASE(aProofThatDoesNotComeIsGivenUp) {
  makeRoots({2, 3});
  for (Node& node : nodes) {
    node.reachesStore = false;
  }
  network.run(Milliseconds(10));
  BOOST_TEST(!resolve(0).known());
  BOOST_TEST(reads > 0U);
  network.run(Milliseconds(400));
  for (Node& node : nodes) {
    BOOST_TEST(!node.core->needsProof());
  }
}

/// The node that served a stream knows its version, whatever its list tells.
BOOST_AUTO_TEST_CASE(theNodeThatServedAStreamKnowsItsVersion) {
  nodes[1].core->begin(kStream, kService, kOld);
  nodes[1].core->end(kStream, false);
  nodes[1].reachesStore = false;
  cutOff(1);
  const Resolution found = resolve(1);
  BOOST_TEST((found.version == kOld));
  BOOST_TEST(reads == 0U);
}

/// Guards against refusals of returns after a gap in the list: streams are recorded beside it.
BOOST_AUTO_TEST_CASE(streamsAreRecordedWhileAGapLeavesTheOnlyVersionUnproven) {
  nodes[1].core->begin(kStream, kService, kOld);
  for (std::size_t number = 0; number < nodes.size(); ++number) {
    applyNewestList(number);
  }
  network.run(Milliseconds(20));
  kill(1);
  for (const std::size_t number : {0, 2, 3, 4, 5}) {
    BOOST_TEST((resolve(number).version == kOld));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::stream_versions
