#include "http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

namespace calicodrift::http {
namespace {

constexpr std::chrono::milliseconds kDefaultRetryAfter{1000};

bool sameName(std::string_view first, std::string_view second) {
  return boost::beast::iequals({first.data(), first.size()}, {second.data(), second.size()});
}

std::chrono::milliseconds retryDelay(const Error& error) {
  return error.retryAfter.value_or(kDefaultRetryAfter);
}

}  // namespace

void HeaderList::set(std::string_view name, std::string value) {
  for (Header& header : headers_) {
    if (sameName(header.name, name)) {
      header.value = std::move(value);
      return;
    }
  }
  headers_.push_back({std::string(name), std::move(value)});
}

void HeaderList::add(std::string name, std::string value) {
  headers_.push_back({std::move(name), std::move(value)});
}

void HeaderList::erase(std::string_view name) {
  std::erase_if(headers_, [name](const Header& header) { return sameName(header.name, name); });
}

std::optional<std::string> HeaderList::find(std::string_view name) const {
  for (const Header& header : headers_) {
    if (sameName(header.name, name)) {
      return header.value;
    }
  }
  return std::nullopt;
}

std::vector<std::string> HeaderList::findAll(std::string_view name) const {
  std::vector<std::string> values;
  for (const Header& header : headers_) {
    if (sameName(header.name, name)) {
      values.push_back(header.value);
    }
  }
  return values;
}

std::string HeaderList::get(std::string_view name) const {
  return find(name).value_or("");
}

std::string Request::queryValue(std::string_view name) const {
  const std::size_t question = target.find('?');
  if (question == std::string::npos) {
    return "";
  }
  std::string_view rest = std::string_view(target).substr(question + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return std::string(pair.substr(std::min(equals + 1, pair.size())));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return "";
}

bool isHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kNames = {"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [name](std::string_view known) { return sameName(name, known); });
}

Response jsonResponse(unsigned status, std::string body) {
  Response response{status, {}, std::move(body)};
  response.headers.set("Content-Type", "application/json");
  return response;
}

Response textResponse(unsigned status, std::string body) {
  Response response{status, {}, std::move(body)};
  response.headers.set("Content-Type", "text/plain; version=0.0.4");
  return response;
}

std::string errorBody(const Error& error) {
  const ErrorRow& row = errorRow(error.kind);
  boost::json::object detail;
  detail["type"] = row.name;
  detail["message"] = error.detail;
  detail["run"] = toString(row.run);
  detail["retry"] = toString(row.retry);
  detail["remedy"] = row.remedy;
  if (row.retry != RetryAdvice::kNever) {
    detail["retry_after_ms"] = retryDelay(error).count();
  }
  boost::json::object body;
  body["error"] = detail;
  return boost::json::serialize(body);
}

Response errorResponse(const Error& error) {
  const ErrorRow& row = errorRow(error.kind);
  Response response = jsonResponse(row.httpStatus, errorBody(error));
  response.headers.set(kErrorKindHeader, std::string(row.name));
  response.headers.set(kRunHeader, std::string(toString(row.run)));
  if (row.retry != RetryAdvice::kNever) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryDelay(error));
    response.headers.set("Retry-After", std::to_string(seconds.count()));
  }
  return response;
}

}  // namespace calicodrift::http
