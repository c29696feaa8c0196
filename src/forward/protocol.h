#pragma once

#include <optional>

#include "fleet/server.h"
#include "forward/request.h"
#include "forward/server_notices.h"

namespace calicodrift::forward {

/// Protocol between callers and this node.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;
  /// Parses a request. Fails with kMalformedRequest.
  virtual Result<Request> read(http::Request&& message) const = 0;
  /// Returns the answer for an error, which states whether the request ran and when to retry.
  virtual http::Response refuse(const Error& error) const = 0;
};

/// One dispatch of a request to a server.
struct Dispatch {
  explicit Dispatch(const fleet::Server& target) : server(target) {}

  const fleet::Server& server;
  /// Remaining time until the caller's deadline, as of the send.
  Milliseconds timeLeft{0};
  const routes::Tenant* tenant = nullptr;
  unsigned priority = 0;
  /// Identifies the cached prompt parts that the request may use: the weights version, and the
  /// tenant if it is isolated. Requests with different scopes never share cache.
  std::string cacheScope;
  /// Weights that the server must have to run the request; empty for requests without a model.
  std::optional<WeightsVersion> weights;
  /// Where the server fetches missing cache of the prompt, and where it saves it.
  std::optional<Endpoint> fetchCacheFrom;
  std::optional<Endpoint> saveCacheTo;
  /// Event after which the stream resumes; empty to start at the beginning.
  std::optional<EventNumber> resumeAfter;
};

/// What the head of an answer proves about the execution of the request.
enum class AnswerKind {
  /// The server's own answer, success or failure: the request has run.
  kAnswered,
  /// Proof that the server did not run the request.
  kNotRun,
  /// Not run, because another server has the address now or the server has other weights than
  /// expected.
  kAnotherServer,
  /// Not an answer to this request, or without proof of integrity: the request may have run.
  kUnverified,
};

/// State of a model server, from its own report.
struct ServerReport {
  /// The run that reports; empty if the report doesn't contain its start.
  std::optional<Incarnation> started;
  std::vector<fleet::LoadedModel> models;
  /// Whether an order is in progress.
  bool busy = false;
  /// Count of orders that the server has accepted; an order that expects another count has no
  /// effect.
  std::uint64_t orderCount = 0;
};

/// An order to load weights. The server refuses it unless the fencing token is at least the highest
/// it has seen, the order names this server, and the server has accepted as many orders as
/// expected.
struct WeightsOrder {
  BackendId server;
  ModelId model;
  WeightsVersion weights;
  std::string holder;
  FencingToken fence;
  std::uint64_t expectedOrders = 0;
};

enum class OrderOutcome {
  kAccepted,
  kAlreadyLoaded,
  /// Another order is in progress, or the count of orders differs.
  kConflict,
  /// A higher fencing token was seen.
  kFenced,
  /// Another server has the address.
  kAnotherServer,
  /// Any other answer, for example because the server does not know the order.
  kRefused,
};

/// Position of a cache store in its change history.
struct CacheStoreState {
  /// Changes when the store restarts empty.
  std::uint64_t epoch = 0;
  std::uint64_t nextEvent = 0;
  /// The store's run; empty if it doesn't report its start.
  std::optional<Incarnation> started = std::nullopt;
};

/// Protocol between this node and servers.
class ServerProtocol {
 public:
  virtual ~ServerProtocol() = default;
  virtual http::Request encode(const Request& request, const Dispatch& dispatch) const = 0;
  virtual AnswerKind classify(const Request& request, const http::Response& head) const = 0;
  /// The id of the request that the answer says it is for; empty if it names none.
  virtual std::string requestIdOf(const http::Response& head) const = 0;
  /// Weights that produced the answer, if it says so.
  virtual std::optional<WeightsVersion> weightsOf(const http::Response& head) const = 0;
  /// Notices of the server in the head.
  virtual ServerNotices noticesOf(const http::Response& head) const = 0;
  /// Whether the head comes from this server, so that its notices apply to it. A head does not if
  /// it answers for another run or server, or if it refuses the request as misdirected without
  /// naming its sender.
  virtual bool isFromServer(const fleet::Server& server, const http::Response& head) const = 0;
  /// Whether the answer's head names another server than this one. A head that names none does not.
  virtual bool namesOtherServer(const fleet::Server& server, const http::Response& head) const = 0;
  virtual http::Request healthQuery(const routes::Service& service) const = 0;
  virtual bool isHealthy(const fleet::Server& server, const http::Response& answer) const = 0;
  virtual http::Request reportQuery(const fleet::Server& server) const = 0;
  /// Parses a report. Fails with kProtocolViolation.
  virtual Result<ServerReport> readReport(const http::Response& answer) const = 0;
  /// Waits for a change after `since`, for at most `wait`; any answer shows that the store is
  /// alive.
  virtual http::Request cacheStoreQuery(const CacheStoreState& since, Milliseconds wait) const = 0;
  /// Empty if the store only answers that it is overloaded, or if the answer can't be parsed.
  virtual std::optional<CacheStoreState> readCacheStore(const http::Response& answer) const = 0;
  virtual http::Request encodeOrder(const WeightsOrder& order) const = 0;
  virtual OrderOutcome readOrderAnswer(const http::Response& answer) const = 0;
};

}  // namespace calicodrift::forward
