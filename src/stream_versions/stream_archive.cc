#include "stream_versions/stream_archive.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "log/log.h"

namespace calicodrift::stream_versions {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// Pause after a failed call. It doubles up to the longest one, since each attempt costs a call.
constexpr Milliseconds kFirstPause{100};
constexpr Milliseconds kLongestPause{2000};

}  // namespace

StreamArchive::StreamArchive(StreamArchiveContext context)
    : state_(std::make_shared<State>(std::move(context))) {}

void StreamArchive::applyStored(State& state, const store::Object& object,
                                std::vector<ArchivedRecord>* records) {
  state.revisions[object.name] = object.revision;
  const boost::json::value spec = store::parsed(object).spec;
  if (object.name == kHistoryName) {
    const Result<ArchivedHistory> history = historyFromJson(spec);
    state.storedHistory = history ? history.value() : ArchivedHistory();
    return;
  }
  const Result<ArchiveSegment> segment = segmentFromJson(spec);
  if (!segment) {
    return;
  }
  for (std::size_t writer = 0; writer < kArchiveWriters; ++writer) {
    if (isSegmentOf(writer, object.name)) {
      std::uint64_t& last = state.lastSequences[writer];
      last = std::max(last, segment.value().sequence);
    }
  }
  if (records != nullptr) {
    records->insert(records->end(), segment.value().records.begin(), segment.value().records.end());
  }
}

awaitable<Result<Archived>> StreamArchive::read() {
  const std::shared_ptr<State> state = state_;
  const Result<store::Listing> listing = co_await state->context.store.list(state->context.kind);
  if (!listing) {
    co_return listing.error();
  }
  Archived archived;
  for (const store::Object& object : listing.value().objects) {
    applyStored(*state, object, &archived.records);
  }
  archived.history = state->storedHistory;
  if (state->history.empty()) {
    state->history = state->storedHistory;
  }
  state->hasRead = true;
  log::write(log::Level::kInfo, "stream_versions_read",
             {{"records", std::to_string(archived.records.size())},
              {"services", std::to_string(archived.history.size())},
              {"objects", std::to_string(listing.value().objects.size())}});
  startWriting();
  co_return archived;
}

void StreamArchive::add(StreamKey stream, const SoftwareVersion& version) {
  State& state = *state_;
  const MonotonicTime now = monotonicNow();
  const bool isOpen =
      now - state.segmentBegunAt < kSegmentTime && state.writer == state.context.writer();
  if (!isOpen && state.writtenRecords == state.segment.records.size()) {
    beginSegment(state, now);
  }
  if (state.segment.records.size() >= kMaxSegmentRecords) {
    state.context.metrics.countShed();
    return;
  }
  state.segment.records.push_back({stream, version});
  startWriting();
}

void StreamArchive::setHistory(ArchivedHistory history) {
  state_->history = std::move(history);
  startWriting();
}

void StreamArchive::beginSegment(State& state, MonotonicTime now) {
  state.writer = state.context.writer();
  state.segment.sequence = ++state.lastSequences[state.writer];
  state.segment.records.clear();
  state.segmentBegunAt = now;
  state.writtenRecords = 0;
}

void StreamArchive::startWriting() {
  State& state = *state_;
  if (!state.hasPending() || !state.hasRead || state.writing) {
    return;
  }
  state.writing = true;
  asio::co_spawn(state.context.executor, writePending(state_), asio::detached);
}

awaitable<void> StreamArchive::writePending(std::shared_ptr<State> state) {
  Milliseconds failurePause = kFirstPause;
  while (state->hasPending()) {
    const bool written = co_await writeNext(state);
    state->context.metrics.countArchiveWrite(written);
    const bool large = state->segment.records.size() >= kLargeSegmentRecords;
    Milliseconds pause = large ? kLargeWriteInterval : kWriteInterval;
    if (!written) {
      pause = std::exchange(failurePause, std::min(2 * failurePause, kLongestPause));
    }
    state->pause.expires_after(pause);
    co_await state->pause.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  state->writing = false;
}

awaitable<bool> StreamArchive::writeNext(std::shared_ptr<State> state) {
  if (state->history != state->storedHistory) {
    co_return co_await writeHistory(state);
  }
  co_return co_await writeSegment(state);
}

awaitable<Result<void>> StreamArchive::put(std::shared_ptr<State> state, store::Object object) {
  const std::string name = object.name;
  const std::string kind = state->context.kind;
  object.revision = state->revisions[name];
  const Result<store::Revision> written =
      co_await state->context.store.put(kind, std::move(object));
  if (written) {
    state->revisions[name] = written.value();
    co_return boost::outcome_v2::success();
  }
  const ErrorKind failure = written.error().kind;
  if (failure != ErrorKind::kVersionConflict && failure != ErrorKind::kOutcomeUnknown) {
    co_return written.error();
  }
  const Result<store::Object> there = co_await state->context.store.get(kind, name);
  if (there) {
    applyStored(*state, there.value(), nullptr);
  } else if (there.error().kind == ErrorKind::kNotFound) {
    state->revisions.erase(name);
  }
  co_return fail(ErrorKind::kVersionConflict, written.error().detail);
}

awaitable<bool> StreamArchive::writeHistory(std::shared_ptr<State> state) {
  const ArchivedHistory history = state->history;
  store::Object object;
  object.name = std::string(kHistoryName);
  object.spec = toJson(history);
  const Result<void> written = co_await put(state, std::move(object));
  if (written) {
    state->storedHistory = history;
  }
  co_return written.has_value();
}

awaitable<bool> StreamArchive::writeSegment(std::shared_ptr<State> state) {
  const std::size_t count = state->segment.records.size();
  store::Object object;
  object.name = segmentName(state->writer, state->segment.sequence);
  object.spec = toJson(state->segment);
  const Result<void> written = co_await put(state, std::move(object));
  if (written) {
    state->writtenRecords = count;
    co_return true;
  }
  if (written.error().kind == ErrorKind::kVersionConflict) {
    // Another node writes under the same number, or the answer to an earlier write was lost: the
    // records go to a segment of their own behind what is there.
    state->segment.sequence = ++state->lastSequences[state->writer];
    state->segmentBegunAt = monotonicNow();
    state->writtenRecords = 0;
  }
  co_return false;
}

}  // namespace calicodrift::stream_versions
