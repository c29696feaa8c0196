#include "sim/object_api_server.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace calicodrift::sim {
namespace {

namespace json = boost::json;
constexpr std::string_view kObjectPrefix = "/api/";

http::Response conflict(const platform::StoredObject& current) {
  return http::jsonResponse(409, platform::toJson(current));
}

std::int64_t numberAt(const json::object& object, std::string_view key, std::int64_t absent) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_int64() ? value->get_int64() : absent;
}

}  // namespace

ObjectApiServer::ObjectApiServer(const boost::asio::any_io_executor& executor,
                                 http::ServerLimits limits)
    : executor_(executor),
      server_(executor, limits, [this](http::Request& request, http::ResponseWriter& writer) {
        return handle(request, writer);
      }) {}

boost::asio::awaitable<void> ObjectApiServer::handle(http::Request& request,
                                                     http::ResponseWriter& writer) {
  const std::string path(request.path());
  if (path == "/faults") {
    co_await http::respond(writer, setFaults(request.body));
    co_return;
  }
  if (path == "/stats") {
    const json::object stats{{"reads", reads_}, {"writes", writes_}};
    co_await http::respond(writer, http::jsonResponse(200, json::serialize(stats)));
    co_return;
  }
  if (faults_.delay.count() > 0) {
    boost::asio::steady_timer timer(executor_, faults_.delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  if (faults_.down) {
    writer.abort();
    co_return;
  }
  if (!path.starts_with(kObjectPrefix)) {
    const Error error = fail(ErrorKind::kUnknownRoute, "objects are under /api/KIND/NAME");
    co_await http::respond(writer, http::errorResponse(error));
    co_return;
  }
  const std::string key = path.substr(kObjectPrefix.size());
  http::Response response = request.method == "PUT" ? putObject(key, request.body) : getObject(key);
  const bool lose = request.method == "PUT" && response.status == 200 && faults_.loseAnswers > 0;
  if (lose) {
    --faults_.loseAnswers;
    writer.abort();
    co_return;
  }
  co_await http::respond(writer, std::move(response));
}

http::Response ObjectApiServer::getObject(const std::string& key) {
  ++reads_;
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    return http::errorResponse(fail(ErrorKind::kNotFound, "no object '" + key + "'"));
  }
  return http::jsonResponse(200, platform::toJson(found->second));
}

http::Response ObjectApiServer::putObject(const std::string& key, const std::string& body) {
  ++writes_;
  Result<platform::StoredObject> object = platform::storedObjectFromJson(body);
  if (!object) {
    return http::errorResponse(fail(ErrorKind::kMalformedRequest, object.error().detail));
  }
  platform::StoredObject& current = objects_[key];
  if (current.version != object.value().version) {
    return conflict(current);
  }
  current = object.value();
  current.version = platform::ResourceVersion(++lastVersion_);
  return http::jsonResponse(200, platform::toJson(current));
}

http::Response ObjectApiServer::setFaults(const std::string& body) {
  json::error_code code;
  const json::value document = json::parse(body, code);
  if (code || !document.is_object()) {
    return http::errorResponse(fail(ErrorKind::kMalformedRequest,
                                    "expected {\"down\":BOOL,\"delay_ms\":N,\"lose_answers\":N}"));
  }
  const json::object& object = document.get_object();
  const json::value* down = object.if_contains("down");
  faults_.down = down != nullptr && down->is_bool() && down->get_bool();
  faults_.delay = Milliseconds(numberAt(object, "delay_ms", 0));
  faults_.loseAnswers = numberAt(object, "lose_answers", 0);
  return http::jsonResponse(200, "{}");
}

}  // namespace calicodrift::sim
