#include "settings/setting.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

namespace calicodrift::settings {
namespace {

std::optional<double> parseNumber(std::string_view text) {
  double value = 0;
  const auto parsed = std::from_chars(text.begin(), text.end(), value);
  if (parsed.ec != std::errc{} || parsed.ptr != text.end()) {
    return std::nullopt;
  }
  return value;
}

std::vector<std::string> splitList(std::string_view text) {
  std::vector<std::string> items;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t comma = std::min(text.find(',', begin), text.size());
    if (comma > begin) {
      items.emplace_back(text.substr(begin, comma - begin));
    }
    begin = comma + 1;
  }
  return items;
}

Result<double> parseBounded(const SettingDescription& description, std::string_view text) {
  const std::optional<double> value = parseNumber(text);
  const std::string bounds = std::to_string(description.minimum) + " to " +
                             std::to_string(description.maximum) + " " + description.unit;
  if (!value) {
    return fail(ErrorKind::kSettingsInvalid,
                "'" + std::string(text) + "' is not a number; give " + bounds);
  }
  const bool inside = *value >= static_cast<double>(description.minimum) &&
                      *value <= static_cast<double>(description.maximum);
  if (!inside) {
    return fail(ErrorKind::kSettingsInvalid,
                std::string(text) + " is out of bounds; give " + bounds);
  }
  return *value;
}

/// A whole number may be written with a fraction of zero.
Result<std::int64_t> parseWhole(const SettingDescription& description, std::string_view text) {
  const Result<double> value = parseBounded(description, text);
  if (!value) {
    return value.error();
  }
  const auto whole = static_cast<std::int64_t>(value.value());
  if (static_cast<double>(whole) != value.value()) {
    return fail(ErrorKind::kSettingsInvalid,
                "'" + std::string(text) + "' is not a whole number; give " +
                    std::to_string(description.minimum) + " to " +
                    std::to_string(description.maximum) + " " + description.unit);
  }
  return whole;
}

Result<SettingValue> parseEndpoints(std::string_view text) {
  std::vector<Endpoint> endpoints;
  for (const std::string& item : splitList(text)) {
    Result<Endpoint> endpoint = parseEndpoint(item);
    if (!endpoint) {
      return endpoint.error();
    }
    endpoints.push_back(endpoint.value());
  }
  return SettingValue{std::move(endpoints)};
}

/// JSON scalars as the text that a flag would have; lists joined by commas.
std::optional<std::string> scalarText(const boost::json::value& value) {
  if (value.is_string()) {
    return std::string(value.get_string());
  }
  if (value.is_number() || value.is_bool()) {
    return boost::json::serialize(value);
  }
  if (!value.is_array()) {
    return std::nullopt;
  }
  std::string joined;
  for (const boost::json::value& item : value.get_array()) {
    const std::optional<std::string> text = scalarText(item);
    if (!text) {
      return std::nullopt;
    }
    joined += joined.empty() ? "" : ",";
    joined += *text;
  }
  return joined;
}

std::size_t editDistance(std::string_view first, std::string_view second) {
  std::vector<std::size_t> row(second.size() + 1);
  for (std::size_t column = 0; column < row.size(); ++column) {
    row[column] = column;
  }
  for (std::size_t line = 1; line <= first.size(); ++line) {
    std::size_t diagonal = row[0];
    row[0] = line;
    for (std::size_t column = 1; column <= second.size(); ++column) {
      const std::size_t substitution = diagonal + (first[line - 1] == second[column - 1] ? 0 : 1);
      diagonal = row[column];
      row[column] = std::min({substitution, row[column] + 1, row[column - 1] + 1});
    }
  }
  return row.back();
}

std::size_t lineOf(const std::string& text, std::size_t offset) {
  const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
  return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

}  // namespace

std::string describeProblems(const std::vector<SettingProblem>& problems) {
  std::string text;
  for (const SettingProblem& problem : problems) {
    text += problem.source + ": " + problem.message + "\n";
  }
  return text;
}

Result<SettingValue> parseSetting(const SettingDescription& description,
                                  const SettingValue& prototype, std::string_view text) {
  if (std::holds_alternative<std::string>(prototype)) {
    return SettingValue{std::string(text)};
  }
  if (std::holds_alternative<std::vector<std::string>>(prototype)) {
    return SettingValue{splitList(text)};
  }
  if (std::holds_alternative<std::vector<Endpoint>>(prototype)) {
    return parseEndpoints(text);
  }
  if (std::holds_alternative<Endpoint>(prototype)) {
    Result<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint) {
      return endpoint.error();
    }
    return SettingValue{endpoint.value()};
  }
  if (std::holds_alternative<bool>(prototype)) {
    if (text != "true" && text != "false") {
      return fail(ErrorKind::kSettingsInvalid,
                  "'" + std::string(text) + "' is neither true nor false");
    }
    return SettingValue{text == "true"};
  }
  if (std::holds_alternative<double>(prototype)) {
    Result<double> number = parseBounded(description, text);
    if (!number) {
      return number.error();
    }
    return SettingValue{number.value()};
  }
  Result<std::int64_t> number = parseWhole(description, text);
  if (!number) {
    return number.error();
  }
  if (std::holds_alternative<Milliseconds>(prototype)) {
    return SettingValue{Milliseconds(number.value())};
  }
  return SettingValue{number.value()};
}

std::vector<GivenValue> readSettingsFile(const std::string& path,
                                         std::vector<SettingProblem>& problems) {
  std::vector<GivenValue> given;
  std::ifstream file(path);
  if (!file) {
    problems.push_back({path, "cannot be opened; check the path and the access rights"});
    return given;
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  boost::json::parse_options options;
  options.allow_comments = true;
  boost::json::stream_parser parser({}, options);
  boost::system::error_code code;
  const std::size_t consumed = parser.write(text, code);
  if (!code) {
    parser.finish(code);
  }
  if (code) {
    const std::string line = std::to_string(lineOf(text, consumed));
    problems.push_back({path + ":" + line, "malformed JSON: " + code.message()});
    return given;
  }
  const boost::json::value document = parser.release();
  if (!document.is_object()) {
    problems.push_back({path, "must hold one JSON object of settings"});
    return given;
  }
  for (const auto& entry : document.get_object()) {
    const std::string name(entry.key());
    std::string source = path;
    source.append(": $.").append(name);
    const std::optional<std::string> value = scalarText(entry.value());
    if (value) {
      given.push_back({name, *value, source});
    } else {
      problems.push_back({source, "must be a text, whole number, true, false or a list of these"});
    }
  }
  return given;
}

std::string referenceTable(const std::vector<SettingDescription>& descriptions) {
  std::ostringstream text;
  text << "| setting | default | bounds | meaning |\n|---|---|---|---|\n";
  for (const SettingDescription& row : descriptions) {
    text << "| `" << row.name << "` | `" << row.defaultText << "` | ";
    if (row.maximum > 0) {
      text << row.minimum << " to " << row.maximum << " " << row.unit;
    }
    text << " | " << row.description << " |\n";
  }
  return text.str();
}

std::string closestName(const std::vector<SettingDescription>& descriptions,
                        std::string_view name) {
  constexpr std::size_t kFarthest = 4;
  std::string best;
  std::size_t bestDistance = kFarthest;
  for (const SettingDescription& row : descriptions) {
    const std::size_t distance = editDistance(row.name, name);
    if (distance < bestDistance) {
      bestDistance = distance;
      best = row.name;
    }
  }
  return best;
}

}  // namespace calicodrift::settings
