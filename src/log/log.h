#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Structured log lines over Boost.Log. Counters come first: a line is written only for a change of
/// state, never per request.
namespace calicodrift::log {

enum class Level { kInfo, kWarning, kError };

/// One named value of a line.
struct Field {
  std::string_view name;
  std::string value;
};

/// Sends all lines to standard error as `time level process event key="value" …`.
/// @param process name that stands in each line, as the node's id.
void initialize(std::string_view process);

/// Drops all lines, for programs that run very many nodes.
void silence();

/// Writes one line. `event` is a stable snake_case name such as `backend_left`.
void write(Level level, std::string_view event, const std::vector<Field>& fields);

}  // namespace calicodrift::log
