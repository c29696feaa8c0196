#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Structured log lines over Boost.Log: decisions that touch a request and changes of what the
/// process believes. Lines of each event are bounded (LineBudget) and never wait for a reader
/// (PipeWriter); what was left out is counted in a later line's field `suppressed`.
namespace calicodrift::log {

enum class Level { kInfo, kWarning, kError };

/// One named value of a line.
struct Field {
  std::string_view name;
  std::string value;
};

/// Where lines go.
enum class Output { kStandardOutput, kStandardError };

/// Sends all lines to `output` as `time process level event key="value" …`.
/// @param process name that stands in each line, as the node's id.
void initialize(std::string_view process, Output output = Output::kStandardError);

/// Drops all lines, for programs that run very many nodes.
void silence();

/// Writes one line. `event` is a stable snake_case name such as `backend_left`.
void write(Level level, std::string_view event, const std::vector<Field>& fields);

}  // namespace calicodrift::log
