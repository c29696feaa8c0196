#include "ctl/rollout_commands.h"

#include <boost/asio.hpp>
#include <iomanip>
#include <optional>
#include <sstream>

#include "ctl/command_support.h"
#include "http/status.h"
#include "service_rollout/metrics.h"

namespace calicodrift::ctl {
namespace {

using boost::asio::awaitable;
constexpr Milliseconds kAnswerTimeout{3000};

/// Reads the text of a label, whose opening quote was read, to its closing one.
std::optional<std::string> quotedText(std::istream& input) {
  std::string text;
  char next = 0;
  while (input.get(next)) {
    if (next == '"') {
      return text;
    }
    if (next == '\\' && input.get(next) && next == 'n') {
      next = '\n';
    }
    text.push_back(next);
  }
  return std::nullopt;
}

/// Reads `{name="text",...} value`.
std::optional<MetricSample> sampleFrom(const std::string& text) {
  std::istringstream input(text);
  MetricSample sample;
  char mark = 0;
  input.get(mark);
  while (mark != '}') {
    std::string name;
    if (!std::getline(input, name, '=') || input.get() != '"') {
      return std::nullopt;
    }
    const std::optional<std::string> value = quotedText(input);
    if (!value || !input.get(mark)) {
      return std::nullopt;
    }
    sample.labels[name] = *value;
  }
  if (!(input >> sample.value)) {
    return std::nullopt;
  }
  return sample;
}

/// By service.
std::map<std::string, std::string> valuesOf(std::string_view page, std::string_view metric) {
  std::map<std::string, std::string> values;
  for (const MetricSample& sample : samplesOf(page, metric)) {
    const auto service = sample.labels.find("service");
    if (service != sample.labels.end()) {
      values[service->second] = sample.value;
    }
  }
  return values;
}

void appendRow(std::ostream& table, const std::vector<std::string>& cells) {
  constexpr int kWidth = 14;
  for (const std::string& cell : cells) {
    table << std::left << std::setw(kWidth) << (cell.empty() ? "-" : cell) << ' ';
  }
  table << "\n";
}

awaitable<Result<std::string>> readPage(http::Client& client, Endpoint node, std::string path) {
  http::Request request;
  request.target = std::move(path);
  http::ExchangeOptions options;
  options.connectTimeout = kAnswerTimeout;
  options.headerTimeout = kAnswerTimeout;
  options.bodyTimeout = kAnswerTimeout;
  Result<http::Response> answer = co_await client.exchange(node, std::move(request), options);
  if (!answer) {
    co_return answer.error();
  }
  if (answer.value().status != http::kStatusOk) {
    co_return fail(ErrorKind::kBackendRefused,
                   "the node answered " + std::to_string(answer.value().status));
  }
  co_return answer.value().body;
}

/// Each node's page as `show` prints it.
awaitable<Result<std::string>> readAll(http::Client& client, std::vector<Endpoint> nodes,
                                       std::string path,
                                       std::string (*show)(std::string_view page)) {
  std::string text;
  std::optional<Error> failure;
  bool answered = false;
  for (const Endpoint& node : nodes) {
    const Result<std::string> page = co_await readPage(client, node, path);
    text += node.toString() + "\n";
    if (page) {
      answered = true;
      text += show(page.value());
    } else {
      failure = page.error();
      text += "unreachable: " + page.error().detail + "\n";
    }
  }
  if (!answered && failure) {
    co_return *failure;
  }
  co_return text;
}

}  // namespace

std::vector<MetricSample> samplesOf(std::string_view page, std::string_view metric) {
  std::vector<MetricSample> samples;
  std::istringstream lines{std::string(page)};
  const std::string start = std::string(metric) + "{";
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(start)) {
      const std::optional<MetricSample> sample = sampleFrom(line.substr(metric.size()));
      if (sample) {
        samples.push_back(*sample);
      }
    }
  }
  return samples;
}

std::string rolloutTable(std::string_view page) {
  const std::vector<MetricSample> services = samplesOf(page, service_rollout::kRolloutInfoMetric);
  if (services.empty()) {
    return "no roll-out\n";
  }
  const auto reached = valuesOf(page, service_rollout::kRolloutReachedMetric);
  const auto exposed = valuesOf(page, service_rollout::kRolloutExposedMetric);
  const auto age = valuesOf(page, service_rollout::kRolloutAgeMetric);
  std::ostringstream table;
  appendRow(table, {"service", "target", "state", "phase", "stable", "candidate", "use", "verdict",
                    "exposed", "reached", "age s"});
  for (const MetricSample& sample : services) {
    const auto label = [&sample](const std::string& name) {
      const auto found = sample.labels.find(name);
      return found == sample.labels.end() ? "" : found->second;
    };
    const std::string service = label("service");
    const auto figure = [&service](const std::map<std::string, std::string>& values) {
      const auto found = values.find(service);
      return found == values.end() ? "" : found->second;
    };
    appendRow(table, {service, label("target"), label("state"), label("phase"), label("stable"),
                      label("candidate"), label("use"), label("verdict"), figure(exposed),
                      figure(reached), figure(age)});
  }
  return table.str();
}

namespace {

Result<std::string> showPages(const CtlSettings& settings, const std::string& path,
                              std::string (*show)(std::string_view page)) {
  if (settings.routers.empty()) {
    return fail(ErrorKind::kSettingsInvalid,
                "give --routers ADDRESS:PORT,... with the nodes' metrics addresses");
  }
  return runToEnd(
      [&](http::Client& client) { return readAll(client, settings.routers, path, show); });
}

}  // namespace

Result<std::string> rolloutStatus(const CtlSettings& settings) {
  return showPages(settings, "/metrics", rolloutTable);
}

Result<std::string> serverNotices(const CtlSettings& settings) {
  return showPages(settings, "/server-limits",
                   [](std::string_view page) { return std::string(page) + "\n"; });
}

}  // namespace calicodrift::ctl
