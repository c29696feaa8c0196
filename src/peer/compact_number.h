#pragma once

#include <cstdint>
#include <stdexcept>

namespace calicodrift::peer {

/// A whole number that takes a byte for each 7 bits that it needs (LEB128), for messages in which
/// most numbers are small. For cereal archives; a longer form than 64 bits need is refused.
template <typename Number>
class CompactNumber {
 public:
  explicit CompactNumber(Number& number) : number_(number) {}

  template <typename Archive>
  void save(Archive& archive) const {
    auto rest = static_cast<std::uint64_t>(number_);
    while (rest >= kMore) {
      archive(static_cast<std::uint8_t>(kMore | (rest & kBits)));
      rest >>= kBitsPerByte;
    }
    archive(static_cast<std::uint8_t>(rest));
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint64_t value = 0;
    std::uint8_t byte = kMore;
    for (unsigned shift = 0; (byte & kMore) != 0; shift += kBitsPerByte) {
      if (shift > kLongestShift) {
        throw std::runtime_error("a compact number is too long");
      }
      archive(byte);
      value |= static_cast<std::uint64_t>(byte & kBits) << shift;
    }
    number_ = static_cast<Number>(value);
  }

 private:
  static constexpr std::uint64_t kMore = 0x80;
  static constexpr std::uint64_t kBits = 0x7f;
  static constexpr unsigned kBitsPerByte = 7;
  static constexpr unsigned kLongestShift = 63;

  Number& number_;
};

/// As an argument of an archive: `archive(compact(count_))`.
template <typename Number>
CompactNumber<Number> compact(Number& number) {
  return CompactNumber<Number>(number);
}

}  // namespace calicodrift::peer
