#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"

namespace calicodrift {

/// 64-bit xxHash of bytes; stable over processes and machines.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);
/// Mixes two 64-bit values; stable over processes and machines.
std::uint64_t hashPair(std::uint64_t first, std::uint64_t second);

/// A 128-bit xxHash.
struct Hash128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

/// Hashes several texts as one, each with its length, so that no text can run into the next; stable
/// over processes and machines. Not safe against collisions that are made on purpose.
Hash128 hashTexts(std::initializer_list<std::string_view> texts, std::uint64_t seed);

/// SHA-256 in lower-case hexadecimal, for API keys and bundle digests.
std::string sha256Hex(std::string_view bytes);

/// What a cached block depends on besides the prompt. Two requests share cache only where every
/// field is equal, so no request can meet another tenant's or older weights' cache.
struct CacheScope {
  TenantId tenant;
  ModelId model;
  WeightsVersion weights;
  std::string adapter;
};

/// Chain hashes of the whole blocks of a prompt: entry i covers blocks 0..i.
/// `blockBytes` is the size of one block in bytes of prompt text; a tail shorter than that is left
/// out, as engines cache whole blocks only.
std::vector<BlockHash> chainHashes(const CacheScope& scope, std::string_view prompt,
                                   std::size_t blockBytes);

/// Chain hashes for a prompt that is already cut into block ids (trace files).
std::vector<BlockHash> chainHashes(const CacheScope& scope,
                                   const std::vector<std::uint64_t>& blockIds);

}  // namespace calicodrift
