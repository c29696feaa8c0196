#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace calicodrift::bench {

/// The value below which `fraction` (0 to 1) of the samples lie; 0 where there are none.
/// Sorts `samples`.
double percentile(std::vector<double>& samples, double fraction);

/// Prints the result as one line of JSON, and writes it to `path` unless that is empty.
/// @return whether the file could be written.
bool writeReport(const boost::json::object& result, const std::string& path);

}  // namespace calicodrift::bench
