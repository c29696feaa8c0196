// Load, measurement and experiment tool.
#include "bench/programs.h"

int main(int argc, char** argv) {
  return calicodrift::bench::runBench(argc, argv);
}
