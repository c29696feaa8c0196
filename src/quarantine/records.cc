#include "quarantine/records.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "log/log.h"
#include "store/unreadable.h"

namespace calicodrift::quarantine {
namespace {

namespace json = boost::json;
using boost::asio::awaitable;

/// Pause after a failed call. It doubles up to kMaxPause, since each attempt costs a call.
constexpr Milliseconds kInitialPause{500};
constexpr Milliseconds kMaxPause{8000};

json::array toNumbers(const std::vector<ServerRun>& runs) {
  json::array numbers;
  for (const ServerRun run : runs) {
    numbers.emplace_back(run.value());
  }
  return numbers;
}

std::vector<ServerRun> toRuns(const json::value& numbers) {
  std::vector<ServerRun> runs;
  for (const json::value& number : numbers.as_array()) {
    if (runs.size() < CrashLedger::kMaxRunsPerRequest) {
      runs.emplace_back(number.to_number<std::uint64_t>());
    }
  }
  std::sort(runs.begin(), runs.end());
  return runs;
}

}  // namespace

json::value toJson(const Suspect& suspect) {
  return json::object{{"ended", toNumbers(suspect.ended)},
                      {"cleared", toNumbers(suspect.cleared)},
                      {"longest_ms", suspect.longestMs}};
}

Result<Suspect> suspectFrom(const store::Object& object) {
  if (object.specText) {
    return suspectFrom(store::parsed(object));
  }
  const auto request = parseFingerprint(object.name);
  if (!request) {
    return store::unreadable(store::kFieldRange, "the object name is not a request fingerprint");
  }
  try {
    return Suspect{*request, toRuns(object.spec.at("ended")), toRuns(object.spec.at("cleared")),
                   object.spec.at("longest_ms").to_number<std::uint32_t>()};
  } catch (const std::exception& exception) {
    return store::unreadable(store::kMalformed,
                             std::string("the record is malformed: ") + exception.what());
  }
}

Records::Records(store::ObjectStore& store, std::string kind, CrashLedger& ledger,
                 QuarantineMetrics& metrics, UnreadableListener onUnreadable)
    : store_(store),
      kind_(std::move(kind)),
      ledger_(ledger),
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
  for (const Suspect& suspect : unsavedSuspects()) {
    written = written && co_await write(suspect);
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
             {{"records", std::to_string(listing.value().objects.size())}});
}

void Records::take(const store::Object& object) {
  const Result<Suspect> suspect = suspectFrom(object);
  if (!suspect) {
    onUnreadable_(object, suspect.error());
    return;
  }
  stored_[suspect.value().request] = {object.revision, suspect.value()};
  static_cast<void>(ledger_.merge(suspect.value(), monotonicNow()));
}

std::vector<Suspect> Records::unsavedSuspects() const {
  std::vector<Suspect> wanted = ledger_.atLeast(kMinRecordedCrashes);
  for (const auto& [request, stored] : stored_) {
    const auto same = [&request = request](const Suspect& one) { return one.request == request; };
    if (ledger_.contains(request) && std::none_of(wanted.begin(), wanted.end(), same)) {
      wanted.push_back(ledger_.suspect(request));
    }
  }
  std::erase_if(wanted, [this](const Suspect& suspect) {
    const auto stored = stored_.find(suspect.request);
    return stored != stored_.end() && stored->second.suspect == suspect;
  });
  return wanted;
}

awaitable<bool> Records::write(Suspect suspect) {
  store::Object object;
  object.name = toString(suspect.request);
  object.spec = toJson(suspect);
  const auto known = stored_.find(suspect.request);
  object.revision = known == stored_.end() ? store::Revision() : known->second.revision;
  const Result<store::Revision> written = co_await store_.put(kind_, object);
  metrics_.countRecordWrite(static_cast<bool>(written));
  if (written) {
    stored_[suspect.request] = {written.value(), suspect};
    co_return true;
  }
  // Another node has written the record, or an answer was lost: read the stored record first.
  const Result<store::Object> there = co_await store_.get(kind_, object.name);
  if (there) {
    take(there.value());
  } else if (there.error().kind == ErrorKind::kNotFound) {
    stored_.erase(suspect.request);
  }
  log::write(log::Level::kWarning, "quarantine_not_recorded",
             {{"request", object.name}, {"cause", written.error().detail}});
  co_return false;
}

}  // namespace calicodrift::quarantine
