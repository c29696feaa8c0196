#pragma once

namespace calicodrift::router {

/// Entry point of the router node: settings, signals, and the node until it is stopped.
/// SIGTERM and SIGINT begin a planned stop; a second one ends the process at once.
int runNode(int argc, const char* const* argv);

}  // namespace calicodrift::router
