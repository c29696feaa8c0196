#include "config/relay.h"

#include <boost/test/unit_test.hpp>

#include "config/simulated_fleet.h"
#include "peer/codec.h"

namespace calicodrift::testing {
namespace {

constexpr std::size_t kNodes = 200;
constexpr std::size_t kZones = 9;
constexpr Milliseconds kBound{7000};
const NetworkFaults kLossy{0.05, 0.02, Milliseconds(1), Milliseconds(40)};

/// 200 nodes in 9 zones that all have version 1 active and confirmed.
struct RunningFleet : SimulatedFleet {
  RunningFleet() : SimulatedFleet(1, kNodes, kZones, kLossy) {
    submitVersion(1);
    BOOST_REQUIRE(runUntilInForce(1, Milliseconds(20'000)) < Milliseconds(20'000));
    network().run(Milliseconds(10'000));
    BOOST_REQUIRE_EQUAL(countConfirmed(), kNodes);
  }
  ~RunningFleet() {
    BOOST_TEST(reverts == 0U);
    BOOST_TEST(unacceptedTexts == 0U);
    BOOST_TEST(staleConfirmations == 0U);
  }
  void submitVersion(std::uint64_t version) {
    submit(signers.sign(largeBundleText(version)), version);
  }
};

BOOST_FIXTURE_TEST_CASE(changesReachEveryNodeAsDeltasDespiteLoss, RunningFleet) {
  constexpr std::uint64_t kChanges = 10;
  const std::uint64_t idleBytes = sentBytes;
  network().run(Milliseconds(10'000));
  const double idlePerNodeSecond = static_cast<double>(sentBytes - idleBytes) / kNodes / 10;
  Milliseconds slowest{0};
  double bytes = 0;
  double messages = 0;
  for (std::uint64_t version = 2; version < 2 + kChanges; ++version) {
    const std::uint64_t bytesBefore = sentBytes;
    const std::uint64_t messagesBefore = sentMessages;
    submitVersion(version);
    const Milliseconds took = runUntilInForce(version, kBound);
    slowest = std::max(slowest, took);
    bytes += static_cast<double>(sentBytes - bytesBefore) -
             idlePerNodeSecond * kNodes * static_cast<double>(took.count()) / 1000;
    messages += static_cast<double>(sentMessages - messagesBefore);
    network().run(Milliseconds(3600));
  }
  BOOST_TEST_MESSAGE("slowest change: " << slowest.count() << " ms; bytes per change and node: "
                                        << bytes / kNodes / kChanges
                                        << "; messages: " << messages / kNodes / kChanges
                                        << "; idle bytes a second and node: " << idlePerNodeSecond
                                        << "; whole text: " << largeBundleText(2).size());
  BOOST_TEST(slowest.count() < 3000);
  BOOST_TEST(bytes / kNodes / kChanges < 2000);
  BOOST_TEST(idlePerNodeSecond < 500);
  // With changes every 3.6 s the confirmation of every node stays within the term.
  BOOST_TEST(countConfirmed() == kNodes);
}

BOOST_FIXTURE_TEST_CASE(failureOfAllWatchersDuringAChangeDelaysNoNodeBeyondTheBound, RunningFleet) {
  const std::vector<std::size_t> dying = watchers();
  BOOST_REQUIRE_EQUAL(dying.size(), kZones * SimulatedFleet::kWatchersPerZone);
  submitVersion(2);
  for (const std::size_t index : dying) {
    stop(index);
  }
  const Milliseconds took = runUntilInForce(2, kBound);
  BOOST_TEST_MESSAGE("in force after the watchers' death: " << took.count() << " ms");
  BOOST_TEST(took.count() < kBound.count());
  network().run(Milliseconds(10'000));
  BOOST_TEST(watchers().size() == kZones * SimulatedFleet::kWatchersPerZone);
  BOOST_TEST(countConfirmed() == running());
}

BOOST_FIXTURE_TEST_CASE(isolatedZonesBecomeUnconfirmedAndCatchUpWhenHealed, RunningFleet) {
  const std::vector<std::size_t> apart{0, 1, 2};
  cutZones(apart);
  for (const std::size_t zone : apart) {
    cutStore(zone);
  }
  submitVersion(2);
  network().run(kTerm + Milliseconds(500));
  const std::size_t cutOff = kNodes - countInForce(2);
  BOOST_TEST(cutOff == 68U);
  BOOST_TEST(countConfirmed() == kNodes - cutOff);
  network().healAll();
  healStore();
  const Milliseconds took = runUntilInForce(2, kBound);
  BOOST_TEST_MESSAGE("in force after the cut healed: " << took.count() << " ms");
  BOOST_TEST(took.count() < kBound.count());
  network().run(kTerm);
  BOOST_TEST(countConfirmed() == kNodes);
}

BOOST_FIXTURE_TEST_CASE(aFleetRestartWithTheStoreDownTakesTheNewestBundleFromTheSurvivor,
                        RunningFleet) {
  submitVersion(2);
  runUntilInForce(2, kBound);
  setStoreUp(false);
  for (std::size_t index = 1; index < kNodes; ++index) {
    stop(index);
    start(index);
  }
  const Milliseconds took = runUntilInForce(2, Milliseconds(20'000));
  BOOST_TEST_MESSAGE("in force after 199 of 200 restarted, store down: " << took.count() << " ms");
  BOOST_TEST(took.count() < kBound.count());
  network().run(kTerm + Milliseconds(5000));
  BOOST_TEST(countConfirmed() == 0U);
  // If no node that holds a bundle is left, no bundle can be recovered without the store.
  for (std::size_t index = 0; index < kNodes; ++index) {
    stop(index);
    start(index);
  }
  network().run(Milliseconds(5000));
  BOOST_TEST(countInForce(0) == kNodes);
  setStoreUp(true);
  BOOST_TEST(runUntilInForce(2, kBound).count() < kBound.count());
}

/// Directory with one other node in the same zone.
class PairDirectory : public peer::PeerDirectory {
 public:
  PairDirectory(const Endpoint& own, const Endpoint& other)
      : self_{NodeId("own"), Incarnation(1), ZoneId("z"), RegionId("r"), own},
        other_{NodeId("other"), Incarnation(1), ZoneId("z"), RegionId("r"), other} {}
  const peer::PeerInfo& self() const override { return self_; }
  std::vector<peer::PeerInfo> alivePeers() const override { return {other_}; }

 private:
  peer::PeerInfo self_;
  peer::PeerInfo other_;
};

BOOST_AUTO_TEST_CASE(aLateReplyConfirmsOnlyAsOfTheTimeOfItsQuery) {
  constexpr Milliseconds kOneWay{2000};
  SimulatedNetwork network(1);
  network.setFaults({0, 0, kOneWay, kOneWay});
  const PairDirectory directory({"10.0.0.1", 1}, {"10.0.0.2", 1});
  const Signers signers;
  prometheus::Registry registry;
  ConfigMetrics metrics(registry);
  BundleHolder holder(signers.rule(), [](const bundle::Bundle&) {});
  BOOST_REQUIRE(holder.adopt(signers.sign(largeBundleText(1, 1))).has_value());
  FreshnessTracker freshness(SimulatedFleet::kTerm, holder);
  Roster roster(directory, 2);
  const auto transport = network.attach(directory.self().endpoint);
  const auto other = network.attach(directory.alivePeers().front().endpoint);
  Relay relay({}, *transport, roster, holder, freshness, metrics, 1);
  transport->setReceiver(peer::Channel::kConfig,
                         [&](const Endpoint& from, std::string_view payload) {
                           relay.receive(from, payload, network.now());
                         });
  other->setReceiver(peer::Channel::kConfig, [&](const Endpoint& from, std::string_view payload) {
    const RelayMessage message = peer::decode<RelayMessage>(payload).value();
    if (const auto* query = std::get_if<StatusQuery>(&message)) {
      const Confirmation fresh{holder.version(), holder.digest(), 0};
      const StatusReply reply{query->nonce, holder.version(), holder.digest(), {fresh}};
      other->send(from, peer::Channel::kConfig, peer::encode(RelayMessage(reply)));
    }
  });
  relay.tick(network.now());
  network.run(kOneWay * 2);
  BOOST_REQUIRE(freshness.age(network.now()).has_value());
  BOOST_TEST(freshness.age(network.now())->count() == (kOneWay * 2).count());
}

/// A peer that offers a text under an arbitrary version and digest.
class HostilePeer {
 public:
  HostilePeer(SimulatedFleet& fleet, BundleVersion claimed, bundle::SignedBundle offered)
      : claimed_(claimed), offered_(std::move(offered)) {
    transport_ = fleet.network().attach(Endpoint{"10.0.0.9", 1});
    transport_->setReceiver(
        peer::Channel::kConfig,
        [this](const Endpoint& from, std::string_view payload) { answer(from, payload); });
  }
  void announceTo(const Endpoint& to) { send(to, Announcement{claimed_, digestOf(offered_.text)}); }

 private:
  void send(const Endpoint& to, const RelayMessage& message) {
    transport_->send(to, peer::Channel::kConfig, peer::encode(message));
  }
  void answer(const Endpoint& from, std::string_view payload) {
    const auto message = peer::decode<RelayMessage>(payload);
    const auto* request = message ? std::get_if<PieceRequest>(&message.value()) : nullptr;
    if (request == nullptr) {
      return;
    }
    Transfer transfer;
    for (const bundle::Signature& signature : offered_.signatures) {
      transfer.signatures.push_back({signature.signer, signature.signatureHex});
    }
    transfer.patch = peer::makePatch("", offered_.text);
    const std::string bytes = peer::encode(transfer);
    const auto count = static_cast<std::uint16_t>((bytes.size() + kPieceBytes - 1) / kPieceBytes);
    for (const std::uint16_t index : request->indexes) {
      if (index < count) {
        send(
            from,
            Piece{
                request->target, {}, index, count, bytes.substr(index * kPieceBytes, kPieceBytes)});
      }
    }
  }

  BundleVersion claimed_;
  bundle::SignedBundle offered_;
  std::unique_ptr<peer::Transport> transport_;
};

/// Runs random changes, restarts, partitions, restored backups and hostile offers. Returns the
/// number of violations.
std::uint64_t violationsOf(std::uint64_t seed) {
  constexpr std::size_t kFleetSize = 12;
  constexpr std::size_t kTenants = 20;
  SimulatedFleet fleet(seed, kFleetSize, 3,
                       NetworkFaults{0.1, 0.1, Milliseconds(1), Milliseconds(300)});
  std::vector<bundle::SignedBundle> accepted;
  const auto submitNext = [&] {
    const std::uint64_t version = accepted.size() + 1;
    accepted.push_back(fleet.signers.sign(largeBundleText(version, kTenants)));
    fleet.submit(accepted.back(), version);
  };
  submitNext();
  std::mt19937_64 random(seed);
  for (int step = 0; step < 40; ++step) {
    const std::size_t node = random() % kFleetSize;
    const std::size_t chosen = random() % accepted.size();
    bundle::SignedBundle offered = accepted[chosen];
    switch (random() % 8) {
      case 0:
      case 1:
        submitNext();
        break;
      case 2:
        fleet.stop(node);
        fleet.start(node);
        break;
      case 3:
        fleet.cutZones({random() % 3});
        break;
      case 4:
        fleet.network().healAll();
        break;
      case 5:
        fleet.setStore(accepted[chosen]);
        break;
      case 6: {
        HostilePeer peer(fleet, BundleVersion(accepted.size() + 1), accepted[chosen]);
        peer.announceTo(fleet.endpointOf(node));
        fleet.network().run(Milliseconds(3000));
        break;
      }
      default: {
        offered.text = largeBundleText(accepted.size() + 1, kTenants);
        HostilePeer peer(fleet, BundleVersion(accepted.size() + 1), offered);
        peer.announceTo(fleet.endpointOf(node));
        fleet.network().run(Milliseconds(3000));
        break;
      }
    }
    fleet.network().run(Milliseconds(random() % 2000));
  }
  fleet.network().healAll();
  fleet.setStore(accepted.back());
  const bool reached = fleet.runUntilInForce(accepted.size(), kBound) < kBound;
  return fleet.reverts + fleet.unacceptedTexts + (reached ? 0 : 1);
}

BOOST_AUTO_TEST_CASE(noScheduleMakesANodeRevertOrAdoptAnUnacceptedBundle) {
  constexpr std::uint64_t kSchedules = 150;
  std::uint64_t violations = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const std::uint64_t found = violationsOf(seed);
    BOOST_TEST(found == 0U, "seed " << seed << ": " << found << " violations");
    violations += found;
  }
  BOOST_TEST_MESSAGE(kSchedules << " random schedules, violations: " << violations);
}

}  // namespace
}  // namespace calicodrift::testing
