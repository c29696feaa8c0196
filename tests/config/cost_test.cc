#include <malloc.h>

#include <boost/test/unit_test.hpp>

#include "config/messages.h"
#include "config/roster.h"
#include "peer/codec.h"
#include "support/bundles.h"

/// Cost of configuration changes at the target fleet size. The bounds are far above the printed
/// figures, so that they hold on a busy machine.
namespace calicodrift::config {
namespace {

constexpr std::uint64_t kAdoptions = 20;

double elapsedMicroseconds(MonotonicTime begin) {
  return std::chrono::duration<double, std::micro>(monotonicNow() - begin).count();
}

std::size_t transferBytes(const std::string& base, const bundle::SignedBundle& target) {
  Transfer transfer;
  for (const bundle::Signature& signature : target.signatures) {
    transfer.signatures.push_back({signature.signer, signature.signatureHex});
  }
  transfer.patch = peer::makePatch(base, target.text);
  return peer::encode(transfer).size();
}

BOOST_AUTO_TEST_CASE(aDeltaOfOneChangeFitsIntoOneMessage) {
  const testing::Signers signers;
  const std::string before = testing::largeBundleText(2);
  const bundle::SignedBundle after = signers.sign(testing::largeBundleText(3));
  const std::size_t delta = transferBytes(before, after);
  const std::size_t whole = transferBytes("", after);
  BOOST_TEST_MESSAGE("bytes of a change: delta " << delta << ", whole " << whole);
  BOOST_TEST(delta < kPieceBytes);
  BOOST_TEST(whole > 40 * kPieceBytes);
}

BOOST_AUTO_TEST_CASE(anAdoptionTakesLittleTimeAndMemory) {
  const testing::Signers signers;
  std::vector<bundle::SignedBundle> bundles;
  for (std::uint64_t version = 1; version <= kAdoptions; ++version) {
    bundles.push_back(signers.sign(testing::largeBundleText(version)));
  }
  const auto heapBytes = [] { return static_cast<double>(::mallinfo2().uordblks); };
  const double heapBefore = heapBytes();
  BundleHolder holder(signers.rule(), [](const bundle::Bundle&) {});
  BOOST_REQUIRE(holder.adopt(bundles[0]).has_value());
  const double first = heapBytes() - heapBefore;
  const MonotonicTime begin = monotonicNow();
  for (std::size_t index = 1; index < bundles.size(); ++index) {
    BOOST_REQUIRE(holder.adopt(bundles[index]).has_value());
  }
  const double perAdoption = elapsedMicroseconds(begin) / (kAdoptions - 1);
  const double withHistory = heapBytes() - heapBefore;
  const MonotonicTime patchBegin = monotonicNow();
  const peer::TextPatch patch = peer::makePatch(bundles[0].text, bundles[1].text);
  const double making = elapsedMicroseconds(patchBegin);
  BOOST_TEST_MESSAGE("us per adoption: " << perAdoption << ", us to make a delta: " << making
                                         << ", bytes of one bundle in force: " << first
                                         << ", with the earlier texts: " << withHistory);
  BOOST_TEST(perAdoption < 50'000);
  BOOST_TEST(withHistory < 4'000'000);
}

/// 3,800 nodes in 27 zones.
class LargeDirectory : public peer::PeerDirectory {
 public:
  LargeDirectory() {
    constexpr std::uint16_t kNodes = 3800;
    for (std::uint16_t index = 0; index < kNodes; ++index) {
      peers_.push_back({NodeId("router-" + std::to_string(index)), Incarnation(1),
                        ZoneId("zone-" + std::to_string(index % 27)), RegionId("region"),
                        Endpoint{"10.0.0.1", index}});
    }
    self_ = peers_.back();
    peers_.pop_back();
  }
  const peer::PeerInfo& self() const override { return self_; }
  std::vector<peer::PeerInfo> alivePeers() const override { return peers_; }

 private:
  peer::PeerInfo self_;
  std::vector<peer::PeerInfo> peers_;
};

BOOST_AUTO_TEST_CASE(aRosterOfTheWholeFleetIsReadQuickly) {
  const LargeDirectory directory;
  Roster roster(directory, 2);
  const MonotonicTime start = monotonicNow();
  constexpr int kReadings = 10;
  for (int reading = 0; reading < kReadings; ++reading) {
    roster.refresh(start + std::chrono::seconds(2 * reading));
  }
  const double perReading = elapsedMicroseconds(start) / kReadings;
  BOOST_TEST_MESSAGE("us to read the roster of 3,800 nodes: " << perReading);
  BOOST_TEST(perReading < 100'000);
}

}  // namespace
}  // namespace calicodrift::config
