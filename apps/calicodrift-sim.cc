// Stand-ins of the systems around calicodrift: engine, ordinary service, platform.
#include "sim/programs.h"

int main(int argc, char** argv) {
  return calicodrift::sim::runSim(argc, argv);
}
