#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <functional>
#include <string>
#include <utility>

#include "names.h"
#include "support/scripted_server.h"

namespace calicodrift::testing {

/// Events FIRST to LAST of a stream.
inline std::string events(unsigned first, unsigned last) {
  std::string text;
  for (unsigned number = first; number <= last; ++number) {
    text += "id: " + std::to_string(number) + "\ndata: " + std::to_string(number) + "\n\n";
  }
  return text;
}

/// A server of the platform that answers requests without a length, as its test says, and questions
/// for its report as a sound one does. An answer whose first piece is no head gets one.
class UnframedServer {
 public:
  using Body = std::function<ScriptedAnswer(const http::Request&)>;

  UnframedServer(boost::asio::io_context& context, std::string id, std::string service)
      : id_(std::move(id)),
        service_(std::move(service)),
        server_(context, [this](const auto& request) { return answer(request); }) {}

  void setBody(Body body) { body_ = std::move(body); }
  /// How questions for its report or its health are answered from now on; empty: as by a sound
  /// server.
  void setQuestions(Body questions) { questions_ = std::move(questions); }
  std::size_t runs() const { return runs_; }
  ScriptedServer& server() { return server_; }
  boost::json::value entry() const {
    boost::json::array models;
    if (service_ == "llm") {
      models.push_back(
          boost::json::object{{"name", "m"}, {"version", 1}, {"adapters", boost::json::array{}}});
    }
    return boost::json::object{{"service", service_},
                               {"address", server_.endpoint().toString()},
                               {"zone", "z1"},
                               {"version", "v1"},
                               {"slots", 8},
                               {"state", "ready"},
                               {"cold_remaining_ms", 0},
                               {"models", models},
                               {"call_seq", 0},
                               {"born", born}};
  }
  const std::string& id() const { return id_; }
  /// Unix milliseconds of its start.
  std::uint64_t born = 1'000;
  /// Called when a question for its report has come.
  std::function<void()> onQuestion;

 private:
  ScriptedAnswer answer(const http::Request& request) {
    const bool question = request.path() == platform::kReportPath || request.path() == "/health";
    if (question && questions_) {
      return questions_(request);
    }
    if (request.path() == platform::kReportPath) {
      if (onQuestion) {
        onQuestion();
      }
      const std::string report =
          boost::json::serialize(boost::json::object{{"stage", "combined"},
                                                     {"models", entry().at("models")},
                                                     {"busy", false},
                                                     {"call_seq", 0},
                                                     {"born", born}});
      return {{ScriptedServer::head("Content-Length: " + std::to_string(report.size()) + "\r\n") +
               report}};
    }
    if (request.path() == "/health") {
      return {{ScriptedServer::head("Content-Length: 0\r\nX-Instance-Id: " + id_ + "\r\n")}};
    }
    ++runs_;
    ScriptedAnswer given = body_(request);
    if (!given.pieces.empty() && given.pieces.front().starts_with("HTTP/1.1")) {
      return given;
    }
    given.pieces.insert(
        given.pieces.begin(),
        ScriptedServer::head("X-Request-Id: " + request.headers.get(platform::kRequestId) +
                             "\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"));
    return given;
  }

  std::string id_;
  std::string service_;
  Body body_;
  Body questions_;
  std::size_t runs_ = 0;
  ScriptedServer server_;
};

}  // namespace calicodrift::testing
