#include "log/log.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace calicodrift::log {
namespace {

namespace expressions = boost::log::expressions;
using Logger = boost::log::sources::severity_logger_mt<Level>;

Logger& logger() {
  static Logger instance;
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

std::string escaped(std::string_view value) {
  std::string text;
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      text.push_back('\\');
    }
    text.push_back(character == '\n' ? ' ' : character);
  }
  return text;
}

}  // namespace

void silence() {
  boost::log::core::get()->set_logging_enabled(false);
}

void initialize(std::string_view process) {
  boost::log::add_common_attributes();
  boost::log::core::get()->add_global_attribute(
      "Process", boost::log::attributes::constant<std::string>(std::string(process)));
  const auto format = expressions::stream
                      << expressions::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                      << " " << expressions::attr<std::string>("Process") << " "
                      << expressions::smessage;
  boost::log::add_console_log(std::clog, boost::log::keywords::format = format,
                              boost::log::keywords::auto_flush = true);
}

void write(Level level, std::string_view event, const std::vector<Field>& fields) {
  BOOST_LOG_SEV(logger(), level) << toText(level) << " " << event << [&fields] {
    std::string text;
    for (const Field& field : fields) {
      text += " " + std::string(field.name) + "=\"" + escaped(field.value) + "\"";
    }
    return text;
  }();
}

}  // namespace calicodrift::log
