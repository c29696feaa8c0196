#include "common/hashing.h"

#include <openssl/sha.h>
// The size of the state of a hash over several texts.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <array>
#include <bit>

namespace calicodrift {
namespace {

std::uint64_t scopeSeed(const CacheScope& scope) {
  std::uint64_t seed = hashBytes(scope.tenant.value());
  seed = hashBytes(scope.model.value(), seed);
  seed = hashBytes(scope.adapter, seed);
  return hashPair(seed, scope.weights.value());
}

}  // namespace

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashPair(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair{first, second};
  return XXH64(pair.data(), sizeof(pair), 0);
}

Hash128 hashTexts(std::initializer_list<std::string_view> texts, std::uint64_t seed) {
  XXH3_state_t state;
  XXH3_128bits_reset_withSeed(&state, seed);
  for (const std::string_view text : texts) {
    const std::uint64_t length = text.size();
    XXH3_128bits_update(&state, &length, sizeof(length));
    XXH3_128bits_update(&state, text.data(), text.size());
  }
  const XXH128_hash_t digest = XXH3_128bits_digest(&state);
  return {digest.high64, digest.low64};
}

std::string sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0xFU]);
  }
  return text;
}

std::vector<BlockHash> chainHashes(const CacheScope& scope, std::string_view prompt,
                                   std::size_t blockBytes) {
  std::vector<BlockHash> chain;
  chain.reserve(prompt.size() / blockBytes);
  std::uint64_t hash = scopeSeed(scope);
  for (std::size_t offset = 0; offset + blockBytes <= prompt.size(); offset += blockBytes) {
    hash = hashBytes(prompt.substr(offset, blockBytes), hash);
    chain.emplace_back(hash);
  }
  return chain;
}

std::vector<BlockHash> chainHashes(const CacheScope& scope,
                                   const std::vector<std::uint64_t>& blockIds) {
  std::vector<BlockHash> chain;
  chain.reserve(blockIds.size());
  std::uint64_t hash = scopeSeed(scope);
  for (const std::uint64_t id : blockIds) {
    hash = hashPair(hash, id);
    chain.emplace_back(hash);
  }
  return chain;
}

}  // namespace calicodrift
