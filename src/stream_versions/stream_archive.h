#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/clock.h"
#include "store/object_store.h"
#include "stream_versions/archive_segment.h"
#include "stream_versions/metrics.h"

namespace calicodrift::stream_versions {

/// Dependencies of a StreamArchive; they outlive it and run on its thread.
struct StreamArchiveContext {
  boost::asio::any_io_executor executor;
  store::ObjectStore& store;
  /// Kind of the stored objects.
  std::string kind;
  StreamVersionMetrics& metrics;
  /// Number of this node among the nodes that write, below kArchiveWriters.
  std::function<std::size_t()> writer;
};

/// Keeps the versions of streams in the store, since no node's memory survives a loss of all nodes.
/// Records are written in batches, a few times a second, and read once by a node that has started.
///
/// What was added less than about kWriteInterval before all nodes are lost may be missing. A record
/// that is there always holds: the version that began a stream never changes.
class StreamArchive {
 public:
  explicit StreamArchive(StreamArchiveContext context);

  /// Reads what is stored. Nothing is written before.
  boost::asio::awaitable<Result<Archived>> read();
  bool hasRead() const { return state_->hasRead; }
  /// Keeps the record; returns at once.
  void add(StreamKey stream, const SoftwareVersion& version);
  /// Keeps the history, unless it is there already; returns at once.
  void setHistory(ArchivedHistory history);

  /// Time between two writes of one node; longer while each writes many records.
  static constexpr Milliseconds kWriteInterval{20};
  static constexpr Milliseconds kLargeWriteInterval{100};
  static constexpr std::size_t kLargeSegmentRecords = 200;
  /// How long a segment takes records.
  static constexpr Milliseconds kSegmentTime{250};
  /// Further records of a segment are dropped. Some 40 KB.
  static constexpr std::size_t kMaxSegmentRecords = 2000;

 private:
  /// Shared with the writing coroutine, which may outlive this object.
  struct State {
    State(StreamArchiveContext given) : context(std::move(given)), pause(context.executor) {}

    StreamArchiveContext context;
    boost::asio::steady_timer pause;
    ArchiveSegment segment;
    MonotonicTime segmentBegunAt{};
    /// Records of the segment that are in the store.
    std::size_t writtenRecords = 0;
    /// The history as it should be, and as it is stored.
    ArchivedHistory history;
    ArchivedHistory storedHistory;
    /// Revisions of the stored objects, by name.
    std::map<std::string, store::Revision> revisions;
    /// The highest sequence of each writer that was found in the store.
    std::map<std::size_t, std::uint64_t> lastSequences;
    bool hasPending() const {
      return writtenRecords < segment.records.size() || history != storedHistory;
    }

    std::size_t writer = 0;
    bool hasRead = false;
    bool writing = false;
  };

  static boost::asio::awaitable<void> writePending(std::shared_ptr<State> state);
  static boost::asio::awaitable<bool> writeNext(std::shared_ptr<State> state);
  static boost::asio::awaitable<bool> writeHistory(std::shared_ptr<State> state);
  static boost::asio::awaitable<bool> writeSegment(std::shared_ptr<State> state);
  /// Fails with kVersionConflict if the stored object may be another than this node knows; it has
  /// been read then.
  static boost::asio::awaitable<Result<void>> put(std::shared_ptr<State> state,
                                                  store::Object object);
  static void beginSegment(State& state, MonotonicTime now);
  /// Notes what is stored, and adds its records to those given, if any.
  static void applyStored(State& state, const store::Object& object,
                          std::vector<ArchivedRecord>* records);
  void startWriting();

  std::shared_ptr<State> state_;
};

}  // namespace calicodrift::stream_versions
