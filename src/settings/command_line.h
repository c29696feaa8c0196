#pragma once

#include <string>
#include <vector>

#include "settings/setting.h"

namespace calicodrift::settings {

/// What the flags said, before any value is checked.
struct CommandLine {
  std::vector<GivenValue> flags;
  /// File named by --settings or --check-settings; empty where neither was given.
  std::string settingsFile;
  /// --check-settings: report on the file and exit.
  bool checkOnly = false;
  /// --settings-reference: print the reference table and exit.
  bool printReference = false;
  /// Words after the flags, as `bundle submit FILE`.
  std::vector<std::string> words;
};

/// Whether a program takes words beside its flags.
enum class WordsAllowed { kNo, kYes };

/// Parses the flags with TCLAP: one flag a setting. --help and --version print and exit 0; a
/// malformed line prints the reason with the nearest known flag and exits with kExitUsage.
CommandLine parseCommandLine(int argc, const char* const* argv, const std::string& summary,
                             const std::vector<SettingDescription>& descriptions,
                             WordsAllowed wordsAllowed);

/// Exit codes of all programs.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

}  // namespace calicodrift::settings
