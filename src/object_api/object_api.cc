#include "object_api/object_api.h"

#include <boost/json.hpp>

namespace calicodrift::object_api {
namespace {

namespace json = boost::json;

http::ExchangeOptions storeOptions() {
  http::ExchangeOptions options;
  options.connection = http::ConnectionUse::kFresh;
  options.headerTimeout = Milliseconds(5000);
  // JSON that ends early cannot be read.
  options.unframedBody = http::UnframedBody::kAccept;
  return options;
}

std::string objectPath(const std::string& kind, const std::string& name) {
  return "/api/" + kind + "/" + name;
}

Error storeError(const http::Response& response) {
  const std::string detail = "the object API answered " + std::to_string(response.status);
  constexpr unsigned kNotFoundStatus = 404;
  constexpr unsigned kConflictStatus = 409;
  constexpr unsigned kGoneStatus = 410;
  if (response.status == kNotFoundStatus) {
    return fail(ErrorKind::kNotFound, detail);
  }
  if (response.status == kConflictStatus) {
    return fail(ErrorKind::kVersionConflict, "the stored version is another one: " + response.body);
  }
  if (response.status == kGoneStatus) {
    return fail(ErrorKind::kVersionConflict, "the store's history no longer reaches back so far");
  }
  return fail(ErrorKind::kStoreUnavailable, detail);
}

json::object toObject(const StoredObject& object) {
  json::object metadata{{"name", object.name},
                        {"resourceVersion", std::to_string(object.version.value())}};
  return json::object{{"kind", object.kind}, {"metadata", metadata}, {"spec", object.spec}};
}

constexpr std::string_view kModifiedType = "MODIFIED";
constexpr std::string_view kBookmarkType = "BOOKMARK";

}  // namespace

std::string toJson(const StoredObject& object) {
  return json::serialize(toObject(object));
}

std::string toJson(const WatchEvent& event) {
  const bool modified = event.kind == WatchEvent::Kind::kModified;
  const json::object document{{"type", modified ? kModifiedType : kBookmarkType},
                              {"object", toObject(event.object)}};
  return json::serialize(document);
}

Result<WatchEvent> watchEventFromJson(std::string_view text) {
  json::error_code code;
  const json::value document = json::parse(text, code);
  const json::object* fields = code ? nullptr : document.if_object();
  const json::value* type = fields == nullptr ? nullptr : fields->if_contains("type");
  const json::value* object = fields == nullptr ? nullptr : fields->if_contains("object");
  const bool known = type != nullptr && type->is_string() &&
                     (type->get_string() == kModifiedType || type->get_string() == kBookmarkType);
  if (!known || object == nullptr) {
    return fail(ErrorKind::kProtocolViolation, "a watch event lacks its type or object");
  }
  Result<StoredObject> stored = storedObjectFromJson(json::serialize(*object));
  if (!stored) {
    return stored.error();
  }
  const bool modified = type->get_string() == kModifiedType;
  return WatchEvent{modified ? WatchEvent::Kind::kModified : WatchEvent::Kind::kBookmark,
                    std::move(stored.value())};
}

Result<StoredObject> storedObjectFromJson(std::string_view text) {
  json::error_code code;
  const json::value document = json::parse(text, code);
  if (code) {
    return fail(ErrorKind::kProtocolViolation, "the object is not JSON: " + code.message());
  }
  try {
    StoredObject object;
    object.kind = json::value_to<std::string>(document.at("kind"));
    object.name = json::value_to<std::string>(document.at("metadata").at("name"));
    const auto version = json::value_to<std::string>(document.at("metadata").at("resourceVersion"));
    object.version = ResourceVersion(version.empty() ? 0 : std::stoull(version));
    object.spec = json::value_to<std::string>(document.at("spec"));
    return object;
  } catch (const std::exception& exception) {
    return fail(ErrorKind::kProtocolViolation,
                std::string("the object lacks kind, metadata or spec: ") + exception.what());
  }
}

ObjectApiClient::ObjectApiClient(http::Client& client, Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

boost::asio::awaitable<Result<StoredObject>> ObjectApiClient::get(std::string kind,
                                                                  std::string name) {
  http::Request request;
  request.target = objectPath(kind, name);
  Result<http::Response> response = co_await client_.exchange(endpoint_, request, storeOptions());
  if (!response) {
    co_return fail(ErrorKind::kStoreUnavailable, response.error().detail);
  }
  if (response.value().status != 200) {
    co_return storeError(response.value());
  }
  co_return storedObjectFromJson(response.value().body);
}

boost::asio::awaitable<Result<StoredObject>> ObjectApiClient::put(StoredObject object) {
  http::Request request;
  request.method = "PUT";
  request.target = objectPath(object.kind, object.name);
  request.body = toJson(object);
  Result<http::Response> response = co_await client_.exchange(endpoint_, request, storeOptions());
  if (!response) {
    const bool notSent = response.error().kind == ErrorKind::kConnectFailed;
    co_return fail(notSent ? ErrorKind::kStoreUnavailable : ErrorKind::kOutcomeUnknown,
                   response.error().detail);
  }
  if (response.value().status != 200) {
    co_return storeError(response.value());
  }
  co_return storedObjectFromJson(response.value().body);
}

boost::asio::awaitable<Result<std::unique_ptr<ObjectWatch>>> ObjectApiClient::watch(
    std::string kind, std::string name, ResourceVersion since, Milliseconds duration) {
  http::Request request;
  request.target = objectPath(kind, name) +
                   "?watch=1&resourceVersion=" + std::to_string(since.value()) +
                   "&timeoutMs=" + std::to_string(duration.count());
  http::ExchangeOptions options = storeOptions();
  options.bodyTimeout = duration + options.headerTimeout;
  auto opened = co_await client_.open(endpoint_, request, options);
  if (!opened) {
    co_return fail(ErrorKind::kStoreUnavailable, opened.error().detail);
  }
  if (opened.value()->head().status != 200) {
    co_return storeError(opened.value()->head());
  }
  co_return std::make_unique<ObjectWatch>(std::move(opened.value()));
}

boost::asio::awaitable<Result<std::optional<WatchEvent>>> ObjectWatch::next() {
  for (;;) {
    const std::size_t end = buffer_.find('\n');
    if (end != std::string::npos) {
      const std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      Result<WatchEvent> event = watchEventFromJson(line);
      if (!event) {
        co_return event.error();
      }
      co_return std::optional<WatchEvent>(std::move(event.value()));
    }
    Result<http::BodyPiece> piece = co_await stream_->read();
    if (!piece) {
      co_return fail(ErrorKind::kStoreUnavailable, piece.error().detail);
    }
    if (piece.value().end) {
      // A line without its end is dropped, however the watch ended: it comes again in the next one.
      co_return std::optional<WatchEvent>();
    }
    buffer_ += piece.value().bytes;
  }
}

}  // namespace calicodrift::object_api
