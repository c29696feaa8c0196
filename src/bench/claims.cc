#include <malloc.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <random>

#include "bench/programs.h"
#include "bench/report.h"
#include "claims/claim_node.h"
#include "peer/udp_transport.h"
#include "settings/table.h"

namespace calicodrift::bench {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using claims::ClaimKey;
using Clock = std::chrono::steady_clock;
constexpr std::size_t kNodes = 3;
constexpr std::size_t kTypicalBodyBytes = 200;

struct ClaimsSettings {
  std::int64_t records = 0;
  std::int64_t claims = 0;
  std::string json;
};

settings::SettingsTable<ClaimsSettings> claimsTable() {
  return {
      {{"records", "100000", 1, 10'000'000, "count", "keys that one replica votes on"},
       &ClaimsSettings::records},
      {{"claims", "5000", 1, 10'000'000, "count", "claims over three replicas on loopback"},
       &ClaimsSettings::claims},
      {{"json", "", 0, 0, "", "file for the result"}, &ClaimsSettings::json},
  };
}

claims::ClockReading clockReadingNow() {
  const auto wall = std::chrono::duration_cast<Milliseconds>(wallNow().time_since_epoch());
  return {monotonicNow(), static_cast<std::uint64_t>(wall.count())};
}

ClaimKey makeKey(std::mt19937_64& random) {
  const std::string text = claims::makeUuidV7(clockReadingNow().wall, random(), random());
  return claims::parseClaimKey(TenantId("t"), text).value();
}

double microsecondsSince(Clock::time_point begin) {
  return std::chrono::duration<double, std::micro>(Clock::now() - begin).count();
}

claims::CompletedNotice typicalOutcome(const claims::ClaimRequest& request) {
  return {request.key,
          request.token,
          {200, "application/json", true, std::string(kTypicalBodyBytes, 'x')}};
}

/// One replica by itself: time of decoding, voting and encoding, and memory, for each record.
json::object measureReplica(std::int64_t records) {
  std::mt19937_64 random(1);
  claims::ClaimSettings settings;
  settings.maxRecords = static_cast<std::size_t>(records);
  claims::ClaimReplica replica(settings);
  std::vector<claims::ClaimRequest> requests;
  std::vector<std::string> payloads;
  requests.reserve(static_cast<std::size_t>(records));
  payloads.reserve(static_cast<std::size_t>(records));
  for (std::int64_t index = 0; index < records; ++index) {
    const claims::ClaimRequest request{
        Epoch(1), makeKey(random), {clockReadingNow().wall, random()}};
    requests.push_back(request);
    payloads.push_back(peer::encode(claims::ClaimMessage(request)));
  }
  const auto count = static_cast<double>(records);
  const std::size_t before = mallinfo2().uordblks;
  Clock::time_point begin = Clock::now();
  for (const claims::ClaimRequest& request : requests) {
    replica.vote(request, clockReadingNow().wall);
  }
  const double voteMicroseconds = microsecondsSince(begin) / count;
  const std::size_t held = mallinfo2().uordblks;
  for (const claims::ClaimRequest& request : requests) {
    replica.complete(typicalOutcome(request), clockReadingNow().wall);
  }
  const std::size_t completed = mallinfo2().uordblks;
  begin = Clock::now();
  std::size_t replyBytes = 0;
  for (const std::string& payload : payloads) {
    const auto message = peer::decode<claims::ClaimMessage>(payload);
    const auto& request = std::get<claims::ClaimRequest>(message.value());
    claims::ClaimReply reply = replica.vote(request, clockReadingNow().wall);
    reply.replica = NodeId("router-1");
    replyBytes = peer::encode(claims::ClaimMessage(reply)).size();
  }
  const double wholeMicroseconds = microsecondsSince(begin) / count;
  const claims::ClaimMessage outcome = typicalOutcome(requests.front());
  return {{"records", records},
          {"vote_us", voteMicroseconds},
          {"decode_vote_encode_us", wholeMicroseconds},
          {"bytes_per_held_record", static_cast<double>(held - before) / count},
          {"bytes_per_completed_record", static_cast<double>(completed - before) / count},
          {"request_bytes", payloads.front().size()},
          {"reply_bytes", replyBytes},
          {"completed_bytes_with_body_of_200", peer::encode(outcome).size()}};
}

/// A view in memory, answered at once.
class MemoryViewStore : public claims::ViewStore {
 public:
  explicit MemoryViewStore(claims::ClaimView view) : view_(std::move(view)) {}
  void read(ReadDone done) override {
    done(claims::VersionedView{object_api::ResourceVersion(1), view_});
  }
  void write(const claims::VersionedView& /*view*/, std::function<void()> done) override { done(); }

 private:
  claims::ClaimView view_;
};

class FixedDirectory : public peer::PeerDirectory {
 public:
  FixedDirectory(const std::vector<peer::PeerInfo>& all, std::size_t self)
      : all_(all), self_(self) {}
  const peer::PeerInfo& self() const override { return all_[self_]; }
  std::vector<peer::PeerInfo> alivePeers() const override {
    std::vector<peer::PeerInfo> peers = all_;
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(self_));
    return peers;
  }

 private:
  const std::vector<peer::PeerInfo>& all_;
  std::size_t self_;
};

/// Three nodes of one process over UDP on loopback.
class LoopbackFleet {
 public:
  explicit LoopbackFleet(const claims::ClaimSettings& settings) {
    for (std::size_t index = 0; index < kNodes; ++index) {
      transports_.push_back(std::make_unique<peer::UdpTransport>(context_));
      const std::string number = std::to_string(index);
      infos_.push_back({NodeId("router-" + number), Incarnation(1), ZoneId("z" + number),
                        RegionId("r"), transports_.back()->listen({"127.0.0.1", 0}).value()});
    }
    const claims::ClaimView view{Epoch(1), true, claims::chooseMembers(infos_, {}), {}};
    store_ = std::make_unique<MemoryViewStore>(view);
    for (std::size_t index = 0; index < kNodes; ++index) {
      directories_.push_back(std::make_unique<FixedDirectory>(infos_, index));
      nodes_.push_back(std::make_unique<claims::ClaimNode>(settings, *transports_[index],
                                                           *directories_[index], *store_, metrics_,
                                                           clockReadingNow, index));
      nodes_.back()->tick();
    }
  }

  /// Latency of one claim by the first node, in microseconds; nothing unless it was granted.
  std::optional<double> claimOnce(const ClaimKey& key) {
    std::optional<claims::ClaimVerdict> verdict;
    const Clock::time_point begin = Clock::now();
    nodes_[0]->claim(key,
                     [&verdict](const claims::ClaimResult& result) { verdict = result.verdict; });
    while (!verdict) {
      context_.run_one_for(Milliseconds(1));
      nodes_[0]->tick();
    }
    const double latency = microsecondsSince(begin);
    context_.poll();
    return verdict == claims::ClaimVerdict::kGranted ? std::optional(latency) : std::nullopt;
  }

 private:
  asio::io_context context_{1};
  prometheus::Registry registry_;
  claims::ClaimMetrics metrics_{registry_};
  std::vector<std::unique_ptr<peer::UdpTransport>> transports_;
  std::vector<peer::PeerInfo> infos_;
  std::vector<std::unique_ptr<FixedDirectory>> directories_;
  std::unique_ptr<MemoryViewStore> store_;
  std::vector<std::unique_ptr<claims::ClaimNode>> nodes_;
};

json::object measureLoopback(std::int64_t claims) {
  claims::ClaimSettings settings;
  settings.maxClockSkew = Milliseconds(1);
  settings.maxRecords = static_cast<std::size_t>(claims) + 1;
  LoopbackFleet fleet(settings);
  std::mt19937_64 random(2);
  // Replicas abstain on keys of the first two clock bounds after their start.
  asio::io_context pause;
  asio::steady_timer(pause, Milliseconds(10)).wait();
  std::vector<double> latencies;
  latencies.reserve(static_cast<std::size_t>(claims));
  for (std::int64_t index = 0; index < claims; ++index) {
    const std::optional<double> latency = fleet.claimOnce(makeKey(random));
    if (latency) {
      latencies.push_back(*latency);
    }
  }
  return {{"claims", claims},
          {"granted", latencies.size()},
          {"p50_us", percentile(latencies, 0.50)},
          {"p99_us", percentile(latencies, 0.99)}};
}

}  // namespace

int runClaims(int argc, const char* const* argv) {
  const ClaimsSettings given =
      settings::loadOrExit(argc, argv, "Cost of claims for not-repeatable requests", claimsTable())
          .settings;
  const json::object result{{"replica", measureReplica(given.records)},
                            {"loopback", measureLoopback(given.claims)}};
  return writeReport(result, given.json) ? settings::kExitSuccess : settings::kExitFailure;
}

}  // namespace calicodrift::bench
