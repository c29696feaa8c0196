#pragma once

#include <algorithm>
#include <boost/asio.hpp>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "http/server.h"

namespace calicodrift::testing {

/// The sending side of a machine's link: all answers sent through it share its rate.
class SlowLink {
 public:
  SlowLink(boost::asio::io_context& context, std::size_t bytesPerSecond)
      : context_(context), bytesPerSecond_(bytesPerSecond) {}

  /// Returns once the link has carried the bytes.
  boost::asio::awaitable<void> carry(std::size_t bytes) {
    const std::chrono::duration<double> takes(static_cast<double>(bytes) /
                                              static_cast<double>(bytesPerSecond_));
    carried_ += bytes;
    freeAt_ = std::max(freeAt_, monotonicNow()) +
              std::chrono::duration_cast<MonotonicTime::duration>(takes);
    boost::asio::steady_timer timer(context_, freeAt_);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  /// Sends the answer piece by piece.
  boost::asio::awaitable<void> send(http::ResponseWriter& writer, http::Response answer) {
    constexpr std::size_t kPieceBytes = 4096;
    const std::string body = std::move(answer.body);
    if (!co_await writer.startStream(std::move(answer))) {
      co_return;
    }
    for (std::size_t sent = 0; sent < body.size(); sent += kPieceBytes) {
      const std::string piece = body.substr(sent, kPieceBytes);
      co_await carry(piece.size());
      if (!co_await writer.writeChunk(piece)) {
        co_return;
      }
    }
    static_cast<void>(co_await writer.endStream());
  }
  std::size_t carried() const { return carried_; }

 private:
  boost::asio::io_context& context_;
  std::size_t bytesPerSecond_;
  std::size_t carried_ = 0;
  MonotonicTime freeAt_{};
};

/// Sends a handler's whole answers through a SlowLink.
class SlowWriter : public http::ResponseWriter {
 public:
  SlowWriter(http::ResponseWriter& writer, SlowLink& link) : writer_(writer), link_(link) {}

  boost::asio::awaitable<Result<void>> send(http::Response response) override {
    co_await link_.send(writer_, std::move(response));
    co_return boost::outcome_v2::success();
  }
  boost::asio::awaitable<Result<void>> startStream(http::Response response) override {
    return writer_.startStream(std::move(response));
  }
  boost::asio::awaitable<Result<void>> writeChunk(std::string_view bytes) override {
    return writer_.writeChunk(bytes);
  }
  boost::asio::awaitable<Result<void>> endStream() override { return writer_.endStream(); }
  void abort() override { writer_.abort(); }
  void onCallerGone(std::function<void()> callback) override {
    writer_.onCallerGone(std::move(callback));
  }
  bool callerGone() const override { return writer_.callerGone(); }
  bool streamStarted() const override { return writer_.streamStarted(); }

 private:
  http::ResponseWriter& writer_;
  SlowLink& link_;
};

}  // namespace calicodrift::testing
