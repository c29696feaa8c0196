#include "quarantine/records.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "log/log.h"

namespace calicodrift::quarantine {
namespace {

using boost::asio::awaitable;

/// Pause after a failed call. It doubles up to kMaxPause, since each attempt costs a call.
constexpr Milliseconds kInitialPause{500};
constexpr Milliseconds kMaxPause{8000};

}  // namespace

Records::Records(store::ObjectStore& store, std::string kind, RecordSource& source,
                 QuarantineMetrics& metrics, UnreadableListener onUnreadable)
    : store_(store),
      kind_(std::move(kind)),
      source_(source),
      metrics_(metrics),
      onUnreadable_(std::move(onUnreadable)) {}

awaitable<void> Records::synchronize() {
  if (busy_ || monotonicNow() < pausedUntil_) {
    co_return;
  }
  busy_ = true;
  if (store_.era() != era_) {
    // A store that has returned from a copy may lack records: they are compared anew.
    era_ = store_.era();
    stored_.clear();
    recordsAreCurrent_ = false;
  }
  if (!recordsAreCurrent_) {
    co_await readAll();
  }
  bool written = true;
  for (const Record& record : unsaved()) {
    written = written && co_await write(record);
  }
  if (recordsAreCurrent_ && written) {
    pause_ = Milliseconds(0);
  } else {
    pause_ = std::clamp(2 * pause_, kInitialPause, kMaxPause);
    pausedUntil_ = monotonicNow() + pause_;
  }
  busy_ = false;
}

awaitable<void> Records::readAll() {
  const Result<store::Listing> listing = co_await store_.list(kind_);
  if (!listing) {
    co_return;
  }
  for (const store::Object& object : listing.value().objects) {
    take(object);
  }
  read_ = true;
  recordsAreCurrent_ = true;
  log::write(log::Level::kInfo, "quarantine_read",
             {{"kind", kind_}, {"records", std::to_string(listing.value().objects.size())}});
}

void Records::take(const store::Object& object) {
  const Result<Record> record = source_.merge(object);
  if (!record) {
    onUnreadable_(object, record.error());
    return;
  }
  stored_[object.name] = {object.revision, record.value()};
}

std::vector<Record> Records::unsaved() const {
  std::vector<Record> records = source_.wanted();
  for (const auto& [name, stored] : stored_) {
    const auto same = [&name = name](const Record& one) { return one.name == name; };
    std::optional<Record> present = source_.find(name);
    if (present && std::none_of(records.begin(), records.end(), same)) {
      records.push_back(std::move(*present));
    }
  }
  std::erase_if(records, [this](const Record& record) {
    const auto stored = stored_.find(record.name);
    return stored != stored_.end() && stored->second.record == record;
  });
  return records;
}

awaitable<bool> Records::write(Record record) {
  store::Object object;
  object.name = record.name;
  object.spec = record.content;
  const auto known = stored_.find(record.name);
  object.revision = known == stored_.end() ? store::Revision() : known->second.revision;
  const Result<store::Revision> written = co_await store_.put(kind_, object);
  metrics_.countRecordWrite(static_cast<bool>(written));
  if (written) {
    stored_[object.name] = {written.value(), std::move(record)};
    co_return true;
  }
  // Another node has written the record, or an answer was lost: read the stored record first.
  const Result<store::Object> there = co_await store_.get(kind_, object.name);
  if (there) {
    take(there.value());
  } else if (there.error().kind == ErrorKind::kNotFound) {
    stored_.erase(object.name);
  }
  log::write(log::Level::kWarning, "quarantine_not_recorded",
             {{"kind", kind_}, {"name", object.name}, {"cause", written.error().detail}});
  co_return false;
}

}  // namespace calicodrift::quarantine
