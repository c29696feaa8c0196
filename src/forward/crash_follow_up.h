#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/server_pool.h"
#include "forward/crash_check.h"
#include "forward/metrics.h"
#include "quarantine/quarantine_node.h"

namespace calicodrift::forward {

/// A request whose answer broke off without showing whether its server's process had ended.
struct InterruptedRequest {
  RequestId id;
  quarantine::RequestFingerprint fingerprint;
  /// Parts of the prompt that may have crashed the server.
  std::vector<quarantine::PartFingerprint> parts;
  /// Ids of the parts of the prompt, separated by commas, for logs.
  std::string promptParts;
  /// How long the request had been in flight.
  Milliseconds underWay{0};
  /// How long ago the first bytes of the answer had arrived; empty if none had.
  std::optional<Milliseconds> begunFor;
  Error cause;
  /// Keeps further attempts of a suspect from beginning until it is known what this one did.
  quarantine::Trial trial;
};

/// Goes on checking server runs whose state was unknown when answers broke off there. A proxy, or a
/// host that restarts the process, may accept connections to a process that has ended and close
/// them: that proves nothing at first, and the crash would never count against the request.
///
/// Invariant: reports a crash only if CrashCheck has proven that the run ended, and only for
/// requests that have not run to their end at this node since.
class CrashFollowUp {
 public:
  /// Called for each request that was in flight on a run that has ended.
  using CrashListener = std::function<void(const fleet::Server&, const InterruptedRequest&)>;

  CrashFollowUp(boost::asio::any_io_executor executor, CrashCheck& check,
                const fleet::ServerPool& pool, ForwardMetrics& metrics, CrashListener onCrash);

  void add(const fleet::Server& server, InterruptedRequest request);
  /// The request has run to its end, so that it is not what ended the servers that it met before.
  void recordServed(const quarantine::RequestFingerprint& request);
  /// Whether any run is being checked.
  bool active() const { return !runs_.empty(); }

  /// Pauses between two questions: doubled each time.
  static constexpr Milliseconds kFirstPause{50};
  static constexpr Milliseconds kMaxPause{1000};
  /// Longer than a process takes to start again, or an entry to be replaced.
  static constexpr Milliseconds kMaxTime{10'000};
  static constexpr std::size_t kMaxRuns = 64;
  static constexpr std::size_t kMaxRequestsPerRun = 64;

 private:
  using RunKey = std::pair<BackendId, Incarnation>;

  boost::asio::awaitable<void> followUp(fleet::Server server);
  boost::asio::awaitable<RunState> findState(fleet::Server server);
  bool isLeaving(const fleet::Server& server) const;

  boost::asio::any_io_executor executor_;
  CrashCheck& check_;
  const fleet::ServerPool& pool_;
  ForwardMetrics& metrics_;
  CrashListener onCrash_;
  std::map<RunKey, std::vector<InterruptedRequest>> runs_;
};

}  // namespace calicodrift::forward
