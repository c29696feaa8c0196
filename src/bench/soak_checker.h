#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/error.h"
#include "common/ids.h"

/// Judges what the callers of a soak saw against what the back ends did.
namespace calicodrift::bench {

/// What is wrong with the text of one answer.
enum class TextCheck { kWhole, kIncomplete, kMixed };
/// Compares a text with the stand-in's answer to `prompt`: a shorter beginning of it is incomplete,
/// anything else that differs holds foreign text.
TextCheck checkText(std::string_view prompt, std::size_t maxTokens, std::string_view text);

/// One try of a request that must run at most once, and what its caller was told.
struct OneTimeTry {
  std::string requestId;
  /// No value where no answer came.
  std::optional<RunStatement> told;
};

/// All tries with one idempotency key.
struct OneTimeRecord {
  std::string key;
  std::vector<OneTimeTry> tries;

  /// How many tries were answered with `statement`.
  std::size_t told(RunStatement statement) const;
  std::size_t answered() const;
};

/// The statement of an X-Run header; anything unknown promises nothing.
RunStatement parseRunStatement(std::string_view header);

/// Violations of one run; the run passes where all are zero (and newWorkAfterLeave is in bounds).
struct SoakCounts {
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumedStreams = 0;
  /// Not-repeatable requests that ended without a confirmed run.
  std::uint64_t unconfirmed = 0;

  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t mixed = 0;
  std::uint64_t incomplete = 0;
  std::uint64_t outOfOrder = 0;
  std::uint64_t falseNotRun = 0;
  std::uint64_t configReverts = 0;
  std::uint64_t configStaleNodes = 0;
  std::uint64_t cutByPlannedStop = 0;
  Milliseconds newWorkAfterLeave{0};

  /// Sum of the violations that are counted.
  std::uint64_t violations() const;
  void countText(TextCheck check);
};

/// What ran, over all servers of the service.
struct ServiceRuns {
  std::unordered_map<std::string, std::uint64_t> byKey;
  std::unordered_map<std::string, std::uint64_t> byRequest;
};

/// Adds what `record` shows: doubled (ran more than once), false not run (a try that was answered
/// "not run" and yet ran), lost (told that it ran and it did not, or never answered).
void checkOneTime(const OneTimeRecord& record, const ServiceRuns& runs, SoakCounts& counts);

/// Versions of the bundle in force as each node reported them. 0 is "none", which a node may report
/// after a restart and which reverts nothing.
class VersionWatch {
 public:
  /// @return whether this is a revert: lower than what the same node reported before.
  bool observe(const NodeId& node, BundleVersion version);

 private:
  std::map<NodeId, BundleVersion> highest_;
};

/// A try whose connection broke after the request was sent and before its answer was complete.
struct BrokenTry {
  std::size_t router = 0;
  MonotonicTime begin;
  MonotonicTime end;
  std::string detail;
};

/// From the signal to the end of the process, of one planned stop.
struct StopWindow {
  std::size_t router = 0;
  MonotonicTime from;
  MonotonicTime to;
};

/// Tries that broke while the router that they were sent to was stopping as planned.
std::vector<BrokenTry> cutByStops(const std::vector<BrokenTry>& broken,
                                  const std::vector<StopWindow>& stops);

}  // namespace calicodrift::bench
