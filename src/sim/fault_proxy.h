#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "common/clock.h"
#include "http/server.h"

namespace calicodrift::sim {

/// What the proxy does to the connections through it. Set as a whole by POST /faults with a JSON
/// object; an absent field takes its default.
struct ProxyFaults {
  /// `refuse`: closes open connections and every new one at once.
  bool refuse = false;
  /// `freeze`: accepts, but moves no byte until it is cleared.
  bool freeze = false;
  /// `swallow_requests`, `swallow_answers`: one-way cuts; the bytes vanish, the connection stays
  /// until further bytes would pass.
  bool swallowRequests = false;
  bool swallowAnswers = false;
  /// `delay_ms`: each piece of bytes waits so long, both ways.
  Milliseconds delay{0};
  /// `drop_answers`: so many next connections are closed when their answer begins, after its
  /// effect.
  std::int64_t dropAnswers = 0;
  /// `cut_after_bytes`: a connection is closed after so many bytes of answers; 0 for never.
  std::int64_t cutAfterBytes = 0;
  /// `cross_answers`: so many next pairs of connections get each other's answers.
  std::int64_t crossAnswers = 0;
  /// `only_from`: refusals, freezes and swallowed bytes strike connections from these addresses
  /// only; empty: all.
  std::vector<std::string> onlyFrom;
  /// `duplicate_answers`: so many next pieces of answers are sent twice.
  std::int64_t duplicateAnswers = 0;
};

struct ProxyConnection;

/// TCP proxy in front of one target that injects faults. GET /stats on the control port tells how
/// often each fault struck, so that a run in which none did is seen as such.
class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& context, Endpoint target);
  Result<Endpoint> listen(const Endpoint& endpoint);
  /// Replaces the faults in force.
  void apply(const ProxyFaults& faults);
  Result<Endpoint> listenControl(const Endpoint& endpoint) { return control_.listen(endpoint); }

 private:
  using Connection = std::shared_ptr<ProxyConnection>;

  boost::asio::awaitable<void> handleControl(http::Request& request, http::ResponseWriter& writer);
  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(Connection connection);
  boost::asio::awaitable<void> pumpRequests(Connection connection);
  boost::asio::awaitable<void> pumpAnswers(Connection connection);
  /// Whether faults that strike only some callers strike this one.
  bool strikes(const std::string& source) const;
  /// Waits while the proxy is frozen for this caller, then for the delay.
  boost::asio::awaitable<void> holdBack(Connection connection);
  /// Applies the faults that strike when an answer begins; false if the connection was closed.
  boost::asio::awaitable<bool> beginAnswer(Connection connection);
  static ProxyFaults parseFaults(const std::string& body);
  std::string statsJson() const;

  boost::asio::io_context& context_;
  Endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  http::Server control_;
  ProxyFaults faults_;
  std::list<std::weak_ptr<ProxyConnection>> connections_;
  Connection waitingToCross_;
  std::uint64_t refused_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t cut_ = 0;
  std::uint64_t crossed_ = 0;
  std::uint64_t duplicated_ = 0;
  std::uint64_t swallowedBytes_ = 0;
  std::uint64_t accepted_ = 0;
};

}  // namespace calicodrift::sim
