#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"

namespace calicodrift::relay {

/// What a NewsSpreader needs. All of it outlives the spreader, on one thread.
struct NewsContext {
  boost::asio::any_io_executor executor;
  /// Whom this node tells: its parent and children in the tree, and roots each other.
  std::function<std::vector<Endpoint>()> neighbours;
  /// Counts the changes of what is told.
  std::function<std::uint64_t()> version;
  /// Sends what has changed after `since`, and merges what is answered. The receiver answers once
  /// it has told its own neighbours, or after `wait`. Gives whether it has taken the news.
  std::function<boost::asio::awaitable<bool>(Endpoint neighbour, std::uint64_t since,
                                             Milliseconds wait, Milliseconds timeout)>
      send;
};

/// Brings news to all nodes of the relay tree at once: each node tells its neighbours what they
/// don't know yet, and they tell theirs before they answer. So who waits for the answers knows that
/// all nodes that can be reached have heard, and nothing is sent while there is no news.
class NewsSpreader {
 public:
  explicit NewsSpreader(NewsContext context) : context_(std::move(context)) {}

  /// Tells all neighbours but one what they don't know; waits for it as long as that.
  boost::asio::awaitable<void> tell(Milliseconds time, std::string except = "");
  /// The same without waiting.
  void tellSoon();
  /// A neighbour has told what it knows. Where it had been told all before, it knows what came with
  /// it too.
  /// @param before the version before that was merged.
  void onNewsFrom(const std::string& neighbour, std::uint64_t before);
  /// The neighbour knows all up to the version.
  void setTold(const std::string& neighbour, std::uint64_t version);
  /// Forgets what was told to nodes that are no neighbours any more.
  void forgetFormerNeighbours();

  /// For all nodes to be told: several ways there and back down a tree of four levels.
  static constexpr Milliseconds kTellTime{150};

 private:
  struct Peer {
    /// Version that it has been told.
    std::uint64_t told = 0;
    bool calling = false;
    /// It did not answer; nobody waits for it until then.
    MonotonicTime silentUntil{};
  };
  using TimerPointer = std::shared_ptr<boost::asio::steady_timer>;

  boost::asio::awaitable<void> push(Endpoint neighbour, Milliseconds time);

  NewsContext context_;
  std::map<std::string, Peer> peers_;
  /// Woken when a neighbour has been told or has not answered.
  std::list<TimerPointer> waiting_;
};

}  // namespace calicodrift::relay
