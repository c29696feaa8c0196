#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace calicodrift {

/// A value that can't be mixed up with another of the same representation: `StrongType<struct
/// EpochTag, std::uint64_t>` and `StrongType<struct VersionTag, std::uint64_t>` don't convert.
template <typename Tag, typename Value>
class StrongType {
 public:
  using ValueType = Value;

  StrongType() = default;
  explicit StrongType(Value value) : value_(std::move(value)) {}

  const Value& value() const { return value_; }
  auto operator<=>(const StrongType&) const = default;

  /// cereal: the value alone, without a name.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  Value value_{};
};

}  // namespace calicodrift

template <typename Tag, typename Value>
struct std::hash<calicodrift::StrongType<Tag, Value>> {
  std::size_t operator()(const calicodrift::StrongType<Tag, Value>& id) const {
    return std::hash<Value>{}(id.value());
  }
};
