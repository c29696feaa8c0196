#pragma once

#include <functional>
#include <utility>

#include "http/server.h"

namespace calicodrift::http {

/// Changes the head of whatever a handler answers, and passes all else through.
class WriterDecorator : public ResponseWriter {
 public:
  /// @param change called with each head before it is sent.
  WriterDecorator(ResponseWriter& writer, std::function<void(Response&)> change)
      : writer_(writer), change_(std::move(change)) {}

  boost::asio::awaitable<Result<void>> send(Response response) override {
    change_(response);
    return writer_.send(std::move(response));
  }
  boost::asio::awaitable<Result<void>> startStream(Response response) override {
    change_(response);
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
  bool callerHasClosed() override { return writer_.callerHasClosed(); }
  bool streamStarted() const override { return writer_.streamStarted(); }

 private:
  ResponseWriter& writer_;
  std::function<void(Response&)> change_;
};

}  // namespace calicodrift::http
