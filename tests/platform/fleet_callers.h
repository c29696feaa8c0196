#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "gateway_fleet.h"

namespace calicodrift::testing {

/// When requests came to the server from `begin` on.
inline std::vector<MonotonicTime> timesSince(const ServerStandIn& server, MonotonicTime begin) {
  const std::vector<MonotonicTime>& times = server.arrivalTimes();
  return {std::lower_bound(times.begin(), times.end(), begin), times.end()};
}

inline std::size_t arrivalsSince(const ServerStandIn& server, MonotonicTime begin) {
  return timesSince(server, begin).size();
}

/// Requests of callers at all nodes of a fleet in turn, streams or calls of the plain service. Each
/// has an id that names its node, so that a server's arrivals tell who sent them.
class FleetCallers {
 public:
  FleetCallers(GatewayFleet& fleet, std::string path) : fleet_(fleet), path_(std::move(path)) {}

  /// Sends some 90 a second for so long, and waits for all answers.
  boost::asio::awaitable<void> sendFor(Milliseconds duration) {
    constexpr Milliseconds kGap{10};
    const MonotonicTime end = monotonicNow() + duration;
    while (monotonicNow() < end) {
      boost::asio::co_spawn(fleet_.context, sendOne(), boost::asio::detached);
      co_await fleet_.pause(kGap);
    }
    co_await fleet_.waitUntil([this] { return outstanding_ == 0; });
  }
  /// Sends so many a second, also where the thread is late, and waits for all answers.
  boost::asio::awaitable<void> sendAtRate(double perSecond, Milliseconds duration) {
    constexpr Milliseconds kGap{4};
    constexpr double kMsPerSecond = 1000;
    const MonotonicTime begin = monotonicNow();
    const std::size_t before = sent_;
    while (monotonicNow() < begin + duration) {
      const double due = perSecond * toMilliseconds(monotonicNow() - begin) / kMsPerSecond;
      for (double count = static_cast<double>(sent_ - before); count < due; ++count) {
        boost::asio::co_spawn(fleet_.context, sendOne(), boost::asio::detached);
      }
      co_await fleet_.pause(kGap);
    }
    co_await fleet_.waitUntil([this] { return outstanding_ == 0; });
  }
  std::size_t sent() const { return sent_; }
  std::size_t answered(unsigned status) const {
    const auto found = statuses_.find(status);
    return found == statuses_.end() ? 0 : found->second;
  }
  /// Requests that were sent at the node from `since` on, and how many of them were served.
  struct Share {
    std::size_t sent = 0;
    std::size_t served = 0;
  };
  Share shareOf(std::size_t node, MonotonicTime since) const {
    Share share;
    for (const Call& call : calls_) {
      if (call.node == node && call.at >= since) {
        ++share.sent;
        share.served += call.status == 200 ? 1 : 0;
      }
    }
    return share;
  }
  /// The longest time until an answer of that status.
  Milliseconds slowest(unsigned status) const {
    const auto found = slowest_.find(status);
    return found == slowest_.end() ? Milliseconds(0) : found->second;
  }
  /// The node that sent a request.
  static std::string nodeOf(const http::Request& request) {
    const std::string id = request.headers.get(platform::kRequestId);
    return id.substr(0, id.find('-'));
  }

 private:
  http::Request makeRequest(std::size_t number) const {
    if (!path_.starts_with("/stream")) {
      return GatewayFixture::request(path_);
    }
    const std::string part = std::to_string(number);
    http::Request message = GatewayFleet::modelRequest(path_, "prompt " + part);
    // Prompts of their own, so that no server is their home.
    message.headers.set(platform::kPromptPrefix, "a" + part + ":600,b" + part + ":300");
    return message;
  }
  boost::asio::awaitable<void> sendOne() {
    ++outstanding_;
    const std::size_t number = sent_++;
    const std::size_t node = number % fleet_.size();
    http::Request message = makeRequest(number);
    message.headers.set(platform::kRequestId,
                        "n" + std::to_string(node) + "-" + std::to_string(number));
    const MonotonicTime begin = monotonicNow();
    const unsigned status = co_await fleet_.call(node, std::move(message));
    ++statuses_[status];
    calls_.push_back({node, begin, status});
    const auto took = std::chrono::ceil<Milliseconds>(monotonicNow() - begin);
    slowest_[status] = std::max(slowest_[status], took);
    --outstanding_;
  }

  struct Call {
    std::size_t node = 0;
    MonotonicTime at;
    unsigned status = 0;
  };

  GatewayFleet& fleet_;
  std::string path_;
  std::vector<Call> calls_;
  std::size_t sent_ = 0;
  std::size_t outstanding_ = 0;
  std::map<unsigned, std::size_t> statuses_;
  std::map<unsigned, Milliseconds> slowest_;
};

}  // namespace calicodrift::testing
