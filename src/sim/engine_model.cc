#include "sim/engine_model.h"

#include <algorithm>
#include <utility>

namespace calicodrift::sim {

EngineModel::EngineModel(EngineModelSettings settings) : settings_(settings) {}

void EngineModel::submit(EngineRequest request) {
  const std::pair<Priority, std::uint64_t> position{request.priority, arrivals_++};
  waiting_.emplace(position, std::move(request));
}

void EngineModel::cancel(std::uint64_t id) {
  std::erase_if(waiting_, [id](const auto& entry) { return entry.second.id == id; });
  std::erase_if(running_, [id](const Sequence& sequence) { return sequence.request.id == id; });
}

Microseconds EngineModel::planStep() {
  admitWaiting();
  std::size_t budget = settings_.prefillChunkTokens;
  std::size_t prefillTokens = 0;
  std::size_t decoding = 0;
  for (Sequence& sequence : running_) {
    sequence.plannedPrefill = std::min(budget, sequence.prefillLeft);
    budget -= sequence.plannedPrefill;
    prefillTokens += sequence.plannedPrefill;
    if (sequence.prefillLeft == 0) {
      ++decoding;
    }
  }
  const double prefillMs = static_cast<double>(prefillTokens) / settings_.prefillTokensPerMs;
  constexpr double kMicrosecondsPerMs = 1000.0;
  const Microseconds prefill(static_cast<std::int64_t>(prefillMs * kMicrosecondsPerMs));
  return settings_.stepBase + prefill + settings_.stepPerSequence * decoding;
}

std::vector<TokenEvent> EngineModel::finishStep() {
  std::vector<TokenEvent> tokens;
  for (Sequence& sequence : running_) {
    if (sequence.prefillLeft > 0) {
      sequence.prefillLeft -= sequence.plannedPrefill;
      sequence.plannedPrefill = 0;
      if (sequence.prefillLeft > 0) {
        continue;
      }
      storeFromTheEnd(sequence.request.blocks);
      // The step that ends the prefill also gives the first token.
    }
    const bool last = sequence.nextToken + 1 >= sequence.request.outputTokens;
    tokens.push_back({sequence.request.id, sequence.nextToken, last, sequence.cachedTokens});
    ++sequence.nextToken;
  }
  std::erase_if(running_, [](const Sequence& sequence) {
    return sequence.prefillLeft == 0 && sequence.nextToken >= sequence.request.outputTokens;
  });
  return tokens;
}

std::size_t EngineModel::pendingPrefillTokens() const {
  std::size_t tokens = 0;
  for (const Sequence& sequence : running_) {
    tokens += sequence.prefillLeft;
  }
  for (const auto& entry : waiting_) {
    const EngineRequest& request = entry.second;
    const std::size_t cached = longestCachedPrefix(request.blocks) * settings_.blockTokens;
    tokens += request.promptTokens - std::min(request.promptTokens, cached);
  }
  return tokens;
}

std::vector<CacheEvent> EngineModel::takeCacheEvents() {
  return std::exchange(events_, {});
}

void EngineModel::importBlocks(const std::vector<BlockHash>& blocks) {
  storeFromTheEnd(blocks);
}

void EngineModel::clearCache() {
  cacheOrder_.clear();
  cacheEntries_.clear();
  events_.clear();
}

void EngineModel::admitWaiting() {
  std::size_t prefillTokens = 0;
  for (const Sequence& sequence : running_) {
    prefillTokens += sequence.prefillLeft;
  }
  while (!waiting_.empty() && running_.size() < settings_.maxBatch &&
         prefillTokens < settings_.prefillChunkTokens) {
    auto first = waiting_.begin();
    running_.push_back(admitted(std::move(first->second)));
    prefillTokens += running_.back().prefillLeft;
    waiting_.erase(first);
  }
}

EngineModel::Sequence EngineModel::admitted(EngineRequest request) {
  Sequence sequence;
  const std::size_t cachedBlocks = longestCachedPrefix(request.blocks);
  // The deepest block first: the first block of a prompt, which its others are useless without, is
  // the most recently used and so the last of them to be evicted.
  for (std::size_t index = cachedBlocks; index > 0; --index) {
    touchBlock(request.blocks[index - 1]);
  }
  sequence.cachedTokens = std::min(cachedBlocks * settings_.blockTokens, request.promptTokens);
  // At least one token is always computed, as the first output needs its logits.
  const std::size_t uncached = request.promptTokens - sequence.cachedTokens + request.resumeFrom;
  sequence.prefillLeft = std::max<std::size_t>(uncached, 1);
  sequence.nextToken = request.resumeFrom;
  sequence.request = std::move(request);
  return sequence;
}

void EngineModel::storeFromTheEnd(const std::vector<BlockHash>& blocks) {
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    storeBlock(*block);
  }
}

void EngineModel::storeBlock(BlockHash block) {
  if (cacheEntries_.contains(block.value())) {
    touchBlock(block);
    return;
  }
  if (settings_.cacheBlocks == 0) {
    return;
  }
  if (cacheEntries_.size() >= settings_.cacheBlocks) {
    const std::uint64_t oldest = cacheOrder_.front();
    cacheOrder_.pop_front();
    cacheEntries_.erase(oldest);
    events_.push_back({++eventSequence_, false, BlockHash(oldest)});
  }
  cacheEntries_[block.value()] = cacheOrder_.insert(cacheOrder_.end(), block.value());
  events_.push_back({++eventSequence_, true, block});
}

void EngineModel::touchBlock(BlockHash block) {
  cacheOrder_.splice(cacheOrder_.end(), cacheOrder_, cacheEntries_.at(block.value()));
}

std::size_t EngineModel::longestCachedPrefix(const std::vector<BlockHash>& blocks) const {
  std::size_t count = 0;
  while (count < blocks.size() && holds(blocks[count])) {
    ++count;
  }
  return count;
}

}  // namespace calicodrift::sim
