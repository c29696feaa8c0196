// What a node records of a stream, and what it finds out for a caller who comes back.

#include "stream_versions/version_core.h"

#include <boost/test/unit_test.hpp>

#include "peer/codec.h"
#include "stream_versions/keeper_ranking.h"
#include "stream_versions/simulated_nodes.h"

namespace calicodrift::stream_versions {
namespace {

BOOST_FIXTURE_TEST_SUITE(version_core, SimulatedNodes)

BOOST_AUTO_TEST_CASE(nothingIsRecordedWhileAServiceHasOneVersion) {
  list({server(kOld), server(kOld)});
  nodes[0].core->begin(kStream, kService, kOld);
  network.run(Milliseconds(20));
  for (const Node& node : nodes) {
    BOOST_TEST(node.core->recordCount() == 0U);
  }
  // As long as it lives, the node that served the stream knows.
  BOOST_TEST((resolve(1).version == kOld));
  kill(0);
  const Resolution found = resolve(1);
  BOOST_TEST((found.source == VersionSource::kOnlyVersion));
  BOOST_TEST((found.version == kOld));
}

BOOST_AUTO_TEST_CASE(theVersionIsFoundAfterTheNodeThatServedTheStreamHasGone) {
  list({server(kOld), server(kNew)});
  for (std::uint64_t stream = 1; stream <= 50; ++stream) {
    const SoftwareVersion& version = stream % 2 == 0 ? kOld : kNew;
    nodes[0].core->begin(StreamKey(stream), kService, version);
  }
  network.run(Milliseconds(20));
  kill(0);
  for (std::uint64_t stream = 1; stream <= 50; ++stream) {
    const Resolution found = resolve(1 + stream % 5, StreamKey(stream));
    BOOST_TEST(found.known());
    BOOST_TEST((found.version == (stream % 2 == 0 ? kOld : kNew)));
  }
}

/// Three copies beside the node that served it: two further nodes may be lost.
BOOST_AUTO_TEST_CASE(theVersionIsFoundThoughTwoKeepersAreLost) {
  list({server(kOld), server(kNew)});
  nodes[0].core->begin(kStream, kService, kNew);
  network.run(Milliseconds(20));
  kill(0);
  std::size_t killed = 0;
  for (const Endpoint& keeper : rankedKeepers(keepers, kStream, keepers.size())) {
    const auto number = static_cast<std::size_t>(std::find(keepers.begin(), keepers.end(), keeper) -
                                                 keepers.begin());
    if (number != 0 && killed < 2) {
      kill(number);
      ++killed;
    }
  }
  for (std::size_t number = 1; number < nodes.size(); ++number) {
    if (nodes[number].core) {
      BOOST_TEST((resolve(number).version == kNew));
    }
  }
}

/// They began while nothing had to be recorded.
BOOST_AUTO_TEST_CASE(streamsUnderWayAndBrokenOnesAreRecordedWhenASecondVersionComes) {
  const StreamKey broken(43);
  const StreamKey whole(44);
  list({server(kOld)});
  for (const StreamKey stream : {kStream, broken, whole}) {
    nodes[0].core->begin(stream, kService, kOld);
  }
  nodes[0].core->end(broken, false);
  nodes[0].core->end(whole, true);
  network.run(Milliseconds(2000));
  list({server(kOld), server(kNew, Milliseconds(0))});
  network.run(Milliseconds(20));
  kill(0);
  BOOST_TEST((resolve(1, kStream).version == kOld));
  BOOST_TEST((resolve(2, broken).version == kOld));
  BOOST_TEST(!resolve(3, whole).known());
}

/// Guards against refusals of returns after the store has been away: nobody's list shows then that
/// there is one version only.
BOOST_AUTO_TEST_CASE(streamsUnderWayAreRecordedWhenTheListGrowsOld) {
  list({server(kOld)});
  nodes[0].core->begin(kStream, kService, kOld);
  network.run(Milliseconds(6000));
  nodes[0].core->renewRecords();
  network.run(Milliseconds(20));
  kill(0);
  for (std::size_t number = 1; number < nodes.size(); ++number) {
    BOOST_TEST((resolve(number).version == kOld));
  }
}

BOOST_AUTO_TEST_CASE(anUnknownStreamBesideSeveralVersionsStaysUnknown) {
  list({server(kOld), server(kNew)});
  BOOST_TEST(!resolve(0).known());
}

/// A version that has left a while ago may have begun the stream.
BOOST_AUTO_TEST_CASE(aVersionCountsUntilItsStreamsHaveEnded) {
  list({server(kOld), server(kNew)});
  list({server(kOld)});
  network.run(Milliseconds(20'000));
  list({server(kOld)});
  BOOST_TEST(!resolve(0).known());
  network.run(Milliseconds(16'000));
  list({server(kOld)});
  BOOST_TEST((resolve(0).version == kOld));
}

/// A node that has just started has not seen the other version; nodes that ran before have.
BOOST_AUTO_TEST_CASE(aNodeThatHasJustStartedDoesNotTakeWhatIsLeftForTheOnlyVersion) {
  list({server(kOld), server(kNew)});
  network.run(Milliseconds(1000));
  list({server(kOld)});
  start(0);
  nodes[0].core->applyListing({{kService, {server(kOld)}}}, network.now());
  BOOST_TEST(!resolve(0).known());
}

/// All nodes have started again, and the servers tell that they have run for long; the archive,
/// that there was no other version.
BOOST_AUTO_TEST_CASE(theStartsOfServersShowTheOnlyVersionWhereNoNodeHasRunForLong) {
  for (std::size_t number = 0; number < nodes.size(); ++number) {
    start(number);
  }
  readArchive(1, {});
  list({server(kOld), server(kOld, Milliseconds(500))});
  BOOST_TEST((resolve(0).version == kOld));
  BOOST_TEST((resolve(1).version == kOld));
  for (std::size_t number = 0; number < nodes.size(); ++number) {
    start(number);
  }
  list({server(kNew, Milliseconds(500))});
  BOOST_TEST(!resolve(0).known());
}

/// Guards against streams that are joined from two versions after all nodes were lost: the servers
/// of the one that began them left just before, and those that are listed have run for long.
BOOST_AUTO_TEST_CASE(aVersionThatLeftBeforeAllNodesStartedIsNotTakenForNone) {
  const WallTime wall{Milliseconds(1'700'000'000'000)};
  list({server(kOld), server(kNew)});
  network.run(Milliseconds(1000));
  list({server(kNew)});
  const ArchivedHistory history = nodes[0].core->history().archived(network.now(), wall);
  for (std::size_t number = 0; number < nodes.size(); ++number) {
    start(number);
  }
  list({server(kNew)});
  BOOST_TEST(!resolve(0).known(), "without an archive, the past is unknown");
  readArchive(1, history, wall + Milliseconds(2000));
  list({server(kNew)});
  for (std::size_t number = 0; number < nodes.size(); ++number) {
    BOOST_TEST(!resolve(number).known());
  }
}

/// Guards against calls of the store for streams of services with one version, as long as its
/// servers have not run for long.
BOOST_AUTO_TEST_CASE(nothingIsArchivedWhileAllServicesHaveOneVersion) {
  std::size_t archived = 0;
  makeRoots({0});
  nodes[0].core->setArchive([&archived](StreamKey, const SoftwareVersion&) { ++archived; });
  list({server(kOld, Milliseconds(0))});
  for (std::uint64_t stream = 1; stream <= 20; ++stream) {
    nodes[stream % nodes.size()].core->begin(StreamKey(stream), kService, kOld);
  }
  network.run(Milliseconds(20));
  BOOST_TEST(archived == 0U);
}

/// Guards against refusals after all nodes have started again beside servers that have not run for
/// long, and against a version that came while no node was there to see it.
BOOST_AUTO_TEST_CASE(theOnlyVersionOfTheArchiveAndTheListIsTheOnlyOne) {
  const ListedVersion young = server(kOld, Milliseconds(500));
  list({young});
  const ArchivedHistory history = nodes[0].core->history().archived(network.now(), {});
  for (std::size_t number = 0; number < nodes.size(); ++number) {
    start(number);
  }
  readArchive(1, history);
  list({young});
  BOOST_TEST((resolve(0).version == kOld));
  list({server(kNew, Milliseconds(500))});
  BOOST_TEST(!resolve(0).known());
}

/// Guards against refusals for ever of what an earlier version began.
BOOST_AUTO_TEST_CASE(aVersionOfTheArchiveCountsUntilItsStreamsHaveEnded) {
  const WallTime wall{Milliseconds(1'700'000'000'000)};
  readArchive(0, {{kService, {{kOld, wall - Milliseconds(46'000)}, {kNew, std::nullopt}}}}, wall);
  list({server(kNew)});
  BOOST_TEST((resolve(0).version == kNew));
}

/// Guards against returns that go on nowhere as all keepers of their records were lost at once.
BOOST_AUTO_TEST_CASE(archivedRecordsAreFoundAfterAllNodesStartedAgain) {
  std::vector<ArchivedRecord> archive;
  makeRoots({0, 1});
  for (const std::size_t root : {0, 1}) {
    nodes[root].core->setArchive([&archive](StreamKey stream, const SoftwareVersion& version) {
      archive.push_back({stream, version});
    });
  }
  list({server(kOld), server(kNew)});
  for (std::uint64_t stream = 1; stream <= 50; ++stream) {
    const SoftwareVersion& version = stream % 2 == 0 ? kOld : kNew;
    nodes[stream % nodes.size()].core->begin(StreamKey(stream), kService, version);
  }
  network.run(Milliseconds(20));
  // One root for each.
  BOOST_TEST(archive.size() == 50U);
  for (std::size_t number = 0; number < nodes.size(); ++number) {
    start(number);
  }
  list({server(kOld), server(kNew)});
  makeRoots({2, 3});
  nodes[2].core->setArchive([](StreamKey, const SoftwareVersion&) {});
  nodes[3].core->setArchive([](StreamKey, const SoftwareVersion&) {});
  const Resolution early = resolve(0, StreamKey(1));
  BOOST_TEST(!early.known());
  BOOST_TEST(!early.final, "the roots have not read the archive yet");
  nodes[2].core->applyArchive({archive, {}}, {});
  nodes[3].core->applyArchive({archive, {}}, {});
  for (std::uint64_t stream = 1; stream <= 50; ++stream) {
    const Resolution found = resolve(stream % nodes.size(), StreamKey(stream));
    BOOST_TEST((found.known() && found.version == (stream % 2 == 0 ? kOld : kNew)));
  }
  const Resolution unknown = resolve(0, StreamKey(51));
  BOOST_TEST(!unknown.known());
  BOOST_TEST(unknown.final);
}

/// Guards against refusals after all nodes have started again, where servers tell no start and
/// callers name no attempt: there is no sign of a second version.
BOOST_AUTO_TEST_CASE(callersThatNameNoAttemptGoOnWhereNoNodeHasSeenASecondVersion) {
  const ListedVersion untold{kOld, std::nullopt};
  for (std::size_t number = 0; number < nodes.size(); ++number) {
    start(number);
  }
  list({untold, untold});
  BOOST_TEST(!resolve(0).known());
  BOOST_TEST((resolve(0, kStream, false).version == kOld));
  list({untold, {kNew, std::nullopt}});
  BOOST_TEST(!resolve(0, kStream, false).known());
}

/// Its list may lack a version that other nodes know.
BOOST_AUTO_TEST_CASE(aNodeWithAnOldListAndNoOtherNodesDoesNotKnow) {
  list({server(kOld)});
  nodes[0].reachesStore = false;
  network.run(Milliseconds(6000));
  for (std::size_t number = 1; number < nodes.size(); ++number) {
    kill(number);
  }
  BOOST_TEST(!resolve(0).known());
}

BOOST_AUTO_TEST_CASE(aNodeWithAnOldListLearnsTheOnlyVersionFromOthers) {
  list({server(kOld)});
  makeRoots({1, 2});
  nodes[0].reachesStore = false;
  network.run(Milliseconds(6000));
  list({server(kOld)});
  BOOST_TEST((resolve(0).version == kOld));
}

BOOST_AUTO_TEST_CASE(theTableIsBoundedAndForgetsTheOldestFirst) {
  RecordTable table(Milliseconds(1000));
  const MonotonicTime start{kHour};
  for (std::uint64_t stream = 0; stream < RecordTable::kMaxRecords; ++stream) {
    BOOST_REQUIRE(!table.put(StreamKey(stream), kOld, start));
  }
  BOOST_TEST(table.put(StreamKey(RecordTable::kMaxRecords), kNew, start));
  BOOST_TEST(table.size() == RecordTable::kMaxRecords);
  BOOST_TEST(!table.find(StreamKey(0), start));
  BOOST_TEST(table.find(StreamKey(1), start).has_value());
  BOOST_TEST(!table.find(StreamKey(1), start + Milliseconds(1001)));
  BOOST_TEST(table.size() == 0U);
}

/// Guards against questions of builds before the last field that cannot be read, and theirs of
/// ours.
BOOST_AUTO_TEST_CASE(questionsOfEarlierBuildsAreRead) {
  const Message question = VersionQuery{7, kStream, kService, true};
  const std::string encoded = peer::encode(question);
  const auto read = peer::decode<Message>(encoded);
  BOOST_REQUIRE(read);
  BOOST_TEST(std::get<VersionQuery>(read.value()).wantsProof);
  const auto earlier = peer::decode<Message>(encoded.substr(0, encoded.size() - 1));
  BOOST_REQUIRE(earlier);
  BOOST_TEST(std::get<VersionQuery>(earlier.value()).id == 7U);
  BOOST_TEST(std::get<VersionQuery>(earlier.value()).service == kService);
  BOOST_TEST(!std::get<VersionQuery>(earlier.value()).wantsProof);
}

BOOST_AUTO_TEST_CASE(messagesThatCannotBeReadHaveNoEffect) {
  list({server(kOld), server(kNew)});
  const auto stranger = network.attach({"10.0.1.1", 7000});
  stranger->send(endpointOf(0), peer::Channel::kStreamVersions, "no message");
  stranger->send(endpointOf(0), peer::Channel::kStreamVersions, "");
  network.run(Milliseconds(20));
  BOOST_TEST(nodes[0].core->recordCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::stream_versions
