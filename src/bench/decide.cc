#include "bench/programs.h"

namespace calicodrift::bench {

int runDecide(int /*argc*/, const char* const* /*argv*/) {
  return 1;
}

}  // namespace calicodrift::bench
