#include "ctl/policy_commands.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <map>

#include "common/running_statistics.h"
#include "ctl/command_support.h"
#include "http/status.h"

namespace calicodrift::ctl {
namespace {

namespace json = boost::json;
using boost::asio::awaitable;

struct Arm {
  double promptTokens = 0;
  double cachedTokens = 0;
  RunningStatistics hitRatio;
  RunningStatistics firstTokenMs;

  double hitRate() const { return promptTokens > 0 ? cachedTokens / promptTokens : 0; }
};
using Arms = std::map<std::string, Arm>;

RunningStatistics readStatistics(const json::value& value) {
  return {value.at("count").to_number<std::uint64_t>(), value.at("mean").to_number<double>(),
          value.at("squares").to_number<double>()};
}

/// Throws boost::system::system_error or std::out_of_range where the answer has another form.
void addAnswer(const std::string& answer, Arms& arms) {
  const json::value document = json::parse(answer);
  for (const auto& entry : document.as_object()) {
    const json::value& value = entry.value();
    Arm& arm = arms[std::string(entry.key())];
    arm.promptTokens += value.at("prompt_tokens").to_number<double>();
    arm.cachedTokens += value.at("cached_tokens").to_number<double>();
    arm.hitRatio.merge(readStatistics(value.at("hit_ratio")));
    arm.firstTokenMs.merge(readStatistics(value.at("first_token_ms")));
  }
}

std::string toTable(const Arms& arms) {
  constexpr std::size_t kLineBytes = 160;
  std::array<char, kLineBytes> line{};
  std::snprintf(line.data(), line.size(), "%-24s %9s %9s %20s %24s\n", "policy", "requests",
                "hit rate", "of a request, mean", "first token ms, mean");
  std::string table = line.data();
  for (const auto& [policy, arm] : arms) {
    std::snprintf(line.data(), line.size(), "%-24s %9llu %9.4f   %8.4f +- %6.4f %12.1f +- %8.1f\n",
                  policy.c_str(), static_cast<unsigned long long>(arm.hitRatio.count),
                  arm.hitRate(), arm.hitRatio.mean, arm.hitRatio.confidence95(),
                  arm.firstTokenMs.mean, arm.firstTokenMs.confidence95());
    table += line.data();
  }
  return table + "+-: 95% confidence interval of the mean\n";
}

std::string toJson(const Arms& arms) {
  json::object object;
  for (const auto& [policy, arm] : arms) {
    object[policy] = json::object{{"requests", arm.hitRatio.count},
                                  {"hit_rate", arm.hitRate()},
                                  {"hit_ratio_mean", arm.hitRatio.mean},
                                  {"hit_ratio_confidence95", arm.hitRatio.confidence95()},
                                  {"first_token_ms_mean", arm.firstTokenMs.mean},
                                  {"first_token_ms_confidence95", arm.firstTokenMs.confidence95()}};
  }
  return json::serialize(object) + "\n";
}

awaitable<Result<std::string>> getText(http::Client& client, Endpoint router, std::string target) {
  http::Request request;
  request.target = std::move(target);
  const Result<http::Response> response = co_await client.exchange(router, std::move(request));
  if (!response) {
    co_return response.error();
  }
  if (response.value().status != http::kStatusOk) {
    co_return fail(ErrorKind::kProtocolViolation,
                   router.toString() + " answered " + std::to_string(response.value().status));
  }
  co_return response.value().body;
}

awaitable<Result<std::string>> collectReport(http::Client& client, CtlSettings settings) {
  std::vector<std::string> answers;
  for (const Endpoint& router : settings.routers) {
    Result<std::string> answer = co_await getText(client, router, "/admin/policies");
    if (!answer) {
      co_return answer.error();
    }
    answers.push_back(std::move(answer.value()));
  }
  co_return mergedReport(answers, settings.json);
}

awaitable<Result<std::string>> findDecisions(http::Client& client, CtlSettings settings,
                                             std::string requestId) {
  for (const Endpoint& router : settings.routers) {
    const Result<std::string> answer =
        co_await getText(client, router, "/admin/explain?id=" + requestId);
    if (answer && answer.value() != "[]") {
      co_return answer.value() + "\n";
    }
  }
  co_return fail(ErrorKind::kNotFound, "none of the routers remembers the request");
}

}  // namespace

Result<std::string> mergedReport(const std::vector<std::string>& answers, bool asJson) {
  Arms arms;
  try {
    for (const std::string& answer : answers) {
      addAnswer(answer, arms);
    }
  } catch (const std::exception& exception) {
    return fail(ErrorKind::kProtocolViolation,
                std::string("a router's answer has another form: ") + exception.what());
  }
  return asJson ? toJson(arms) : toTable(arms);
}

Result<std::string> policyReport(const CtlSettings& settings) {
  if (settings.routers.empty()) {
    return fail(ErrorKind::kSettingsInvalid, "name the routers with --routers");
  }
  return runToEnd([&](http::Client& client) { return collectReport(client, settings); });
}

Result<std::string> explainRequest(const CtlSettings& settings, const std::string& requestId) {
  if (settings.routers.empty() || requestId.empty()) {
    return fail(ErrorKind::kSettingsInvalid, "name the routers with --routers, and the request");
  }
  return runToEnd([&](http::Client& client) { return findDecisions(client, settings, requestId); });
}

}  // namespace calicodrift::ctl
