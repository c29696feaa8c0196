#include "bundle/difference.h"

#include <boost/json.hpp>
#include <map>

namespace calicodrift::bundle {
namespace {

namespace json = boost::json;
/// A value's members by name, whether it is an object or a list of named entries.
using Members = std::map<std::string, const json::value*>;

std::string nameOf(const json::value& entry, std::size_t index) {
  const json::object* object = entry.if_object();
  for (const std::string_view key : {"id", "name"}) {
    const json::value* name = object == nullptr ? nullptr : object->if_contains(key);
    if (name != nullptr && name->is_string()) {
      return std::string(name->get_string());
    }
  }
  return std::to_string(index);
}

Members membersOf(const json::value& value, const std::string& path) {
  Members members;
  if (const json::object* object = value.if_object()) {
    for (const auto& member : *object) {
      members[path + "." + std::string(member.key())] = &member.value();
    }
  }
  if (const json::array* list = value.if_array()) {
    for (std::size_t index = 0; index < list->size(); ++index) {
      members[path + "[" + nameOf((*list)[index], index) + "]"] = &(*list)[index];
    }
  }
  return members;
}

std::string textOf(const json::value* value) {
  return value == nullptr ? "" : json::serialize(*value);
}

void compare(const json::value* before, const json::value* after, const std::string& path,
             std::vector<Difference>& differences) {
  const bool sameKind = before != nullptr && after != nullptr && before->kind() == after->kind();
  const bool nested = sameKind && (before->is_object() || before->is_array());
  if (!nested) {
    if (textOf(before) != textOf(after)) {
      differences.push_back({path, textOf(before), textOf(after)});
    }
    return;
  }
  const Members old = membersOf(*before, path);
  const Members fresh = membersOf(*after, path);
  Members all = old;
  all.insert(fresh.begin(), fresh.end());
  for (const auto& [memberPath, member] : all) {
    const auto oldMember = old.find(memberPath);
    const auto freshMember = fresh.find(memberPath);
    compare(oldMember == old.end() ? nullptr : oldMember->second,
            freshMember == fresh.end() ? nullptr : freshMember->second, memberPath, differences);
  }
}

}  // namespace

Result<std::vector<Difference>> findDifferences(std::string_view before, std::string_view after) {
  json::error_code code;
  const json::value old = json::parse(before, code);
  const json::value fresh = code ? json::value() : json::parse(after, code);
  if (code) {
    return fail(ErrorKind::kBundleInvalid, "a bundle is not JSON: " + code.message());
  }
  std::vector<Difference> differences;
  compare(&old, &fresh, "$", differences);
  return differences;
}

}  // namespace calicodrift::bundle
