#include "ctl/program.h"

#include <algorithm>
#include <iostream>

#include "ctl/bundle_commands.h"
#include "ctl/fleet_commands.h"
#include "ctl/log_trace.h"
#include "ctl/policy_commands.h"
#include "ctl/rollout_commands.h"
#include "settings/table.h"

namespace calicodrift::ctl {
namespace {

constexpr std::string_view kSummary =
    "Operator's command line of calicodrift. Commands: "
    "key make | bundle check FILE | bundle diff FILE FILE | bundle sign FILE | "
    "bundle submit FILE | bundle status | engine load-version FILE | node drain | rollout status | "
    "policy report | server notices | "
    "explain REQUEST_ID | trace REQUEST_ID LOG_FILE...";

constexpr std::int64_t kLargestVersion = 1'000'000'000'000;

settings::SettingsTable<CtlSettings> ctlTable() {
  return {
      {{"object-api", "", 0, 0, "", "address of the platform's object API"},
       &CtlSettings::objectApi},
      {{"routers", "", 0, 0, "", "addresses of routers, separated by commas"},
       &CtlSettings::routers},
      {{"signer", "", 0, 0, "", "name of the person who signs"}, &CtlSettings::signer},
      {{"key-file", "", 0, 0, "", "file with the private key"}, &CtlSettings::keyFile},
      {{"output", "", 0, 0, "", "file to write; the input where absent"}, &CtlSettings::output},
      {{"model", "", 0, 0, "", "model whose weights change"}, &CtlSettings::model},
      {{"weights-version", "0", 0, kLargestVersion, "", "version that the model is to load"},
       &CtlSettings::weightsVersion},
      {{"trusted-signers", "", 0, 0, "",
        "NAME=PUBLIC_KEY_HEX of each person who may sign; submit verifies with them"},
       &CtlSettings::trustedSigners},
      {{"required-signatures", "2", 1, 16, "count", "different signers that submit asks for"},
       &CtlSettings::requiredSignatures},
      {{"wait-version", "0", 0, kLargestVersion, "version",
        "bundle status: wait until it is in force on all routers; 0: don't wait"},
       &CtlSettings::waitVersion},
      {{"timeout-ms", "10000", 1, 3'600'000, "ms", "longest wait"}, &CtlSettings::timeout},
      {{"json", "false", 0, 0, "", "print JSON in place of tables"}, &CtlSettings::json},
  };
}

Result<std::string> runCommand(const CtlSettings& settings, const std::vector<std::string>& words) {
  const std::string group = words.empty() ? "" : words[0];
  const std::string action = words.size() > 1 ? words[1] : "";
  const std::string file = words.size() > 2 ? words[2] : "";
  if (group == "key" && action == "make") {
    return makeKey(settings);
  }
  if (group == "bundle" && action == "status") {
    return bundleStatus(settings);
  }
  if (group == "policy" && action == "report") {
    return policyReport(settings);
  }
  if (group == "explain") {
    return explainRequest(settings, action);
  }
  if (group == "trace") {
    const std::size_t first = std::min<std::size_t>(words.size(), 2);
    return traceRequestInFiles(action,
                               {words.begin() + static_cast<std::ptrdiff_t>(first), words.end()});
  }
  if (group == "node" && action == "drain") {
    return drainNode(settings);
  }
  if (group == "rollout" && action == "status") {
    return rolloutStatus(settings);
  }
  if (group == "server" && action == "notices") {
    return serverNotices(settings);
  }
  if (group == "engine" && action == "load-version") {
    return proposeWeights(settings, file);
  }
  const bool known =
      action == "check" || action == "diff" || action == "sign" || action == "submit";
  if (group != "bundle" || !known) {
    return fail(ErrorKind::kSettingsInvalid, "unknown command; see --help");
  }
  if (file.empty()) {
    return fail(ErrorKind::kSettingsInvalid, "name the bundle's file");
  }
  if (action == "diff") {
    const std::string other = words.size() > 3 ? words[3] : "";
    return diffBundles(settings, file, other);
  }
  if (action == "check") {
    return checkBundle(file);
  }
  return action == "sign" ? signBundle(settings, file) : submitBundle(settings, file);
}

}  // namespace

int runCtl(int argc, const char* const* argv) {
  const auto loaded = settings::loadOrExit(argc, argv, std::string(kSummary), ctlTable(),
                                           settings::WordsAllowed::kYes);
  const Result<std::string> outcome = runCommand(loaded.settings, loaded.words);
  if (outcome) {
    std::cout << outcome.value();
    return settings::kExitSuccess;
  }
  const ErrorRow& row = errorRow(outcome.error().kind);
  std::cerr << row.name << ": " << outcome.error().detail << "\n  remedy: " << row.remedy << "\n";
  return row.kind == ErrorKind::kSettingsInvalid ? settings::kExitUsage : settings::kExitFailure;
}

}  // namespace calicodrift::ctl
