#include "config/text_patch.h"

#include <algorithm>
#include <unordered_map>

namespace calicodrift::config {
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

/// Maps each member of the base to its first offset.
std::unordered_map<std::string_view, std::uint32_t> indexMembers(std::string_view base) {
  std::unordered_map<std::string_view, std::uint32_t> offsets;
  std::string_view rest = base;
  while (!rest.empty()) {
    const auto offset = static_cast<std::uint32_t>(base.size() - rest.size());
    offsets.emplace(nextMember(rest), offset);
  }
  return offsets;
}

/// True if the copied range of `step` is followed by `member` in the base.
bool continues(const PatchStep& step, std::string_view base, std::string_view member) {
  const std::size_t end = std::size_t{step.copyOffset} + step.copyLength;
  return step.literal.empty() && base.substr(end, member.size()) == member;
}

}  // namespace

TextPatch makePatch(std::string_view base, std::string_view target) {
  const auto offsets = indexMembers(base);
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
    const auto found = offsets.find(member);
    if (found == offsets.end() || member.size() < kMinCopyBytes) {
      last.literal += member;
      continue;
    }
    patch.steps.push_back({found->second, static_cast<std::uint32_t>(member.size()), ""});
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

}  // namespace calicodrift::config
