#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "server_limits/limit_record.h"
#include "server_limits/permit_messages.h"

/// Messages between nodes about servers' limits. They use separate paths: a node of a build without
/// this module answers 404, and no other message changes its format.
namespace calicodrift::server_limits {

inline constexpr std::string_view kReportPath = "/server-limits/report";
inline constexpr std::string_view kUnitPath = "/server-limits/unit";

/// Format version of the messages. Later versions only append fields; readers ignore fields that
/// they do not know.
inline constexpr std::uint32_t kForm = 4;
/// First format version whose reports list leaving servers.
inline constexpr std::uint32_t kFormWithLeaving = 2;

/// First format version whose reports list servers without capacity.
inline constexpr std::uint32_t kFormWithFull = 3;

/// First format version that knows permits. A node of an earlier one answers a request for a permit
/// as one for a unit of a server without a limit: it grants it.
inline constexpr std::uint32_t kFormWithPermits = 4;

/// A server that has refused a request for lack of capacity. Earlier format versions send it no
/// requests for the remaining time; see fleet::FullServers.
struct FullServerRecord {
  fleet::ServerKey server;
  std::uint32_t remainingMs = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server, remainingMs);
  }
};

/// Sent to the neighbours in the relay tree when there is news, and returned as the answer.
struct LimitReport {
  std::uint32_t form = kForm;
  /// Address of the sender between nodes.
  std::string sender;
  /// The sender has not sent this neighbour anything before: the answer contains all records.
  bool fresh = false;
  /// How long the sender waits until the receiver has forwarded the report to its own neighbours.
  std::uint32_t waitMs = 0;
  std::vector<LimitRecord> records;
  /// Runs of servers that have announced that they are leaving.
  std::vector<fleet::ServerKey> leaving;
  std::vector<FullServerRecord> full;
  /// Refusals per second that servers bear, in the form of limits.
  std::vector<LimitRecord> refusalLimits;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, sender, fresh, waitMs, records);
    if (form >= kFormWithLeaving) {
      archive(leaving);
    }
    if (form >= kFormWithFull) {
      archive(full);
    }
    if (form >= kFormWithPermits) {
      archive(refusalLimits);
    }
  }
};

/// Requests a unit of a server's limit or returns one, or concerns a permit.
struct UnitRequest {
  std::uint32_t form = kForm;
  /// Limit as known to the sender.
  LimitRecord limit;
  bool isReturn = false;
  /// Number of roots that have forwarded the request. Bounded, as two roots may each consider the
  /// other the first.
  std::uint32_t hops = 0;
  /// If its operation is not kNone, the request is about a permit for the server in `limit`.
  PermitRequest permit;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, limit, isReturn, hops);
    if (form >= kFormWithPermits) {
      archive(permit);
    }
  }
};

struct UnitReply {
  std::uint32_t form = kForm;
  /// False if this node must not issue units now and reaches no node that may.
  bool decided = false;
  bool granted = false;
  /// If refused: time until the next unit is available.
  std::uint32_t waitMs = 0;
  /// Limit as known to the answering node.
  LimitRecord limit;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, decided, granted, waitMs, limit);
  }
};

}  // namespace calicodrift::server_limits
