#include "platform/object_api.h"

#include <boost/json.hpp>

namespace calicodrift::platform {
namespace {

namespace json = boost::json;

http::ExchangeOptions storeOptions() {
  http::ExchangeOptions options;
  options.connection = http::ConnectionUse::kFresh;
  options.headerTimeout = Milliseconds(5000);
  return options;
}

std::string objectPath(const std::string& kind, const std::string& name) {
  return "/api/" + kind + "/" + name;
}

Error storeError(const http::Response& response) {
  const std::string detail = "the object API answered " + std::to_string(response.status);
  constexpr unsigned kNotFoundStatus = 404;
  constexpr unsigned kConflictStatus = 409;
  if (response.status == kNotFoundStatus) {
    return fail(ErrorKind::kNotFound, detail);
  }
  if (response.status == kConflictStatus) {
    return fail(ErrorKind::kVersionConflict, "the stored version is another one: " + response.body);
  }
  return fail(ErrorKind::kStoreUnavailable, detail);
}

}  // namespace

std::string toJson(const StoredObject& object) {
  json::object metadata{{"name", object.name},
                        {"resourceVersion", std::to_string(object.version.value())}};
  json::object document{{"kind", object.kind}, {"metadata", metadata}, {"spec", object.spec}};
  return json::serialize(document);
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

}  // namespace calicodrift::platform
