#include "bench/programs.h"

#include <array>
#include <iostream>
#include <string_view>

#include "settings/command_line.h"

namespace calicodrift::bench {
namespace {

/// One role: its word on the command line and its entry point.
struct Role {
  std::string_view name;
  std::string_view summary;
  int (*run)(int argc, const char* const* argv);
};

constexpr std::array kRoles{
    Role{"decide", "time of one routing decision in a large fleet", runDecide},
    Role{"make-trace", "a trace for the replay", runMakeTrace},
    Role{"replay", "a trace against routing policies, in virtual time", runReplay},
    Role{"overhead", "latency that a router adds to a call of an engine", runOverhead},
    Role{"streams", "many streams at once through one router", runStreams},
    Role{"overload", "admission and fairness at 1x, 1.5x and 3x of capacity, in virtual time",
         runOverload},
    Role{"claims", "cost of claims for not-repeatable requests", runClaims},
    Role{"scale", "cost and speed of the control side over the number of nodes", runScale},
};

void printUsage(std::ostream& output) {
  output << "usage: calicodrift-bench ROLE [flags]; each role has its own --help\n";
  for (const Role& role : kRoles) {
    output << "  " << role.name << ": " << role.summary << "\n";
  }
}

}  // namespace

int runBench(int argc, const char* const* argv) {
  const std::string_view word = argc > 1 ? argv[1] : "";
  for (const Role& role : kRoles) {
    if (role.name == word) {
      return role.run(argc - 1, argv + 1);
    }
  }
  const bool help = word == "--help";
  printUsage(help ? std::cout : std::cerr);
  return help ? settings::kExitSuccess : settings::kExitUsage;
}

}  // namespace calicodrift::bench
