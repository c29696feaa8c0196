#include "bench/report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <fstream>
#include <iostream>

namespace calicodrift::bench {

double percentile(std::vector<double>& samples, double fraction) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const double position = std::ceil(fraction * static_cast<double>(samples.size()));
  const auto rank = static_cast<std::size_t>(std::max(position, 1.0));
  return samples[std::min(rank, samples.size()) - 1];
}

bool writeReport(const boost::json::object& result, const std::string& path) {
  const std::string text = boost::json::serialize(result);
  std::cout << text << std::endl;
  if (path.empty()) {
    return true;
  }
  std::ofstream file(path);
  file << text << "\n";
  file.flush();
  if (!file) {
    std::cerr << "cannot write " << path << "\n";
    return false;
  }
  return true;
}

}  // namespace calicodrift::bench
