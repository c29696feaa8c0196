#include "peer/text_patch.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace calicodrift::peer {
namespace {

/// A step costs 16 bytes besides its literal, so a shorter member is cheaper as a literal.
constexpr std::size_t kMinCopyBytes = 17;

/// Removes and returns the text up to and including the next ',', '}' or line end.
std::string_view nextMember(std::string_view& rest) {
  const std::size_t end = rest.find_first_of(",}\n");
  const std::size_t length = end == std::string_view::npos ? rest.size() : end + 1;
  const std::string_view member = rest.substr(0, length);
  rest.remove_prefix(length);
  return member;
}

/// Offsets of the base's members: the next ones after the last copy, or any of them.
class MemberFinder {
 public:
  explicit MemberFinder(std::string_view base) : base_(base) {}

  /// Returns the offset of a member that equals `member`, if there is one.
  /// @param from end of the last copy in the base.
  std::optional<std::uint32_t> find(std::string_view member, std::size_t from) {
    if (const auto near = findNear(member, from)) {
      return near;
    }
    if (!indexed_) {
      index();
    }
    const auto found = offsets_.find(member);
    return found == offsets_.end() ? std::nullopt : std::optional(found->second);
  }

 private:
  /// A changed or removed member is usually followed by the one that followed it before.
  std::optional<std::uint32_t> findNear(std::string_view member, std::size_t from) const {
    constexpr std::size_t kMembersAhead = 64;
    std::string_view rest = base_.substr(std::min(from, base_.size()));
    for (std::size_t ahead = 0; ahead < kMembersAhead && !rest.empty(); ++ahead) {
      const auto offset = static_cast<std::uint32_t>(base_.size() - rest.size());
      if (nextMember(rest) == member) {
        return offset;
      }
    }
    return std::nullopt;
  }
  void index() {
    indexed_ = true;
    std::string_view rest = base_;
    while (!rest.empty()) {
      const auto offset = static_cast<std::uint32_t>(base_.size() - rest.size());
      offsets_.emplace(nextMember(rest), offset);
    }
  }

  std::string_view base_;
  bool indexed_ = false;
  /// Each member's first offset.
  std::unordered_map<std::string_view, std::uint32_t> offsets_;
};

/// True if the copied range of `step` is followed by `member` in the base.
bool continues(const PatchStep& step, std::string_view base, std::string_view member) {
  const std::size_t end = std::size_t{step.copyOffset} + step.copyLength;
  return step.literal.empty() && base.substr(end, member.size()) == member;
}

}  // namespace

TextPatch makePatch(std::string_view base, std::string_view target) {
  MemberFinder finder(base);
  TextPatch patch;
  patch.steps.emplace_back();
  std::string_view rest = target;
  while (!rest.empty()) {
    const std::string_view member = nextMember(rest);
    PatchStep& last = patch.steps.back();
    if (continues(last, base, member)) {
      last.copyLength += static_cast<std::uint32_t>(member.size());
      continue;
    }
    const std::size_t copied = std::size_t{last.copyOffset} + last.copyLength;
    const auto found = member.size() < kMinCopyBytes ? std::nullopt : finder.find(member, copied);
    if (!found) {
      last.literal += member;
      continue;
    }
    patch.steps.push_back({*found, static_cast<std::uint32_t>(member.size()), ""});
  }
  return patch;
}

Result<std::string> applyPatch(std::string_view base, const TextPatch& patch) {
  std::string text;
  for (const PatchStep& step : patch.steps) {
    const std::size_t end = std::size_t{step.copyOffset} + step.copyLength;
    const std::size_t grown = text.size() + step.copyLength + step.literal.size();
    if (end > base.size() || grown > kMaxTextBytes) {
      return fail(ErrorKind::kProtocolViolation,
                  "a patch step exceeds its base or the maximum text size");
    }
    text += base.substr(step.copyOffset, step.copyLength);
    text += step.literal;
  }
  return text;
}

}  // namespace calicodrift::peer
