#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http/server.h"

namespace calicodrift::testing {

/// Stand-in of one of the platform's servers: runs requests with a seal, streams events, reports,
/// and takes fenced orders. What it does with a request can be replaced by a test.
class ServerStandIn {
 public:
  using Behaviour = std::function<boost::asio::awaitable<void>(const http::Request& request,
                                                               http::ResponseWriter& writer)>;

  /// @param model empty for a server without one.
  ServerStandIn(boost::asio::io_context& context, std::string id, std::string service,
                std::string model = "", std::string version = "v1");

  const std::string& id() const { return id_; }
  const Endpoint& endpoint() const { return endpoint_; }
  /// The server's own entry in the store.
  boost::json::value entry(const std::string& state = "ready") const;
  void setBehaviour(Behaviour behaviour) { behaviour_ = std::move(behaviour); }

  /// How a server comes back.
  struct Restart {
    /// Weights that it holds from its start on.
    std::uint64_t weights = 1;
    /// Unix milliseconds of the start; the present, or one more than before, where it isn't given.
    std::optional<std::uint64_t> born = std::nullopt;
    /// Whether it gets another address.
    bool moves = false;
  };
  /// The process ends and starts again under the same id: what runs is cut, orders under way and
  /// fences are gone and the count of orders starts anew. The store's entry stays as it is until
  /// the caller writes entry() there, so that news of both starts can come in any order.
  void restart(const Restart& restart);
  /// The process ends: what runs is cut without an answer, and nothing listens at its address.
  void crash();
  bool crashed() const { return server_ == nullptr; }
  /// From now on another listener, at `endpoint`, hands it what comes by handler().
  void moveBehind(const Endpoint& endpoint);
  http::Handler handler();
  /// Unix milliseconds of the start, as the entry and the report tell it; nothing: a server of a
  /// deployment that doesn't tell it.
  std::optional<std::uint64_t> born;
  /// Starts so far, from 1: a behaviour that compares it after a wait knows whether its process
  /// lives.
  unsigned starts() const { return starts_; }
  std::uint64_t orderCount() const { return orderCount_; }

  /// A whole answer that carries the seal.
  static http::Response sealed(const http::Request& request, unsigned status, std::string body);
  /// Proof that the request was not run.
  static http::Response notExecuted(const http::Request& request);
  /// Sends events FIRST to LAST, each with its number as id and data.
  static boost::asio::awaitable<void> streamEvents(const http::Request& request,
                                                   http::ResponseWriter& writer, unsigned first,
                                                   unsigned last);

  /// Requests of callers that came, orders and questions left out.
  const std::vector<http::Request>& arrivals() const { return arrivals_; }
  /// When each of them came.
  const std::vector<MonotonicTime>& arrivalTimes() const { return arrivalTimes_; }
  /// The rate that it takes, a header each, in the heads of all answers, as written here.
  std::vector<std::string> namedLimits;
  /// What all heads say of it leaving, a header each, as written here; its entry in the store stays
  /// as it is.
  std::vector<std::string> leavingNotices;
  /// The refusals in a second that it bears, in the heads of all answers, as written here.
  std::optional<std::string> namedBrittleness;
  /// Slots that its entry tells.
  std::size_t slots = 8;
  /// Requests that it runs at a time; others get 503 without being run. 0: any number.
  std::size_t room = 0;
  /// When it turned requests away for want of room.
  const std::vector<MonotonicTime>& crowdedTimes() const { return crowdedTimes_; }
  /// Requests, questions and orders get 503 without being run, with this as Retry-After, as
  /// written.
  std::optional<std::string> asksForRest;
  struct Refusal {
    http::Request request;
    MonotonicTime at;
  };
  /// What it answered so.
  const std::vector<Refusal>& refusals() const { return refusals_; }
  /// When questions and orders came.
  const std::vector<MonotonicTime>& questionTimes() const { return questionTimes_; }
  const std::vector<boost::json::value>& orders() const { return orders_; }
  std::uint64_t weights() const { return weights_; }
  void setWeights(std::uint64_t weights) { weights_ = weights; }
  /// Called when weights were loaded, to write the entry anew.
  void onLoaded(std::function<void()> listener) { loadedListener_ = std::move(listener); }
  /// The next order's answer is lost, after it was taken.
  void loseNextOrderAnswer() { losesOrderAnswer_ = true; }
  bool healthy = true;
  /// Orders get no answer and have no effect.
  bool ignoresOrders = false;
  /// Orders get no answer and are carried out so long after their arrival, if they fit then.
  std::optional<Milliseconds> ordersLateBy;
  /// Whether such an order also reaches the process that started meanwhile.
  bool lateOrdersOutliveRestart = false;
  Milliseconds loadTime{30};
  /// An order is under way.
  bool busy() const { return busy_; }

 private:
  /// Keeps a writer among those that a restart cuts, for as long as its request is handled.
  class RunningGuard;

  void listen(const Endpoint& endpoint);
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  boost::asio::awaitable<void> answer(http::Request& request, http::ResponseWriter& writer);
  void noteArrival(const http::Request& request);
  boost::asio::awaitable<void> takeOrder(const http::Request& request,
                                         http::ResponseWriter& writer);
  /// Carries an order out if it fits; gives the status of its answer.
  unsigned carryOut(const boost::json::value& order);
  void carryOutLate(boost::json::value order);
  void finishLoad(std::uint64_t weights);

  boost::asio::io_context& context_;
  std::string id_;
  std::string service_;
  std::string model_;
  /// Of its software.
  std::string version_;
  Behaviour behaviour_;
  std::vector<http::Request> arrivals_;
  std::vector<MonotonicTime> arrivalTimes_;
  std::vector<Refusal> refusals_;
  std::vector<MonotonicTime> crowdedTimes_;
  /// Requests that are being run.
  std::size_t runningRequests_ = 0;
  std::vector<MonotonicTime> questionTimes_;
  std::vector<boost::json::value> orders_;
  std::function<void()> loadedListener_;
  std::uint64_t weights_ = 1;
  std::uint64_t orderCount_ = 0;
  std::uint64_t highestFence_ = 0;
  bool busy_ = false;
  bool losesOrderAnswer_ = false;
  unsigned starts_ = 1;
  /// Requests that are being handled. Outlives the stand-in with them.
  std::shared_ptr<std::set<http::ResponseWriter*>> running_ =
      std::make_shared<std::set<http::ResponseWriter*>>();
  std::unique_ptr<http::Server> server_;
  Endpoint endpoint_;
};

}  // namespace calicodrift::testing
