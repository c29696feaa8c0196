#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "server_limits/limit_fact.h"

/// What nodes tell each other of servers' limits. Paths of their own: a node of a build without
/// them answers 404, and no other message changes its form.
namespace calicodrift::server_limits {

inline constexpr std::string_view kReportPath = "/server-limits/report";
inline constexpr std::string_view kUnitPath = "/server-limits/unit";

/// Form of the messages. Later forms append fields only: a reader passes over what it doesn't know.
inline constexpr std::uint32_t kForm = 2;
/// The first form of a report that tells which servers leave.
inline constexpr std::uint32_t kFormWithLeaving = 2;

/// Told to the neighbours in the relay tree when something is new, and the answer to it.
struct LimitReport {
  std::uint32_t form = kForm;
  /// The sender's own address between nodes.
  std::string sender;
  /// The sender has told this neighbour nothing before: the answer tells all.
  bool fresh = false;
  /// How long the sender waits until the receiver has told its own neighbours.
  std::uint32_t waitMs = 0;
  std::vector<LimitFact> facts;
  /// Runs of servers that have said that they leave.
  std::vector<fleet::ServerKey> leaving;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, sender, fresh, waitMs, facts);
    if (form >= kFormWithLeaving) {
      archive(leaving);
    }
  }
};

/// Asks for a unit of a server's limit, or gives one back.
struct UnitRequest {
  std::uint32_t form = kForm;
  /// As the sender knows it.
  LimitFact limit;
  bool givesBack = false;
  /// Roots that it has come through. Bounded, as two roots may take each other for the first.
  std::uint32_t hops = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, limit, givesBack, hops);
  }
};

struct UnitReply {
  std::uint32_t form = kForm;
  /// False where this node may not give out units now, and knows nobody who does.
  bool decided = false;
  bool granted = false;
  /// Where it is refused: until the next unit comes.
  std::uint32_t waitMs = 0;
  /// As the answering node knows it.
  LimitFact limit;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, decided, granted, waitMs, limit);
  }
};

}  // namespace calicodrift::server_limits
