// The router node.
#include "router/program.h"

int main(int argc, char** argv) {
  return calicodrift::router::runNode(argc, argv);
}
