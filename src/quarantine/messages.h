#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "quarantine/crash_ledger.h"
#include "quarantine/part_ledger.h"

/// Messages between nodes about suspects. They use separate paths: a node of a build without this
/// module answers 404, and no other message changes its format.
namespace calicodrift::quarantine {

inline constexpr std::string_view kReportPath = "/quarantine/report";
inline constexpr std::string_view kTrialPath = "/quarantine/trial";

/// Format version of the messages. Later versions only append fields; readers ignore fields that
/// they do not know.
inline constexpr std::uint32_t kForm = 3;
/// First version whose reports contain starts of servers.
inline constexpr std::uint32_t kFormWithStarts = 2;
/// First version whose messages contain parts of prompts and the ages of crashes.
inline constexpr std::uint32_t kFormWithParts = 3;

/// How long ago a server run crashed, by the sender's clock: what crashed at the same time may have
/// had one cause.
struct CrashAge {
  ServerRun run;
  std::uint32_t ageMs = 0;
  bool operator==(const CrashAge&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(run, ageMs);
  }
};

/// Sent to the neighbours in the relay tree when there is news, and returned as the answer.
struct SuspectReport {
  std::uint32_t form = kForm;
  /// Address of the sender between nodes.
  std::string sender;
  /// The sender has no state yet: the answer contains all suspects.
  bool fresh = false;
  /// In an answer: the answering node has read the stored records, or received them from its
  /// parent.
  bool settled = false;
  /// How long the sender waits until the receiver has forwarded the report to its own neighbours.
  std::uint32_t waitMs = 0;
  std::vector<Suspect> suspects;
  std::vector<ServerStart> starts;
  std::vector<PartSuspect> parts;
  /// Of the crashes in `suspects` and `parts`; those that the sender knows only from records are
  /// left out.
  std::vector<CrashAge> crashAges;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, sender, fresh, settled, waitMs, suspects);
    if (form >= kFormWithStarts) {
      archive(starts);
    }
    if (form >= kFormWithParts) {
      archive(parts, crashAges);
    }
  }
};

/// Asks the root that admits attempts of suspects for admission, or tells it that an attempt has
/// ended.
struct TrialRequest {
  std::uint32_t form = kForm;
  bool ends = false;
  std::uint64_t token = 0;
  std::uint32_t termMs = 0;
  /// State of the request at the asking node.
  Suspect suspect;
  /// Servers that the attempt may go to, the best first.
  std::vector<ServerRun> choices;
  /// All parts of the request's prompt.
  std::vector<PartFingerprint> parts;
  /// State at the asking node of those that the attempt tries.
  std::vector<PartSuspect> triedParts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, ends, token, termMs, suspect, choices);
    if (form >= kFormWithParts) {
      archive(parts, triedParts);
    }
  }
};

struct TrialReply {
  std::uint32_t form = kForm;
  bool granted = false;
  /// One of the choices.
  ServerRun server;
  /// If not granted: time until the current attempt has ended at the latest.
  std::uint32_t waitMs = 0;
  /// State of the request at the answering node.
  Suspect suspect;
  /// State of the tried parts at the answering node.
  std::vector<PartSuspect> triedParts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, granted, server, waitMs, suspect);
    if (form >= kFormWithParts) {
      archive(triedParts);
    }
  }
};

}  // namespace calicodrift::quarantine
