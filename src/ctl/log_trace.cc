#include "ctl/log_trace.h"

#include <algorithm>
#include <sstream>

#include "ctl/command_support.h"

namespace calicodrift::ctl {
namespace {

/// Value of `name="…"` in a log line; empty where absent.
std::string fieldOf(const std::string& line, const std::string& name) {
  const std::string mark = " " + name + "=\"";
  const std::size_t begin = line.find(mark);
  if (begin == std::string::npos) {
    return "";
  }
  std::string value;
  for (std::size_t at = begin + mark.size(); at < line.size() && line[at] != '"'; ++at) {
    at += line[at] == '\\' ? 1 : 0;
    value.push_back(line[at]);
  }
  return value;
}

/// The event stands behind time, process and level.
std::string eventOf(const std::string& line) {
  std::istringstream words(line);
  std::string word;
  constexpr int kEventWord = 4;
  for (int index = 0; index < kEventWord; ++index) {
    words >> word;
  }
  return word;
}

std::string causeOf(const std::string& last) {
  const std::string event = eventOf(last);
  if (event == "request_answered") {
    return "answered with status " + fieldOf(last, "status") + " by " + fieldOf(last, "server");
  }
  const std::string detail = fieldOf(last, "detail");
  return event + (fieldOf(last, "cause").empty() ? "" : ": " + fieldOf(last, "cause")) +
         (detail.empty() ? "" : " (" + detail + ")");
}

}  // namespace

Result<std::string> traceRequest(const std::vector<std::string>& logs,
                                 const std::string& requestId) {
  std::vector<std::string> found;
  for (const std::string& log : logs) {
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line)) {
      if (fieldOf(line, "id") == requestId) {
        found.push_back(line);
      }
    }
  }
  if (found.empty()) {
    return fail(ErrorKind::kNotFound, "no line names request '" + requestId + "'");
  }
  // Lines begin with their time in a form that sorts as text.
  std::stable_sort(found.begin(), found.end());
  std::string text;
  for (const std::string& line : found) {
    text += line + "\n";
  }
  return text + "cause: " + causeOf(found.back()) + "\n";
}

Result<std::string> traceRequestInFiles(const std::string& requestId,
                                        const std::vector<std::string>& files) {
  if (requestId.empty() || files.empty()) {
    return fail(ErrorKind::kSettingsInvalid, "use: trace REQUEST_ID FILE...");
  }
  std::vector<std::string> logs;
  for (const std::string& file : files) {
    Result<std::string> text = readFile(file);
    if (!text) {
      return text.error();
    }
    logs.push_back(std::move(text.value()));
  }
  return traceRequest(logs, requestId);
}

}  // namespace calicodrift::ctl
