#pragma once

#include "config/configuration.h"
#include "http/server.h"

namespace calicodrift::router {

/// Adds the configuration's headers to whatever answer a handler makes.
class ConfigHeaderWriter : public http::ResponseWriter {
 public:
  ConfigHeaderWriter(http::ResponseWriter& writer, const config::Configuration& configuration)
      : writer_(writer), configuration_(configuration) {}

  boost::asio::awaitable<Result<void>> send(http::Response response) override {
    configuration_.mark(response);
    return writer_.send(std::move(response));
  }
  boost::asio::awaitable<Result<void>> startStream(http::Response response) override {
    configuration_.mark(response);
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
  const config::Configuration& configuration_;
};

}  // namespace calicodrift::router
