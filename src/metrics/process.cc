#include "metrics/process.h"

#include <unistd.h>

#include <fstream>

namespace calicodrift::metrics {

double residentMemoryBytes() {
  std::ifstream file("/proc/self/statm");
  double totalPages = 0;
  double residentPages = 0;
  file >> totalPages >> residentPages;
  return file ? residentPages * static_cast<double>(::sysconf(_SC_PAGESIZE)) : 0;
}

}  // namespace calicodrift::metrics
