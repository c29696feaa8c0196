#include "sim/object_api_server.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace calicodrift::sim {
namespace {

namespace json = boost::json;
constexpr std::string_view kObjectPrefix = "/api/";

http::Response conflict(const object_api::StoredObject& current) {
  return http::jsonResponse(409, object_api::toJson(current));
}

std::int64_t numberAt(const json::object& object, std::string_view key, std::int64_t absent) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_int64() ? value->get_int64() : absent;
}

std::uint64_t queryNumber(const http::Request& request, std::string_view name) {
  const std::string text = request.queryValue(name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

ObjectApiServer::ObjectApiServer(const boost::asio::any_io_executor& executor,
                                 http::ServerLimits limits, std::size_t historyBound)
    : executor_(executor),
      server_(executor, limits,
              [this](http::Request& request, http::ResponseWriter& writer) {
                return handle(request, writer);
              }),
      historyBound_(historyBound) {}

boost::asio::awaitable<void> ObjectApiServer::handle(http::Request& request,
                                                     http::ResponseWriter& writer) {
  const std::string path(request.path());
  if (path == "/faults") {
    co_await http::respond(writer, setFaults(request.body));
    co_return;
  }
  if (path == "/stats") {
    co_await http::respond(writer, stats());
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
  if (request.queryValue("watch") == "1") {
    co_await serveWatch(request, writer, key);
    co_return;
  }
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
  countRead(key);
  const auto found = objects_.find(key);
  if (found == objects_.end() || found->second.version.value() == 0) {
    return http::errorResponse(fail(ErrorKind::kNotFound, "no object '" + key + "'"));
  }
  return http::jsonResponse(200, object_api::toJson(found->second));
}

http::Response ObjectApiServer::putObject(const std::string& key, const std::string& body) {
  ++writes_;
  Result<object_api::StoredObject> object = object_api::storedObjectFromJson(body);
  if (!object) {
    return http::errorResponse(fail(ErrorKind::kMalformedRequest, object.error().detail));
  }
  object_api::StoredObject& current = objects_[key];
  if (current.version != object.value().version) {
    return conflict(current);
  }
  current = object.value();
  current.version = object_api::ResourceVersion(++lastVersion_);
  history_.push_back(lastVersion_);
  if (history_.size() > historyBound_) {
    compactedVersion_ = history_.front();
    history_.pop_front();
  }
  wakeWatches();
  return http::jsonResponse(200, object_api::toJson(current));
}

void ObjectApiServer::countRead(const std::string& key) {
  ++reads_;
  ++readsOf_[key];
}

http::Response ObjectApiServer::stats() const {
  json::object readsOf;
  for (const auto& [key, reads] : readsOf_) {
    readsOf[key] = reads;
  }
  const json::object stats{{"reads", reads_},
                           {"reads_of", readsOf},
                           {"writes", writes_},
                           {"watches_opened", watchesOpened_},
                           {"watches_open", watches_.size()}};
  return http::jsonResponse(200, json::serialize(stats));
}

std::string ObjectApiServer::changeAfter(const std::string& key,
                                         object_api::ResourceVersion seen) const {
  const auto found = objects_.find(key);
  if (found == objects_.end() || found->second.version <= seen) {
    return "";
  }
  return object_api::toJson(
             object_api::WatchEvent{object_api::WatchEvent::Kind::kModified, found->second}) +
         "\n";
}

void ObjectApiServer::wakeWatches() {
  for (boost::asio::steady_timer* watch : watches_) {
    watch->cancel();
  }
}

boost::asio::awaitable<void> ObjectApiServer::serveWatch(http::Request& request,
                                                         http::ResponseWriter& writer,
                                                         std::string key) {
  object_api::ResourceVersion seen(queryNumber(request, "resourceVersion"));
  const bool fromNow = seen.value() == 0;
  if (fromNow) {
    countRead(key);
  }
  if (!fromNow && seen.value() < compactedVersion_) {
    co_await http::respond(writer, http::textResponse(410, "this version is compacted\n"));
    co_return;
  }
  ++watchesOpened_;
  constexpr std::uint64_t kLongestWatchMs = 300'000;
  const Milliseconds duration(std::min(queryNumber(request, "timeoutMs"), kLongestWatchMs));
  boost::asio::steady_timer timer(executor_, duration);
  watches_.insert(&timer);
  const MonotonicTime end = monotonicNow() + duration;
  writer.onCallerGone([&timer] { timer.cancel(); });
  Result<void> written = co_await writer.startStream(http::jsonResponse(200, ""));
  object_api::WatchEvent bookmark;
  bookmark.object.version = object_api::ResourceVersion(lastVersion_);
  std::string lines = changeAfter(key, seen) + object_api::toJson(bookmark) + "\n";
  while (written) {
    // Nothing is awaited between reading the state and noting how far it was read.
    seen = object_api::ResourceVersion(lastVersion_);
    if (!lines.empty()) {
      written = co_await writer.writeChunk(lines);
    }
    if (!written || writer.callerGone() || faults_.down || monotonicNow() >= end) {
      break;
    }
    lines = changeAfter(key, seen);
    if (lines.empty()) {
      timer.expires_at(end);
      co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      lines = changeAfter(key, seen);
    }
  }
  writer.onCallerGone(nullptr);
  watches_.erase(&timer);
  if (faults_.down) {
    writer.abort();
  } else if (written) {
    const Result<void> ended = co_await writer.endStream();
    static_cast<void>(ended);
  }
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
  wakeWatches();
  return http::jsonResponse(200, "{}");
}

}  // namespace calicodrift::sim
