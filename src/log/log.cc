#include "log/log.h"

#include <unistd.h>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include "log/line_budget.h"
#include "log/pipe_writer.h"

namespace calicodrift::log {
namespace {

namespace expressions = boost::log::expressions;
namespace sinks = boost::log::sinks;
using Logger = boost::log::sources::severity_logger_mt<Level>;

/// Hands formatted lines to a PipeWriter.
class PipeBackend : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding> {
 public:
  explicit PipeBackend(int descriptor) : writer_(descriptor) {}
  void consume(const boost::log::record_view& /*record*/, const std::string& line) {
    writer_.write(line + "\n");
  }

 private:
  PipeWriter writer_;
};

Logger& logger() {
  static Logger instance;
  return instance;
}

LineBudget& budget() {
  static LineBudget instance;
  return instance;
}

std::string_view toText(Level level) {
  switch (level) {
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "error";
}

void appendField(std::string& line, std::string_view name, std::string_view value) {
  line += " ";
  line += name;
  line += "=\"";
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      line.push_back('\\');
    }
    line.push_back(character == '\n' ? ' ' : character);
  }
  line += "\"";
}

}  // namespace

void silence() {
  boost::log::core::get()->set_logging_enabled(false);
}

void initialize(std::string_view process, Output output) {
  boost::log::add_common_attributes();
  boost::log::core::get()->add_global_attribute(
      "Process", boost::log::attributes::constant<std::string>(std::string(process)));
  const int descriptor = output == Output::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  auto sink = boost::make_shared<sinks::synchronous_sink<PipeBackend>>(
      boost::make_shared<PipeBackend>(descriptor));
  sink->set_formatter(expressions::stream
                      << expressions::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                      << " " << expressions::attr<std::string>("Process") << " "
                      << expressions::smessage);
  boost::log::core::get()->add_sink(sink);
}

void write(Level level, std::string_view event, const std::vector<Field>& fields) {
  if (!boost::log::core::get()->get_logging_enabled() || !budget().tryTake(event, monotonicNow())) {
    return;
  }
  std::string line(toText(level));
  line += " ";
  line += event;
  for (const Field& field : fields) {
    appendField(line, field.name, field.value);
  }
  if (const std::uint64_t suppressed = budget().takeSuppressed(event); suppressed > 0) {
    appendField(line, "suppressed", std::to_string(suppressed));
  }
  BOOST_LOG_SEV(logger(), level) << line;
}

}  // namespace calicodrift::log
