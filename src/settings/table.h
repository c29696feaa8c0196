#pragma once

#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "settings/command_line.h"
#include "settings/setting.h"

namespace calicodrift::settings {

/// Where a row's value goes: a member of the program's settings struct.
template <typename Settings>
using SettingMember =
    std::variant<std::string Settings::*, std::int64_t Settings::*, double Settings::*,
                 bool Settings::*, Milliseconds Settings::*, Endpoint Settings::*,
                 std::vector<Endpoint> Settings::*, std::vector<std::string> Settings::*>;

/// One row of a program's settings table.
template <typename Settings>
struct SettingRow {
  SettingDescription description;
  SettingMember<Settings> member;
};

template <typename Settings>
using SettingsTable = std::vector<SettingRow<Settings>>;

template <typename Settings>
std::vector<SettingDescription> descriptionsOf(const SettingsTable<Settings>& table) {
  std::vector<SettingDescription> descriptions;
  for (const SettingRow<Settings>& row : table) {
    descriptions.push_back(row.description);
  }
  return descriptions;
}

/// Writes one given text into `settings`; a failure is appended to `problems`.
template <typename Settings>
void applyRow(const SettingRow<Settings>& row, const GivenValue& given, Settings& settings,
              std::vector<SettingProblem>& problems) {
  std::visit(
      [&](auto member) {
        using Value = std::remove_reference_t<decltype(settings.*member)>;
        const SettingValue prototype{Value{}};
        Result<SettingValue> parsed = parseSetting(row.description, prototype, given.text);
        if (parsed) {
          settings.*member = std::get<Value>(parsed.value());
        } else {
          problems.push_back({given.source, parsed.error().detail});
        }
      },
      row.member);
}

/// Applies all given values in order; unknown names become problems with the nearest known name.
template <typename Settings>
void applyAll(const SettingsTable<Settings>& table, const std::vector<GivenValue>& given,
              Settings& settings, std::vector<SettingProblem>& problems) {
  for (const GivenValue& value : given) {
    const SettingRow<Settings>* found = nullptr;
    for (const SettingRow<Settings>& row : table) {
      if (row.description.name == value.name) {
        found = &row;
      }
    }
    if (found != nullptr) {
      applyRow(*found, value, settings, problems);
      continue;
    }
    const std::string closest = closestName(descriptionsOf(table), value.name);
    std::string message = "unknown setting '" + value.name + "'";
    message += closest.empty() ? "; see --help" : "; did you mean '" + closest + "'?";
    problems.push_back({value.source, message});
  }
}

/// Settings with every default of the table.
template <typename Settings>
Settings defaultSettings(const SettingsTable<Settings>& table) {
  Settings settings;
  std::vector<SettingProblem> problems;
  for (const SettingRow<Settings>& row : table) {
    if (!row.description.defaultText.empty()) {
      const GivenValue given{row.description.name, row.description.defaultText, "default"};
      applyRow(row, given, settings, problems);
    }
  }
  return settings;
}

/// A program's settings and the words of its command line.
template <typename Settings>
struct LoadedSettings {
  Settings settings;
  std::vector<std::string> words;
};

/// Defaults, then the file, then the flags. Exits with kExitUsage after naming every problem at
/// once, and with kExitSuccess after --help, --version, --check-settings or --settings-reference.
template <typename Settings>
LoadedSettings<Settings> loadOrExit(int argc, const char* const* argv, const std::string& summary,
                                    const SettingsTable<Settings>& table,
                                    WordsAllowed wordsAllowed = WordsAllowed::kNo) {
  const std::vector<SettingDescription> descriptions = descriptionsOf(table);
  const CommandLine line = parseCommandLine(argc, argv, summary, descriptions, wordsAllowed);
  if (line.printReference) {
    std::cout << referenceTable(descriptions);
    std::exit(kExitSuccess);
  }
  LoadedSettings<Settings> loaded{defaultSettings(table), line.words};
  std::vector<SettingProblem> problems;
  if (!line.settingsFile.empty()) {
    applyAll(table, readSettingsFile(line.settingsFile, problems), loaded.settings, problems);
  }
  applyAll(table, line.flags, loaded.settings, problems);
  if (!problems.empty()) {
    std::cerr << describeProblems(problems);
    std::exit(kExitUsage);
  }
  if (line.checkOnly) {
    std::cout << line.settingsFile << ": all settings are valid\n";
    std::exit(kExitSuccess);
  }
  return loaded;
}

}  // namespace calicodrift::settings
