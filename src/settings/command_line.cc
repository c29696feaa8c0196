#include "settings/command_line.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace calicodrift::settings {
namespace {

using TextFlag = TCLAP::ValueArg<std::string>;

std::string flagHelp(const SettingDescription& row) {
  std::string help = row.description;
  if (row.maximum > 0) {
    help += " [" + std::to_string(row.minimum) + " to " + std::to_string(row.maximum) + " " +
            row.unit + "]";
  }
  return help + " (default: " + (row.defaultText.empty() ? "none" : row.defaultText) + ")";
}

/// "--listn=1" gives "listn".
std::string flagName(const std::string& word) {
  const std::size_t end = std::min(word.find('='), word.size());
  return word.substr(2, end - 2);
}

[[noreturn]] void exitWithUsage(const std::string& reason, int argc, const char* const* argv,
                                const std::vector<SettingDescription>& descriptions) {
  std::cerr << argv[0] << ": " << reason << "\n";
  for (int index = 1; index < argc; ++index) {
    const std::string word = argv[index];
    if (!word.starts_with("--")) {
      continue;
    }
    const std::string name = flagName(word);
    const std::string closest = closestName(descriptions, name);
    if (!closest.empty() && closest != name) {
      std::cerr << "  '--" << name << "' is unknown; did you mean '--" << closest << "'?\n";
    }
  }
  std::cerr << "  see " << argv[0] << " --help\n";
  std::exit(kExitUsage);
}

}  // namespace

CommandLine parseCommandLine(int argc, const char* const* argv, const std::string& summary,
                             const std::vector<SettingDescription>& descriptions,
                             WordsAllowed wordsAllowed) {
  TCLAP::CmdLine parser(summary, ' ', CALICODRIFT_VERSION);
  parser.setExceptionHandling(false);
  std::vector<std::unique_ptr<TextFlag>> flags;
  for (const SettingDescription& row : descriptions) {
    flags.push_back(std::make_unique<TextFlag>("", row.name, flagHelp(row), false, "", "value"));
    parser.add(*flags.back());
  }
  TextFlag settingsFlag("", "settings", "file with settings; flags go before it", false, "", "file",
                        parser);
  TextFlag checkFlag("", "check-settings", "check a settings file and exit", false, "", "file",
                     parser);
  TCLAP::SwitchArg referenceFlag("", "settings-reference", "print the table of settings and exit",
                                 parser);
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> words;
  if (wordsAllowed == WordsAllowed::kYes) {
    words = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
        "command", "what to do, as the summary lists", false, "word", parser);
  }
  try {
    parser.parse(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    std::exit(exit.getExitStatus());
  } catch (const TCLAP::ArgException& exception) {
    exitWithUsage(exception.error() + " " + exception.argId(), argc, argv, descriptions);
  }
  CommandLine line;
  for (const auto& flag : flags) {
    if (flag->isSet()) {
      line.flags.push_back({flag->getName(), flag->getValue(), "flag --" + flag->getName()});
    }
  }
  line.checkOnly = checkFlag.isSet();
  line.settingsFile = line.checkOnly ? checkFlag.getValue() : settingsFlag.getValue();
  line.printReference = referenceFlag.getValue();
  if (words) {
    line.words = words->getValue();
  }
  return line;
}

}  // namespace calicodrift::settings
