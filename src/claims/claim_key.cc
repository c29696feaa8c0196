#include "claims/claim_key.h"

#include <algorithm>
#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include "common/hashing.h"

namespace calicodrift::claims {
namespace {

constexpr unsigned kTimeShift = 16;
constexpr std::uint64_t kVersionMask = 0xF000;
constexpr std::uint64_t kVersionSeven = 0x7000;
constexpr std::uint64_t kRandomHighMask = 0x0FFF;
constexpr std::uint64_t kVariantMask = 0xC000'0000'0000'0000;
constexpr std::uint64_t kVariantStandard = 0x8000'0000'0000'0000;
constexpr std::size_t kUuidTextLength = 36;
constexpr std::size_t kUint64Bytes = 8;

std::uint64_t readBigEndian(const std::uint8_t* bytes) {
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < kUint64Bytes; ++index) {
    value = (value << 8U) | bytes[index];
  }
  return value;
}

void writeBigEndian(std::uint64_t value, std::uint8_t* bytes) {
  for (std::size_t index = kUint64Bytes; index > 0; --index) {
    bytes[index - 1] = static_cast<std::uint8_t>(value & 0xFFU);
    value >>= 8U;
  }
}

}  // namespace

WallMilliseconds ClaimKey::time() const {
  return high >> kTimeShift;
}

std::size_t ClaimKey::group() const {
  return hashPair(tenant, hashPair(high, low)) % kGroupCount;
}

Result<ClaimKey> parseClaimKey(const TenantId& tenant, std::string_view text) {
  const Error invalid = fail(ErrorKind::kIdempotencyKeyInvalid,
                             "the Idempotency-Key of a non-repeatable request must be a UUIDv7");
  if (text.size() != kUuidTextLength) {
    return invalid;
  }
  boost::uuids::uuid uuid{};
  try {
    uuid = boost::uuids::string_generator()(text.begin(), text.end());
  } catch (const std::exception&) {
    return invalid;
  }
  const ClaimKey key{readBigEndian(uuid.data), readBigEndian(uuid.data + kUint64Bytes),
                     hashBytes(tenant.value())};
  const bool versionSeven =
      (key.high & kVersionMask) == kVersionSeven && (key.low & kVariantMask) == kVariantStandard;
  if (!versionSeven) {
    return invalid;
  }
  return key;
}

std::string makeUuidV7(WallMilliseconds time, std::uint64_t randomHigh, std::uint64_t randomLow) {
  const std::uint64_t high = (time << kTimeShift) | kVersionSeven | (randomHigh & kRandomHighMask);
  const std::uint64_t low = kVariantStandard | (randomLow & ~kVariantMask);
  boost::uuids::uuid uuid{};
  writeBigEndian(high, uuid.data);
  writeBigEndian(low, uuid.data + kUint64Bytes);
  return boost::uuids::to_string(uuid);
}

}  // namespace calicodrift::claims
