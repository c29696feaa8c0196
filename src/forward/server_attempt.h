#pragma once

#include <boost/asio/awaitable.hpp>
#include <limits>
#include <memory>

#include "forward/answer_end_check.h"
#include "forward/answer_relay.h"
#include "forward/protocol.h"
#include "forward/server_calls.h"
#include "forward/silence_watch.h"

namespace calicodrift::forward {

/// Timeouts of one dispatch.
struct AttemptBounds {
  Milliseconds connectTimeout{0};
  Milliseconds unacknowledgedTimeout{0};
  /// The attempt ends then in any case.
  MonotonicTime deadline{};
  /// How long the server may be silent before the request goes to another one, if it may: before
  /// the head; from there to the first bytes of a stream's body, or to the end of another answer;
  /// and between the events of a stream, or after the last byte until it is known that the answer
  /// is whole.
  Milliseconds startPatience{0};
  Milliseconds begunPatience{0};
  Milliseconds bodyPatience{0};
  /// An answer that is not a stream is held until it is whole, so that another server can still
  /// give it; a longer one is passed on as it arrives.
  std::size_t maxHeldBytes = std::numeric_limits<std::size_t>::max();
};

/// Whether a server's own failure, a 5xx answer with proof that it comes from the server, is
/// delivered, or kept in case no other server succeeds.
enum class FailureUse { kDeliver, kKeep };

/// One dispatch of a request to one server, with its answer relayed to the caller.
class ServerAttempt {
 public:
  /// Whether the request may leave its server for another one now.
  struct Permissions {
    /// Asked if the path to the server is lost.
    server_paths::MovePermission leavePath;
    /// Asked if the server is silent for too long.
    SilenceWatch::Permission leaveSilentServer;
  };

  /// @param purpose a request with a unit of the server's limit, or without one.
  ServerAttempt(const boost::asio::any_io_executor& executor, ServerCalls& calls,
                const ServerProtocol& protocol, AnswerEndCheck& endCheck, AnswerRelay& relay,
                CallPurpose purpose, Permissions permissions,
                std::function<Result<void>()> mayBeSent)
      : calls_(calls),
        protocol_(protocol),
        endCheck_(endCheck),
        relay_(relay),
        purpose_(purpose),
        leavePath_(recordingGrant(std::move(permissions.leavePath))),
        silence_(executor, std::move(permissions.leaveSilentServer), [this] { cancel(); }),
        mayBeSent_(std::move(mayBeSent)) {}

  /// Succeeds once the caller has the whole answer. kConnectFailed, kBackendRefused and kFenced
  /// mean that this server has not run the request, kServerWithdrawn that it did not receive it,
  /// kCallerGone that the caller disconnected; for other errors it may have run. Fails with
  /// kOutcomeUnknown if the server's failure was kept.
  boost::asio::awaitable<Result<void>> run(const Request& request, const Dispatch& dispatch,
                                           const AttemptBounds& bounds, bool streaming,
                                           FailureUse failureUse);
  /// Closes the connection to the server, which stops its work. Safe at any time.
  void cancel() { canceller_.cancel(); }
  /// Cancels because the server's weights must not be used any more.
  void recall() {
    recalled_ = true;
    cancel();
  }
  bool recalled() const { return recalled_; }
  /// Whether the request was sent, in part at least.
  bool handedOver() const { return handedOver_; }
  /// Whether it was not sent because the check right before the first byte failed.
  bool withheld() const { return withheld_; }
  /// Whether the server was left for its silence.
  bool leftSilentServer() const { return silence_.moved(); }
  /// The listener is called once, when the first bytes of the answer's body arrive.
  void onFirstBytes(std::function<void()> listener) { firstBytesListener_ = std::move(listener); }
  std::optional<WeightsVersion> weights() const { return weights_; }
  /// Whether the answer's head named another server than the intended one.
  bool fromOtherServer() const { return fromOtherServer_; }
  /// Connection time, if a new connection was made.
  std::optional<Microseconds> connectTime() const { return connectTime_; }
  unsigned status() const { return status_; }
  /// Whether the head was the server's own answer, success or failure.
  bool answered() const { return answered_; }
  /// How the body of the answer ended; empty if it broke off.
  std::optional<http::BodyEnd> bodyEnd() const { return bodyEnd_; }
  /// The server's 5xx answer, if it was kept.
  std::optional<http::Response>& keptFailure() { return keptFailure_; }

 private:
  boost::asio::awaitable<Result<void>> relayWhole(http::ResponseStream& stream,
                                                  const fleet::Server& server,
                                                  const AttemptBounds& bounds,
                                                  FailureUse failureUse);
  /// Passes on an answer that is too long to be held: what has come of it, and the rest as it
  /// arrives.
  boost::asio::awaitable<Result<void>> relayLong(http::ResponseStream& stream,
                                                 const fleet::Server& server,
                                                 const AttemptBounds& bounds, http::Response begun);
  boost::asio::awaitable<Result<void>> relayEvents(http::ResponseStream& stream,
                                                   const fleet::Server& server,
                                                   const AttemptBounds& bounds);
  /// Relays the pieces of a stream up to its end.
  boost::asio::awaitable<Result<void>> relayPieces(http::ResponseStream& stream,
                                                   const AttemptBounds& bounds,
                                                   http::BodyPiece first);
  /// Reads the next piece, for which the server may be silent for `patience`.
  boost::asio::awaitable<Result<http::BodyPiece>> read(http::ResponseStream& stream,
                                                       Milliseconds patience);
  /// Succeeds if the answer, which has ended, is whole.
  boost::asio::awaitable<Result<void>> confirmEnd(http::ResponseStream& stream,
                                                  const fleet::Server& server,
                                                  const AttemptBounds& bounds);
  /// The check before the first byte, whose result is recorded. Writes the request as of the time
  /// that is left then.
  SendCheck recordingCheck(const Request& request, const Dispatch& dispatch,
                           MonotonicTime deadline);
  /// The permission, which sets leftPath_ when it is granted.
  server_paths::MovePermission recordingGrant(server_paths::MovePermission permission);
  void notifyFirstBytes();

  ServerCalls& calls_;
  const ServerProtocol& protocol_;
  AnswerEndCheck& endCheck_;
  AnswerRelay& relay_;
  CallPurpose purpose_;
  bool leftPath_ = false;
  server_paths::MovePermission leavePath_;
  SilenceWatch silence_;
  std::function<Result<void>()> mayBeSent_;
  http::ExchangeCanceller canceller_;
  std::function<void()> firstBytesListener_;
  std::optional<WeightsVersion> weights_;
  std::optional<Microseconds> connectTime_;
  std::optional<http::Response> keptFailure_;
  std::optional<http::BodyEnd> bodyEnd_;
  unsigned status_ = 0;
  bool answered_ = false;
  bool fromOtherServer_ = false;
  bool recalled_ = false;
  bool handedOver_ = false;
  bool withheld_ = false;
};

}  // namespace calicodrift::forward
