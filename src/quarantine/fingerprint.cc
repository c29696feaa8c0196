#include "quarantine/fingerprint.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "common/hashing.h"

namespace calicodrift::quarantine {
namespace {

constexpr std::size_t kDigits = 16;
constexpr std::size_t kParts = 3;
constexpr int kHexBase = 16;

std::string toHex(std::uint64_t number) {
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return std::string(text.data(), kDigits);
}

}  // namespace

RequestFingerprint fingerprintOf(const RequestIdentity& identity) {
  const std::uint64_t tenant = hashBytes(identity.tenant.value());
  const Hash128 digest =
      hashTexts({identity.method, identity.host, identity.target, identity.body}, tenant);
  return {tenant, digest.high, digest.low};
}

std::string toString(const RequestFingerprint& fingerprint) {
  return toHex(fingerprint.tenant) + toHex(fingerprint.high) + toHex(fingerprint.low);
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view text) {
  if (text.size() != kParts * kDigits) {
    return std::nullopt;
  }
  std::array<std::uint64_t, kParts> numbers{};
  for (std::size_t part = 0; part < kParts; ++part) {
    const std::string_view digits = text.substr(part * kDigits, kDigits);
    const auto parsed = std::from_chars(digits.begin(), digits.end(), numbers[part], kHexBase);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.end()) {
      return std::nullopt;
    }
  }
  return RequestFingerprint{numbers[0], numbers[1], numbers[2]};
}

}  // namespace calicodrift::quarantine
