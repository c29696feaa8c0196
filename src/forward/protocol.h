#pragma once

#include <optional>

#include "fleet/server.h"
#include "forward/request.h"
#include "forward/server_notices.h"

namespace calicodrift::forward {

/// What callers speak.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;
  /// Fails with kMalformedRequest.
  virtual Result<Request> read(http::Request&& message) const = 0;
  /// The answer for an error, with its run statement and when to come back.
  virtual http::Response refuse(const Error& error) const = 0;
};

/// One dispatch of a request to a server.
struct Dispatch {
  explicit Dispatch(const fleet::Server& target) : server(target) {}

  const fleet::Server& server;
  /// What is left of the caller's time, computed for this dispatch.
  Milliseconds timeLeft{0};
  const routes::Tenant* tenant = nullptr;
  unsigned priority = 0;
  /// Names what cached prompt parts the request may use: the weights version, and the tenant where
  /// it is isolated. Requests with different scopes never share cache.
  std::string cacheScope;
  /// Weights that the server must have to run the request; nothing for requests without a model.
  std::optional<WeightsVersion> weights;
  /// Where the server gets what it lacks of the prompt's cache, and where it saves it.
  std::optional<Endpoint> fetchCacheFrom;
  std::optional<Endpoint> saveCacheTo;
  /// Where the stream goes on; nothing for its beginning.
  std::optional<EventNumber> resumeAfter;
};

/// What the head of an answer says of the request's execution.
enum class AnswerKind {
  /// The server's own answer, success or failure: it has run.
  kAnswered,
  /// Proof that the server did not run the request.
  kNotRun,
  /// Not run, as another server has the address now, or it has other weights than expected.
  kAnotherServer,
  /// No answer to this request, or without proof that it is whole: it may have run.
  kUnproven,
};

/// State of a model server as it reports it.
struct ServerReport {
  /// The run that reports; nothing where it doesn't tell its start.
  std::optional<Incarnation> started;
  std::vector<fleet::LoadedModel> models;
  /// An order is under way.
  bool busy = false;
  /// Orders that it has taken; an order that expects another number has no effect.
  std::uint64_t orderCount = 0;
};

/// An order to load weights. The server refuses it unless the fence is at least the highest it has
/// seen, it is the server named, and it has taken as many orders as expected.
struct WeightsOrder {
  BackendId server;
  ModelId model;
  WeightsVersion weights;
  std::string holder;
  FencingToken fence;
  std::uint64_t expectedOrders = 0;
};

enum class OrderOutcome {
  kTaken,
  kAlreadyHolds,
  /// Another order is under way, or the count of orders differs.
  kConflict,
  /// A higher fence was seen.
  kFenced,
  /// Another server has the address.
  kAnotherServer,
  /// The order is unknown to it.
  kRefused,
};

/// Where a store of kept cache stands in the history of its changes.
struct CacheStoreState {
  /// Changes when the store restarts empty.
  std::uint64_t epoch = 0;
  std::uint64_t nextEvent = 0;
  /// The store's run; nothing where it doesn't tell its start.
  std::optional<Incarnation> started = std::nullopt;
};

/// What servers speak.
class ServerProtocol {
 public:
  virtual ~ServerProtocol() = default;
  virtual http::Request encode(const Request& request, const Dispatch& dispatch) const = 0;
  virtual AnswerKind classify(const Request& request, const http::Response& head) const = 0;
  /// Weights that made the answer, where it says so.
  virtual std::optional<WeightsVersion> weightsOf(const http::Response& head) const = 0;
  /// What the server says of itself in the head.
  virtual ServerNotices noticesOf(const http::Response& head) const = 0;
  /// Whether the head is this server's, so that its notices are of this server. One that answers
  /// for another run or server, or refuses without naming itself as not being the one that was
  /// meant, is not.
  virtual bool speaksFor(const fleet::Server& server, const http::Response& head) const = 0;
  /// Whether the answer's head names another server than this one. One that names none does not.
  virtual bool namesAnother(const fleet::Server& server, const http::Response& head) const = 0;
  virtual http::Request healthQuery(const routes::Service& service) const = 0;
  virtual bool isHealthy(const fleet::Server& server, const http::Response& answer) const = 0;
  virtual http::Request reportQuery(const fleet::Server& server) const = 0;
  /// Fails with kProtocolViolation.
  virtual Result<ServerReport> readReport(const http::Response& answer) const = 0;
  /// Waits for a change behind `since`, up to `wait`: whether the store answers tells that it
  /// lives.
  virtual http::Request cacheStoreQuery(const CacheStoreState& since, Milliseconds wait) const = 0;
  /// Nothing where the store only says that it is asked by too many, or what it says can't be read.
  virtual std::optional<CacheStoreState> readCacheStore(const http::Response& answer) const = 0;
  virtual http::Request encodeOrder(const WeightsOrder& order) const = 0;
  virtual OrderOutcome readOrderAnswer(const http::Response& answer) const = 0;
};

}  // namespace calicodrift::forward
