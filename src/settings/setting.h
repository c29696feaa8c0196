#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/error.h"

/// Typed settings from a file or flags. One table per program drives the flags, --help, the check
/// and the reference page.
namespace calicodrift::settings {

/// Every type that a setting can have.
using SettingValue = std::variant<std::string, std::int64_t, double, bool, Milliseconds, Endpoint,
                                  std::vector<Endpoint>, std::vector<std::string>>;

/// What people see of one setting, whatever its type.
struct SettingDescription {
  std::string name;
  std::string defaultText;
  /// For numbers and durations (in milliseconds); both ends are allowed values.
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
  /// "ms", "bytes", "count"; empty for text.
  std::string unit;
  std::string description;
};

/// One setting as somebody gave it, with the place to name in a message.
struct GivenValue {
  std::string name;
  std::string text;
  /// "flag --listen" or "node.json: $.listen".
  std::string source;
};

/// One thing wrong with the settings. All are collected before any is reported.
struct SettingProblem {
  std::string source;
  std::string message;
};

/// Text of all problems, one a line.
std::string describeProblems(const std::vector<SettingProblem>& problems);

/// Parses `text` into the type that `prototype` holds and checks the bounds.
/// Lists are separated by commas. Fails with kSettingsInvalid; the detail says the remedy.
Result<SettingValue> parseSetting(const SettingDescription& description,
                                  const SettingValue& prototype, std::string_view text);

/// Reads a JSON file with one object (comments allowed) into given values. Each problem (missing
/// file, malformed JSON with its line, a value that is no text, number, flag or list) is appended.
std::vector<GivenValue> readSettingsFile(const std::string& path,
                                         std::vector<SettingProblem>& problems);

/// A Markdown table of the settings for the reference page.
std::string referenceTable(const std::vector<SettingDescription>& descriptions);

/// The closest known name to a mistyped one, or an empty text where none is near.
std::string closestName(const std::vector<SettingDescription>& descriptions, std::string_view name);

}  // namespace calicodrift::settings
