#include "sim/fault_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

namespace calicodrift::sim {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
using Tcp = asio::ip::tcp;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPieceBytes = 16'384;
constexpr Milliseconds kFreezeCheckInterval{5};
constexpr Milliseconds kCrossWait{5000};

bool flagAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::int64_t numberAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

}  // namespace

/// The two sides of one proxied connection.
struct ProxyConnection {
  ProxyConnection(Tcp::socket caller, asio::io_context& context)
      : caller(std::move(caller)), target(context), partnerCame(context) {
    boost::system::error_code ignored;
    source = this->caller.remote_endpoint(ignored).address().to_string();
  }

  void close() {
    boost::system::error_code ignored;
    caller.close(ignored);
    target.close(ignored);
  }

  Tcp::socket caller;
  /// Address of the caller.
  std::string source;
  Tcp::socket target;
  asio::steady_timer partnerCame;
  /// Set while answers are crossed: the connection whose caller gets this one's answer.
  std::shared_ptr<ProxyConnection> answerGoesTo;
  std::int64_t answerBytes = 0;
  /// Bytes were swallowed. TCP delivers nothing behind a gap, so the connection ends with the next
  /// byte that would pass.
  bool requestsLost = false;
  bool answersLost = false;
};

FaultProxy::FaultProxy(asio::io_context& context, Endpoint target)
    : context_(context),
      target_(std::move(target)),
      acceptor_(context),
      control_(context.get_executor(), http::ServerLimits{},
               [this](http::Request& request, http::ResponseWriter& writer) {
                 return handleControl(request, writer);
               }) {}

Result<Endpoint> FaultProxy::listen(const Endpoint& endpoint) {
  const Tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
  boost::system::error_code code;
  acceptor_.open(address.protocol(), code);
  if (!code) {
    acceptor_.bind(address, code);
  }
  if (!code) {
    acceptor_.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return fail(ErrorKind::kSettingsInvalid, "cannot listen: " + code.message());
  }
  asio::co_spawn(context_, acceptLoop(), asio::detached);
  return Endpoint{endpoint.address, acceptor_.local_endpoint().port()};
}

awaitable<void> FaultProxy::handleControl(http::Request& request, http::ResponseWriter& writer) {
  if (request.path() == "/faults") {
    apply(parseFaults(request.body));
  }
  co_await http::respond(writer, http::jsonResponse(200, statsJson()));
}

awaitable<void> FaultProxy::acceptLoop() {
  for (;;) {
    auto [code, socket] = co_await acceptor_.async_accept(kAwait);
    if (code) {
      co_return;
    }
    ++accepted_;
    auto connection = std::make_shared<ProxyConnection>(std::move(socket), context_);
    if (faults_.refuse && strikes(connection->source)) {
      ++refused_;
      connection->close();
      continue;
    }
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
    connections_.push_back(connection);
    asio::co_spawn(context_, serve(connection), asio::detached);
  }
}

awaitable<void> FaultProxy::serve(Connection connection) {
  co_await holdBack(connection);
  const Tcp::endpoint address(asio::ip::make_address(target_.address), target_.port);
  auto [code] = co_await connection->target.async_connect(address, kAwait);
  if (code) {
    connection->close();
    co_return;
  }
  boost::system::error_code ignored;
  connection->target.set_option(Tcp::no_delay(true), ignored);
  connection->caller.set_option(Tcp::no_delay(true), ignored);
  asio::co_spawn(context_, pumpRequests(connection), asio::detached);
  co_await pumpAnswers(connection);
}

awaitable<void> FaultProxy::pumpRequests(Connection connection) {
  std::array<char, kPieceBytes> piece{};
  for (;;) {
    auto [readCode, count] =
        co_await connection->caller.async_read_some(asio::buffer(piece), kAwait);
    if (readCode) {
      break;
    }
    co_await holdBack(connection);
    if (faults_.swallowRequests && strikes(connection->source)) {
      swallowedBytes_ += count;
      connection->requestsLost = true;
      continue;
    }
    if (connection->requestsLost) {
      break;
    }
    auto [writeCode, written] =
        co_await asio::async_write(connection->target, asio::buffer(piece.data(), count), kAwait);
    if (writeCode) {
      break;
    }
  }
  // A crossed connection's answer may still be under way to the other caller.
  if (!connection->answerGoesTo) {
    connection->close();
  }
}

awaitable<void> FaultProxy::pumpAnswers(Connection connection) {
  std::array<char, kPieceBytes> piece{};
  for (;;) {
    auto [readCode, count] =
        co_await connection->target.async_read_some(asio::buffer(piece), kAwait);
    if (readCode) {
      break;
    }
    co_await holdBack(connection);
    if (connection->answerBytes == 0 && !co_await beginAnswer(connection)) {
      co_return;
    }
    connection->answerBytes += static_cast<std::int64_t>(count);
    if (faults_.cutAfterBytes > 0 && connection->answerBytes > faults_.cutAfterBytes) {
      ++cut_;
      break;
    }
    if (faults_.swallowAnswers && strikes(connection->source)) {
      swallowedBytes_ += count;
      connection->answersLost = true;
      continue;
    }
    if (connection->answersLost) {
      break;
    }
    Tcp::socket& receiver =
        connection->answerGoesTo ? connection->answerGoesTo->caller : connection->caller;
    const bool twice = faults_.duplicateAnswers > 0;
    if (twice) {
      --faults_.duplicateAnswers;
      ++duplicated_;
      auto [firstCode, firstWritten] =
          co_await asio::async_write(receiver, asio::buffer(piece.data(), count), kAwait);
      if (firstCode) {
        break;
      }
    }
    auto [writeCode, written] =
        co_await asio::async_write(receiver, asio::buffer(piece.data(), count), kAwait);
    if (writeCode) {
      break;
    }
  }
  if (connection->answerGoesTo) {
    connection->answerGoesTo->close();
    connection->answerGoesTo.reset();
  }
  connection->close();
}

awaitable<bool> FaultProxy::beginAnswer(Connection connection) {
  if (faults_.dropAnswers > 0) {
    --faults_.dropAnswers;
    ++dropped_;
    connection->close();
    co_return false;
  }
  if (faults_.crossAnswers <= 0) {
    co_return true;
  }
  if (!waitingToCross_) {
    waitingToCross_ = connection;
    connection->partnerCame.expires_after(kCrossWait);
    co_await connection->partnerCame.async_wait(kAwait);
    if (waitingToCross_ == connection) {
      waitingToCross_.reset();
    }
    co_return true;
  }
  const Connection partner = std::exchange(waitingToCross_, nullptr);
  --faults_.crossAnswers;
  ++crossed_;
  partner->answerGoesTo = connection;
  connection->answerGoesTo = partner;
  partner->partnerCame.cancel();
  co_return true;
}

bool FaultProxy::strikes(const std::string& source) const {
  return faults_.onlyFrom.empty() || std::find(faults_.onlyFrom.begin(), faults_.onlyFrom.end(),
                                               source) != faults_.onlyFrom.end();
}

awaitable<void> FaultProxy::holdBack(Connection connection) {
  asio::steady_timer timer(context_);
  while (faults_.freeze && strikes(connection->source)) {
    timer.expires_after(kFreezeCheckInterval);
    co_await timer.async_wait(kAwait);
  }
  if (faults_.delay.count() > 0) {
    timer.expires_after(faults_.delay);
    co_await timer.async_wait(kAwait);
  }
}

ProxyFaults FaultProxy::parseFaults(const std::string& body) {
  boost::system::error_code code;
  const json::value document = json::parse(body, code);
  ProxyFaults faults;
  if (code || !document.is_object()) {
    return faults;
  }
  const json::object& object = document.get_object();
  faults.refuse = flagAt(object, "refuse");
  faults.freeze = flagAt(object, "freeze");
  faults.swallowRequests = flagAt(object, "swallow_requests");
  faults.swallowAnswers = flagAt(object, "swallow_answers");
  if (const json::value* sources = object.if_contains("only_from")) {
    for (const json::value& source : sources->as_array()) {
      faults.onlyFrom.emplace_back(source.as_string());
    }
  }
  faults.delay = Milliseconds(numberAt(object, "delay_ms"));
  faults.dropAnswers = numberAt(object, "drop_answers");
  faults.cutAfterBytes = numberAt(object, "cut_after_bytes");
  faults.crossAnswers = numberAt(object, "cross_answers");
  faults.duplicateAnswers = numberAt(object, "duplicate_answers");
  return faults;
}

void FaultProxy::apply(const ProxyFaults& faults) {
  faults_ = faults;
  if (!faults_.refuse) {
    return;
  }
  for (const auto& weak : connections_) {
    const Connection connection = weak.lock();
    if (connection && strikes(connection->source)) {
      ++refused_;
      connection->close();
    }
  }
}

std::string FaultProxy::statsJson() const {
  return json::serialize(json::object{{"accepted", accepted_},
                                      {"refused", refused_},
                                      {"dropped", dropped_},
                                      {"cut", cut_},
                                      {"crossed", crossed_},
                                      {"duplicated", duplicated_},
                                      {"swallowed_bytes", swallowedBytes_}});
}

}  // namespace calicodrift::sim
