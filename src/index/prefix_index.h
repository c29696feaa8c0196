#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"

/// What a router believes to be cached where, in bounded memory.
namespace calicodrift::index {

/// Short name of one incarnation of one engine inside one index.
using EngineSlot = std::uint16_t;

/// Beliefs "engine E holds block B", 8 bytes each, in a set-associative table of fixed size: the
/// oldest belief of a set makes room for a new one, so memory never grows with the load.
///
/// Invariants:
/// - A belief belongs to an incarnation. Another incarnation of the same engine gets another slot,
///   and a slot without a live owner is never reported, so a lost cache is disbelieved at once.
/// - Tenant, model, weights and adapter are part of the block's chain hash.
/// - A belief that was not confirmed for the term is not reported.
/// A belief is a hint: fingerprints of 32 bits may collide, which costs a worse choice and nothing
/// else, as the engine itself decides what its cache holds.
class PrefixIndex {
 public:
  /// Beliefs in one set: at most so many holders of one block are known.
  static constexpr std::size_t kWays = 16;

  /// @param beliefBudget beliefs that the table holds at most; rounded up to whole sets.
  /// @param term how long an unconfirmed belief lasts.
  PrefixIndex(std::size_t beliefBudget, Milliseconds term);

  /// The slot of this incarnation; beliefs of an earlier incarnation are void from here on. Nothing
  /// for an incarnation that a later one has replaced: what is said of it came late.
  std::optional<EngineSlot> slotOf(const BackendId& backend, Incarnation incarnation);
  /// Every belief about the back end is void.
  void forget(const BackendId& backend);

  /// Stores the belief or confirms it.
  void add(BlockHash block, EngineSlot engine, MonotonicTime now);
  void remove(BlockHash block, EngineSlot engine);
  /// Appends the engines believed to hold the block.
  void findHolders(BlockHash block, MonotonicTime now, std::vector<EngineSlot>& holders) const;

  /// Valid for slots that findHolders() reported.
  const BackendId& backendOf(EngineSlot engine) const { return owners_[engine].backend; }
  Incarnation incarnationOf(EngineSlot engine) const { return owners_[engine].incarnation; }
  /// Size of the table, the larger part of the index's memory.
  std::size_t tableBytes() const { return entries_.size() * sizeof(Entry); }
  std::size_t capacity() const { return entries_.size(); }

 private:
  /// A zero fingerprint marks a free entry.
  struct Entry {
    std::uint32_t fingerprint = 0;
    EngineSlot engine = 0;
    /// Time of the last confirmation in ticks; wraps after more than four hours.
    std::uint16_t confirmed = 0;
  };
  struct Owner {
    BackendId backend;
    Incarnation incarnation;
    bool live = false;
  };

  static constexpr Milliseconds kTick{256};

  EngineSlot allocateSlot();
  Entry* setOf(BlockHash block);
  const Entry* setOf(BlockHash block) const;
  bool valid(const Entry& entry, std::uint16_t tick) const;
  /// Frees the expired entries of one set, the next in turn, so that no entry outlives a wrap.
  void sweepOneSet(std::uint16_t tick);

  std::vector<Entry> entries_;
  std::size_t sets_;
  std::uint16_t termTicks_;
  std::size_t sweepPosition_ = 0;
  std::vector<Owner> owners_;
  std::unordered_map<BackendId, EngineSlot> slots_;
  std::vector<EngineSlot> freeSlots_;
};

}  // namespace calicodrift::index
