#pragma once

/// The roles of calicodrift-bench. Each parses its own settings, prints its result and writes it to
/// the file of --json. Those that measure processes connect to the addresses that they are given
/// and start none.
namespace calicodrift::bench {

int runDecide(int argc, const char* const* argv);
int runMakeTrace(int argc, const char* const* argv);
int runReplay(int argc, const char* const* argv);
int runOverhead(int argc, const char* const* argv);
int runStreams(int argc, const char* const* argv);
int runOverload(int argc, const char* const* argv);
int runClaims(int argc, const char* const* argv);
int runScale(int argc, const char* const* argv);

/// Chooses the role by the first word.
int runBench(int argc, const char* const* argv);

}  // namespace calicodrift::bench
