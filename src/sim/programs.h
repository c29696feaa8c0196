#pragma once

/// The roles of calicodrift-sim. Each parses its own settings, prints one line
/// `listening NAME ADDRESS:PORT` for each port once it is ready, and runs until SIGTERM or SIGINT.
namespace calicodrift::sim {

int runEngine(int argc, const char* const* argv);
int runService(int argc, const char* const* argv);
int runWeightStore(int argc, const char* const* argv);
int runPlatform(int argc, const char* const* argv);
int runProxy(int argc, const char* const* argv);
int runHollow(int argc, const char* const* argv);

/// Chooses the role by the first word.
int runSim(int argc, const char* const* argv);

}  // namespace calicodrift::sim
