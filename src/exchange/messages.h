#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "exchange/observation_message.h"
#include "fleet/cache_store_report.h"
#include "fleet/named_weights.h"
#include "fleet/saved_part.h"
#include "fleet/server_load.h"
#include "peer/compact_number.h"

/// Messages between nodes about their load on servers, saved cache parts, and observations of
/// service versions that are being rolled out.
namespace calicodrift::exchange {

struct LoadEntry {
  std::uint64_t server = 0;
  std::uint16_t requests = 0;
  std::uint16_t unreachableFrom = 0;
  std::uint32_t tokens = 0;
  std::uint32_t prefillTokens = 0;
  std::uint64_t loadingWeights = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    using peer::compact;
    archive(server, compact(requests), compact(unreachableFrom), compact(tokens),
            compact(prefillTokens), compact(loadingWeights));
  }
};

struct NamingEntry {
  std::uint64_t weights = 0;
  std::uint32_t ageMs = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(weights, ageMs);
  }
};

/// Wire format of fleet::NamedWeights.
struct NamedWeightsEntry {
  std::string model;
  std::uint64_t floor = 0;
  std::uint64_t coveredFrom = 0;
  std::vector<NamingEntry> namings;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(model, floor, coveredFrom, namings);
  }
};

/// Report that a node sends to its relay with its own load, and a relay to another relay with the
/// load of its group. The answer is a report too: to a node it contains the load of all other
/// nodes, to a relay the load of the other group. Each report contains the saves that the receiver
/// has not been sent yet.
struct ExchangeReport {
  /// Name of the node, or endpoint of the relay whose group is reported.
  std::string sender;
  /// True if `entries` cover the whole group of a relay.
  bool group = false;
  /// True if the sender has received no answer since it started. It is then sent all saves that are
  /// still in the log.
  bool noAnswerYet = false;
  std::vector<LoadEntry> entries;
  std::vector<fleet::SavedPart> saves;
  /// Weights named so far, as known to the sender.
  std::vector<NamedWeightsEntry> namings;
  /// State of the cache stores; set only in the answer to a child.
  std::vector<fleet::CacheStoreReport> cacheStores;
  /// Observations of running orders by the same nodes that `entries` cover.
  ObservationMessage observations;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, group, noAnswerYet, entries, saves, namings, cacheStores, observations);
  }
};

std::vector<NamedWeightsEntry> toEntries(const std::vector<fleet::NamedWeights>& named);
std::vector<fleet::NamedWeights> toNamedWeights(const std::vector<NamedWeightsEntry>& entries);

/// Lists only servers for which any field is set, also those without load that are unreachable or
/// have a weights load announced. Values beyond the range of a field are capped.
std::vector<LoadEntry> toEntries(const fleet::ServerLoads& loads);
/// The entries of at most `most` servers: those that are unreachable or load weights, then those
/// with the longest queues.
std::vector<LoadEntry> heaviest(std::vector<LoadEntry> entries, std::size_t most);
fleet::ServerLoads toLoads(const std::vector<LoadEntry>& entries);

}  // namespace calicodrift::exchange
