#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/server.h"
#include "support/slow_link.h"

namespace calicodrift::testing {

/// Stand-in of the platform's metadata store: objects by kind and name with one revision counter,
/// conditional writes, watches, and the ways in which the store fails. It also comes back from a
/// copy, and sends answers at the rate of a slow link.
class StoreStandIn {
 public:
  enum class Mode {
    kUp,
    /// Answers 503 without doing anything.
    kBusy,
    /// Takes requests and never answers.
    kSilent,
    /// Does writes and closes the connection without an answer.
    kLosesWrites,
  };

  explicit StoreStandIn(boost::asio::io_context& context);

  const Endpoint& endpoint() const { return endpoint_; }
  /// Another address of the same store, whose answers share a link of this rate.
  Endpoint listenBehindLink(std::size_t bytesPerSecond);
  /// Writes as the operator does.
  void put(const std::string& kind, const std::string& name, boost::json::value spec);
  void remove(const std::string& kind, const std::string& name);
  /// Writes as another writer may: the bytes stand in place of the object's spec, as they are, in
  /// listings and in changes.
  void putRawSpec(const std::string& kind, const std::string& name, std::string bytes);
  /// The bytes stand in place of the whole object, metadata and all.
  void putRawObject(const std::string& kind, const std::string& name, std::string bytes);
  /// Forgets the history: watches from before get 410.
  void compact();
  void setMode(Mode mode) { mode_ = mode; }
  boost::json::value specOf(const std::string& kind, const std::string& name) const;
  boost::json::value statusOf(const std::string& kind, const std::string& name) const;
  std::size_t calls() const { return calls_; }
  /// Keeps a copy of the state as it is now.
  void copy();
  /// Comes back from the last copy: what was written since is gone, revisions continue from those
  /// of the copy, and the era rises.
  void restoreCopy();
  std::uint64_t era() const { return era_; }
  std::uint64_t revision() const { return revision_; }
  /// Calls by "METHOD kind".
  std::size_t callsOf(const std::string& call) const;

 private:
  struct Entry {
    Entry(boost::json::value itsSpec = nullptr, boost::json::value itsStatus = nullptr)
        : spec(std::move(itsSpec)), status(std::move(itsStatus)) {}

    boost::json::value spec;
    boost::json::value status;
    std::uint64_t revision = 0;
    /// Stand in place of the spec, or of the whole object.
    std::optional<std::string> rawSpec;
    std::optional<std::string> rawObject;
    /// The whole object as it is sent.
    std::shared_ptr<const std::string> text;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool gone = false;
    Entry entry;
  };
  using Kind = std::map<std::string, Entry>;

  struct Copy {
    std::map<std::string, Kind> kinds;
    std::uint64_t revision = 0;
  };

  /// @param link null for answers without delay.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer,
                                      SlowLink* link);
  boost::asio::awaitable<void> respond(http::ResponseWriter& writer, http::Response answer,
                                       SlowLink* link);
  boost::asio::awaitable<http::Response> watch(std::string kind, std::uint64_t since,
                                               Milliseconds wait);
  http::Response list(const std::string& kind) const;
  http::Response write(const std::string& method, const std::string& kind,
                       const http::Request& request);
  void record(const std::string& kind, const std::string& name, bool gone, Entry entry);
  static std::string objectText(const std::string& name, const Entry& entry);

  boost::asio::io_context& context_;
  std::map<std::string, Kind> kinds_;
  std::deque<Event> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t compactedBelow_ = 0;
  Mode mode_ = Mode::kUp;
  std::size_t calls_ = 0;
  std::map<std::string, std::size_t> callsBy_;
  std::uint64_t era_ = 0;
  std::optional<Copy> copy_;
  boost::asio::steady_timer changed_;
  http::Server server_;
  std::vector<std::unique_ptr<SlowLink>> links_;
  std::vector<std::unique_ptr<http::Server>> linkServers_;
  Endpoint endpoint_;
};

}  // namespace calicodrift::testing
