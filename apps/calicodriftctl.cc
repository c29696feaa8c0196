// The operator's command line.
#include "ctl/program.h"

int main(int argc, char** argv) {
  return calicodrift::ctl::runCtl(argc, argv);
}
