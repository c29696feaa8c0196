#include "server_stand_in.h"

#include <algorithm>

#include "http/writer_decorator.h"
#include "names.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

std::uint64_t wallMilliseconds() {
  const auto now = std::chrono::duration_cast<Milliseconds>(wallNow().time_since_epoch());
  return static_cast<std::uint64_t>(now.count());
}

}  // namespace

class ServerStandIn::RunningGuard {
 public:
  RunningGuard(std::shared_ptr<std::set<http::ResponseWriter*>> running,
               http::ResponseWriter& writer)
      : running_(std::move(running)), writer_(&writer) {
    running_->insert(writer_);
  }
  ~RunningGuard() { running_->erase(writer_); }
  RunningGuard(const RunningGuard&) = delete;
  RunningGuard& operator=(const RunningGuard&) = delete;

 private:
  std::shared_ptr<std::set<http::ResponseWriter*>> running_;
  http::ResponseWriter* writer_;
};

ServerStandIn::ServerStandIn(asio::io_context& context, std::string id, std::string service,
                             std::string model, std::string version)
    : born(wallMilliseconds()),
      context_(context),
      id_(std::move(id)),
      service_(std::move(service)),
      model_(std::move(model)),
      version_(std::move(version)) {
  listen({"127.0.0.1", 0});
}

void ServerStandIn::listen(const Endpoint& endpoint) {
  server_ =
      std::make_unique<http::Server>(context_.get_executor(), http::ServerLimits{},
                                     [this](http::Request& request, http::ResponseWriter& writer) {
                                       return handle(request, writer);
                                     });
  endpoint_ = server_->listen(endpoint).value();
}

void ServerStandIn::moveBehind(const Endpoint& endpoint) {
  server_.reset();
  endpoint_ = endpoint;
}

http::Handler ServerStandIn::handler() {
  return [this](http::Request& request, http::ResponseWriter& writer) {
    return handle(request, writer);
  };
}

void ServerStandIn::restart(const Restart& restart) {
  for (http::ResponseWriter* writer : *running_) {
    writer->abort();
  }
  if (server_) {
    server_->closeIdle();
  }
  if (restart.moves) {
    listen({"127.0.0.1", 0});
  }
  ++starts_;
  const std::uint64_t next = std::max(born.value_or(0) + 1, wallMilliseconds());
  born = restart.born.value_or(next);
  weights_ = restart.weights;
  orderCount_ = 0;
  highestFence_ = 0;
  busy_ = false;
  losesOrderAnswer_ = false;
}

void ServerStandIn::crash() {
  ++starts_;
  for (http::ResponseWriter* writer : *running_) {
    writer->abort();
  }
  if (server_) {
    server_->closeIdle();
    server_.reset();
  }
}

json::value ServerStandIn::entry(const std::string& state) const {
  json::array models;
  if (!model_.empty()) {
    models.push_back(
        json::object{{"name", model_}, {"version", weights_}, {"adapters", json::array{}}});
  }
  json::object entry;
  entry["service"] = service_;
  entry["address"] = endpoint_.toString();
  entry["zone"] = "z1";
  entry["version"] = version_;
  entry["slots"] = slots;
  entry["state"] = state;
  entry["cold_remaining_ms"] = 0;
  entry["models"] = models;
  entry["call_seq"] = orderCount_;
  if (born) {
    entry["born"] = *born;
  }
  return entry;
}

http::Response ServerStandIn::sealed(const http::Request& request, unsigned status,
                                     std::string body) {
  http::Response response = http::textResponse(status, std::move(body));
  response.headers.set(platform::kRequestId, request.headers.get(platform::kRequestId));
  response.headers.set(platform::kSeal, "seal");
  return response;
}

http::Response ServerStandIn::notExecuted(const http::Request& request) {
  http::Response response = http::textResponse(503, "");
  response.headers.set(platform::kRequestId, request.headers.get(platform::kRequestId));
  response.headers.set(platform::kNotExecuted, "1");
  return response;
}

awaitable<void> ServerStandIn::streamEvents(const http::Request& request,
                                            http::ResponseWriter& writer, unsigned first,
                                            unsigned last) {
  if (!writer.streamStarted()) {
    http::Response head = sealed(request, 200, "");
    head.headers.set("Content-Type", "text/event-stream");
    const Result<void> started = co_await writer.startStream(std::move(head));
    static_cast<void>(started);
  }
  for (unsigned number = first; number <= last; ++number) {
    const std::string event =
        "id: " + std::to_string(number) + "\ndata: " + std::to_string(number) + "\n\n";
    const Result<void> written = co_await writer.writeChunk(event);
    static_cast<void>(written);
  }
}

awaitable<void> ServerStandIn::handle(http::Request& request, http::ResponseWriter& writer) {
  const RunningGuard running(running_, writer);
  http::WriterDecorator naming(writer, [this](http::Response& head) {
    for (const std::string& limit : namedLimits) {
      head.headers.add("Server-Limit", limit);
    }
    if (namedBrittleness) {
      head.headers.add("Server-Brittle", *namedBrittleness);
    }
    for (const std::string& notice : leavingNotices) {
      head.headers.add("Server-Leaving", notice);
    }
  });
  co_await answer(request, naming);
}

awaitable<void> ServerStandIn::answer(http::Request& request, http::ResponseWriter& writer) {
  const std::string expected = request.headers.get(platform::kExpectInstance);
  if (!expected.empty() && expected != id_) {
    http::Response another = http::textResponse(421, "");
    another.headers.set(platform::kRequestId, request.headers.get(platform::kRequestId));
    another.headers.set(platform::kInstance, id_);
    co_await http::respond(writer, std::move(another));
    co_return;
  }
  noteArrival(request);
  if (asksForRest) {
    refusals_.push_back({request, monotonicNow()});
    http::Response refusal = notExecuted(request);
    refusal.headers.set(platform::kInstance, id_);
    refusal.headers.set("Retry-After", *asksForRest);
    co_await http::respond(writer, std::move(refusal));
    co_return;
  }
  if (request.path() == "/health") {
    http::Response answer = http::textResponse(healthy ? 200 : 503, "");
    answer.headers.set(platform::kInstance, id_);
    co_await http::respond(writer, std::move(answer));
    co_return;
  }
  if (request.path() == platform::kReportPath) {
    json::object report{{"stage", "combined"},
                        {"models", entry().at("models")},
                        {"busy", busy_},
                        {"call_seq", orderCount_}};
    if (born) {
      report["born"] = *born;
    }
    co_await http::respond(writer, http::jsonResponse(200, json::serialize(report)));
    co_return;
  }
  if (request.path() == platform::kOrderPath) {
    co_await takeOrder(request, writer);
    co_return;
  }
  if (room > 0 && runningRequests_ >= room) {
    crowdedTimes_.push_back(monotonicNow());
    co_await http::respond(writer, notExecuted(request));
    co_return;
  }
  if (behaviour_) {
    ++runningRequests_;
    co_await behaviour_(request, writer);
    --runningRequests_;
    co_return;
  }
  co_await http::respond(writer, sealed(request, 200, "from " + id_));
}

void ServerStandIn::noteArrival(const http::Request& request) {
  const bool isQuestion = request.path() == "/health" || request.path() == platform::kReportPath ||
                          request.path() == platform::kOrderPath;
  if (isQuestion) {
    questionTimes_.push_back(monotonicNow());
    return;
  }
  arrivals_.push_back(request);
  arrivalTimes_.push_back(monotonicNow());
}

awaitable<void> ServerStandIn::takeOrder(const http::Request& request,
                                         http::ResponseWriter& writer) {
  const json::value order = json::parse(request.body);
  orders_.push_back(order);
  if (ignoresOrders) {
    writer.abort();
    co_return;
  }
  if (ordersLateBy) {
    carryOutLate(order);
    writer.abort();
    co_return;
  }
  const unsigned status = carryOut(order);
  if (std::exchange(losesOrderAnswer_, false)) {
    writer.abort();
    co_return;
  }
  co_await http::respond(writer, http::textResponse(status, ""));
}

unsigned ServerStandIn::carryOut(const json::value& order) {
  const auto fence = order.at("fence").to_number<std::uint64_t>();
  if (fence < highestFence_) {
    return 412;
  }
  highestFence_ = fence;
  if (busy_ || order.at("expected").to_number<std::uint64_t>() != orderCount_) {
    return 409;
  }
  ++orderCount_;
  busy_ = true;
  auto timer = std::make_shared<asio::steady_timer>(context_, loadTime);
  timer->async_wait(
      [this, timer, start = starts_,
       weights = order.at("version").to_number<std::uint64_t>()](boost::system::error_code) {
        if (start == starts_) {
          finishLoad(weights);
        }
      });
  return 202;
}

void ServerStandIn::carryOutLate(json::value order) {
  auto timer = std::make_shared<asio::steady_timer>(context_, *ordersLateBy);
  timer->async_wait(
      [this, timer, start = starts_, order = std::move(order)](boost::system::error_code) {
        if (start == starts_ || lateOrdersOutliveRestart) {
          // Nobody waits for the answer any more.
          static_cast<void>(carryOut(order));
        }
      });
}

void ServerStandIn::finishLoad(std::uint64_t weights) {
  busy_ = false;
  weights_ = weights;
  if (loadedListener_) {
    loadedListener_();
  }
}

}  // namespace calicodrift::testing
