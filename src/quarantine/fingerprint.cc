#include "quarantine/fingerprint.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "common/hashing.h"

namespace calicodrift::quarantine {
namespace {

constexpr std::size_t kDigits = 16;
constexpr int kHexBase = 16;

std::string toHex(std::uint64_t number) {
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return std::string(text.data(), kDigits);
}

/// Empty if the text is not `Count` numbers as toHex() writes them.
template <std::size_t Count>
std::optional<std::array<std::uint64_t, Count>> parseNumbers(std::string_view text) {
  if (text.size() != Count * kDigits) {
    return std::nullopt;
  }
  std::array<std::uint64_t, Count> numbers{};
  for (std::size_t index = 0; index < Count; ++index) {
    const std::string_view digits = text.substr(index * kDigits, kDigits);
    const auto parsed = std::from_chars(digits.begin(), digits.end(), numbers[index], kHexBase);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.end()) {
      return std::nullopt;
    }
  }
  return numbers;
}

}  // namespace

RequestFingerprint fingerprintOf(const RequestIdentity& identity) {
  const std::uint64_t tenant = hashBytes(identity.tenant.value());
  const Hash128 digest =
      hashTexts({identity.method, identity.host, identity.target, identity.body}, tenant);
  return {tenant, digest.high, digest.low};
}

std::uint64_t shortDigest(const RequestFingerprint& fingerprint) {
  return hashPair(fingerprint.high, fingerprint.low);
}

std::string toString(const RequestFingerprint& fingerprint) {
  return toHex(fingerprint.tenant) + toHex(fingerprint.high) + toHex(fingerprint.low);
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view text) {
  const auto numbers = parseNumbers<3>(text);
  return numbers ? std::optional(RequestFingerprint{(*numbers)[0], (*numbers)[1], (*numbers)[2]})
                 : std::nullopt;
}

PartFingerprint fingerprintOf(const PartIdentity& identity) {
  const std::uint64_t tenant = hashBytes(identity.isolatedTenant.value());
  const Hash128 digest = hashTexts({identity.model.value(), identity.id}, tenant);
  return {digest.high, digest.low};
}

std::string toString(const PartFingerprint& fingerprint) {
  return toHex(fingerprint.high) + toHex(fingerprint.low);
}

std::optional<PartFingerprint> parsePartFingerprint(std::string_view text) {
  const auto numbers = parseNumbers<2>(text);
  return numbers ? std::optional(PartFingerprint{(*numbers)[0], (*numbers)[1]}) : std::nullopt;
}

}  // namespace calicodrift::quarantine
