#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/hashing.h"
#include "common/ids.h"
#include "common/priority.h"

namespace calicodrift::sim {

/// Speed and size of one model server. The defaults are round numbers of the order that public
/// serving benchmarks report for a mid-size model on one accelerator; they are stand-in values, and
/// results depend on their ratios (prefill against decode, cache against working set) more than on
/// their size.
struct EngineModelSettings {
  /// Prompt tokens that prefill takes in one millisecond.
  double prefillTokensPerMs = 8.0;
  /// Time of one decode step whatever the batch.
  Microseconds stepBase{15000};
  /// Added to a step by each sequence that decodes in it.
  Microseconds stepPerSequence{150};
  /// Sequences in the running batch.
  std::size_t maxBatch = 32;
  /// Prompt tokens that one step prefills at most (chunked prefill).
  std::size_t prefillChunkTokens = 2048;
  /// Blocks that the prefix cache holds.
  std::size_t cacheBlocks = 4096;
  std::size_t blockTokens = 512;
};

/// One generation for the engine.
struct EngineRequest {
  std::uint64_t id = 0;
  std::vector<BlockHash> blocks;
  std::size_t promptTokens = 0;
  /// Index after the last token to generate.
  std::size_t outputTokens = 0;
  /// Index of the first token to generate; earlier ones count as prompt.
  std::size_t resumeFrom = 0;
  Priority priority = Priority::kNormal;
};

/// A generated token.
struct TokenEvent {
  std::uint64_t id = 0;
  std::size_t index = 0;
  bool last = false;
  /// Prompt tokens that the request found in the cache when it was admitted.
  std::size_t cachedTokens = 0;
};

/// A change of the prefix cache, in order of `sequence`.
struct CacheEvent {
  std::uint64_t sequence = 0;
  bool stored = true;
  BlockHash block;
};

/// Continuous batching with a prefix block cache, in steps. It has no clock: the caller asks how
/// long the next step takes, lets that time pass, and finishes the step. The HTTP stand-in does so
/// in wall-clock time and the replay tool in virtual time.
class EngineModel {
 public:
  explicit EngineModel(EngineModelSettings settings);

  void submit(EngineRequest request);
  /// Forgets a generation that waits or runs; unknown ids are ignored.
  void cancel(std::uint64_t id);
  bool idle() const { return waiting_.empty() && running_.empty(); }
  /// Admits what fits, plans one step and gives its duration. Call finishStep() after it.
  Microseconds planStep();
  /// Tokens that the planned step generated.
  std::vector<TokenEvent> finishStep();

  /// Prompt tokens of waiting requests and those that running ones have yet to prefill.
  std::size_t pendingPrefillTokens() const;
  std::size_t waitingRequests() const { return waiting_.size(); }
  std::size_t runningRequests() const { return running_.size(); }
  std::size_t cachedBlocks() const { return cacheEntries_.size(); }
  bool holds(BlockHash block) const { return cacheEntries_.contains(block.value()); }
  /// Takes the cache events since the last call.
  std::vector<CacheEvent> takeCacheEvents();
  /// Stores blocks as if they had been prefilled here (KV import).
  void importBlocks(const std::vector<BlockHash>& blocks);
  /// Empties the cache, as after loading other weights.
  void clearCache();
  const EngineModelSettings& settings() const { return settings_; }

 private:
  struct Sequence {
    EngineRequest request;
    std::size_t cachedTokens = 0;
    std::size_t prefillLeft = 0;
    std::size_t nextToken = 0;
    /// Prompt tokens that the planned step prefills.
    std::size_t plannedPrefill = 0;
  };

  /// Admits requests while the next step has room to prefill for them, as engines with chunked
  /// prefill do: a request looks up the cache when its own prefill can begin, and so finds what
  /// others have computed meanwhile.
  void admitWaiting();
  Sequence admitted(EngineRequest request);
  void storeFromTheEnd(const std::vector<BlockHash>& blocks);
  void storeBlock(BlockHash block);
  void touchBlock(BlockHash block);
  std::size_t longestCachedPrefix(const std::vector<BlockHash>& blocks) const;

  EngineModelSettings settings_;
  /// Keyed by priority, then order of arrival.
  std::map<std::pair<Priority, std::uint64_t>, EngineRequest> waiting_;
  std::uint64_t arrivals_ = 0;
  std::vector<Sequence> running_;
  /// Least recently used first.
  std::list<std::uint64_t> cacheOrder_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cacheEntries_;
  std::vector<CacheEvent> events_;
  std::uint64_t eventSequence_ = 0;
};

}  // namespace calicodrift::sim
