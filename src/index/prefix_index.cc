#include "index/prefix_index.h"

#include <algorithm>
#include <limits>

namespace calicodrift::index {
namespace {

constexpr std::size_t kMostSlots = std::numeric_limits<EngineSlot>::max();

std::uint32_t fingerprintOf(BlockHash block) {
  constexpr unsigned kHalf = 32;
  // The lower half selects the set, so the upper half tells the blocks of one set apart.
  const auto fingerprint = static_cast<std::uint32_t>(block.value() >> kHalf);
  return fingerprint == 0 ? 1 : fingerprint;
}

/// Maps the lower half of the hash evenly onto the sets.
std::size_t setNumber(BlockHash block, std::size_t sets) {
  constexpr unsigned kHalf = 32;
  const std::uint64_t lower = block.value() & 0xFFFFFFFFU;
  return static_cast<std::size_t>((lower * sets) >> kHalf);
}

std::uint16_t ticksOf(MonotonicTime::duration duration, Milliseconds tick) {
  return static_cast<std::uint16_t>(duration / tick);
}

}  // namespace

PrefixIndex::PrefixIndex(std::size_t beliefBudget, Milliseconds term)
    : entries_((beliefBudget / kWays + 1) * kWays),
      sets_(entries_.size() / kWays),
      termTicks_(ticksOf(term, kTick)) {}

std::optional<EngineSlot> PrefixIndex::slotOf(const BackendId& backend, Incarnation incarnation) {
  const auto found = slots_.find(backend);
  if (found != slots_.end()) {
    const Incarnation known = owners_[found->second].incarnation;
    if (known == incarnation) {
      return found->second;
    }
    if (known > incarnation) {
      return std::nullopt;
    }
  }
  forget(backend);
  const EngineSlot slot = allocateSlot();
  owners_[slot] = {backend, incarnation, true};
  slots_[backend] = slot;
  return slot;
}

void PrefixIndex::forget(const BackendId& backend) {
  const auto found = slots_.find(backend);
  if (found == slots_.end()) {
    return;
  }
  owners_[found->second].live = false;
  slots_.erase(found);
}

EngineSlot PrefixIndex::allocateSlot() {
  if (owners_.size() < kMostSlots) {
    owners_.emplace_back();
    return static_cast<EngineSlot>(owners_.size() - 1);
  }
  if (freeSlots_.empty()) {
    // A slot may be used anew only once no entry names it.
    for (Entry& entry : entries_) {
      if (!owners_[entry.engine].live) {
        entry = Entry();
      }
    }
    for (std::size_t slot = 0; slot < owners_.size(); ++slot) {
      if (!owners_[slot].live) {
        freeSlots_.push_back(static_cast<EngineSlot>(slot));
      }
    }
  }
  const EngineSlot slot = freeSlots_.back();
  freeSlots_.pop_back();
  return slot;
}

void PrefixIndex::add(BlockHash block, EngineSlot engine, MonotonicTime now) {
  const std::uint16_t tick = ticksOf(now.time_since_epoch(), kTick);
  const std::uint32_t fingerprint = fingerprintOf(block);
  Entry* set = setOf(block);
  Entry* place = nullptr;
  for (std::size_t way = 0; way < kWays; ++way) {
    Entry& entry = set[way];
    if (entry.fingerprint == fingerprint && entry.engine == engine) {
      entry.confirmed = tick;
      return;
    }
    const auto age = [tick](const Entry& other) {
      return static_cast<std::uint16_t>(tick - other.confirmed);
    };
    const bool free = entry.fingerprint == 0 || !valid(entry, tick);
    if (free) {
      entry.fingerprint = 0;
    }
    const bool better =
        place == nullptr || (place->fingerprint != 0 && (free || age(entry) > age(*place)));
    if (better) {
      place = &entry;
    }
  }
  *place = {fingerprint, engine, tick};
  sweepOneSet(tick);
}

void PrefixIndex::remove(BlockHash block, EngineSlot engine) {
  const std::uint32_t fingerprint = fingerprintOf(block);
  Entry* set = setOf(block);
  for (std::size_t way = 0; way < kWays; ++way) {
    if (set[way].fingerprint == fingerprint && set[way].engine == engine) {
      set[way] = Entry();
    }
  }
}

void PrefixIndex::findHolders(BlockHash block, MonotonicTime now,
                              std::vector<EngineSlot>& holders) const {
  const std::uint16_t tick = ticksOf(now.time_since_epoch(), kTick);
  const std::uint32_t fingerprint = fingerprintOf(block);
  const Entry* set = setOf(block);
  for (std::size_t way = 0; way < kWays; ++way) {
    if (set[way].fingerprint == fingerprint && valid(set[way], tick)) {
      holders.push_back(set[way].engine);
    }
  }
}

PrefixIndex::Entry* PrefixIndex::setOf(BlockHash block) {
  return &entries_[setNumber(block, sets_) * kWays];
}

const PrefixIndex::Entry* PrefixIndex::setOf(BlockHash block) const {
  return &entries_[setNumber(block, sets_) * kWays];
}

bool PrefixIndex::valid(const Entry& entry, std::uint16_t tick) const {
  return owners_[entry.engine].live &&
         static_cast<std::uint16_t>(tick - entry.confirmed) <= termTicks_;
}

void PrefixIndex::sweepOneSet(std::uint16_t tick) {
  sweepPosition_ = (sweepPosition_ + 1) % sets_;
  Entry* set = &entries_[sweepPosition_ * kWays];
  for (std::size_t way = 0; way < kWays; ++way) {
    if (set[way].fingerprint != 0 && !valid(set[way], tick)) {
      set[way] = Entry();
    }
  }
}

}  // namespace calicodrift::index
