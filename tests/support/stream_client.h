#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <functional>
#include <string>
#include <vector>

#include "http/sse.h"
#include "openai/completion.h"
#include "sim/answer_text.h"
#include "support/fleet.h"

namespace calicodrift::testing {

/// What one caller saw of a streamed answer.
struct StreamAnswer {
  unsigned status = 0;
  std::string backend;
  std::string requestId;
  /// Version of the weights that the answer's head names.
  std::string weights;
  /// Ids of the token events, in order of arrival.
  std::vector<std::string> ids;
  std::string text;
  std::size_t cachedTokens = 0;
  /// The closing event came, and then the end of the body.
  bool done = false;
  bool ended = false;
  /// Body of an error answer, or data of an error event.
  std::string error;

  /// Whether it holds each token from `from` up to `to` once, in order, and the closing event.
  bool isWhole(const std::string& prompt, std::size_t from, std::size_t to) const {
    bool inOrder = ids.size() == to - from;
    for (std::size_t index = 0; inOrder && index < ids.size(); ++index) {
      inOrder = ids[index] == requestId + "/w" + weights + "/" + std::to_string(from + index);
    }
    return status == 200 && done && ended && inOrder && text == sim::answerText(prompt, from, to);
  }
};

/// Called after each event with what has come so far; false makes the caller leave.
using OnEvent = std::function<bool(const StreamAnswer&)>;

/// Sends all requests at once, from as many callers, and waits for every answer.
/// In a .cc, as g++ 12 can't link a coroutine that several test files spawn inline.
std::vector<StreamAnswer> streamAll(const Endpoint& endpoint,
                                    const std::vector<http::Request>& requests,
                                    const OnEvent& onEvent = nullptr);

inline StreamAnswer streamOne(const Endpoint& endpoint, const http::Request& request,
                              const OnEvent& onEvent = nullptr) {
  return streamAll(endpoint, {request}, onEvent).front();
}

inline http::Request streamRequest(const std::string& prompt, int tokens) {
  return authorized("POST", "/v1/completions", completionBody(prompt, tokens, true));
}

/// Runs `action` once, at the event that brings token number `count`.
inline OnEvent atToken(std::size_t count, std::function<void(const StreamAnswer&)> action) {
  auto pending = std::make_shared<bool>(true);
  return [count, pending, action = std::move(action)](const StreamAnswer& answer) {
    if (*pending && answer.ids.size() >= count) {
      *pending = false;
      action(answer);
    }
    return true;
  };
}

/// A number of a JSON report, as an engine's /health; -1 where there is none.
inline std::int64_t numberFrom(const Endpoint& endpoint, const std::string& path,
                               const std::string& name) {
  const auto response = get(endpoint, path);
  if (!response) {
    return -1;
  }
  boost::system::error_code code;
  const boost::json::value report = boost::json::parse(response.value().body, code);
  const boost::json::value* value = code ? nullptr : report.as_object().if_contains(name);
  return value != nullptr ? value->to_number<std::int64_t>() : -1;
}

/// Value of one line of /metrics, by its name with labels; 0 where there is none.
inline double metric(const Endpoint& router, const std::string& line) {
  const std::string text = get(router, "/metrics").value().body;
  const std::size_t begin = text.find("\n" + line + " ");
  return begin == std::string::npos ? 0 : std::stod(text.substr(begin + line.size() + 2));
}

}  // namespace calicodrift::testing
