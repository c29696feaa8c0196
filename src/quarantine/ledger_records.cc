#include "quarantine/ledger_records.h"

#include <algorithm>
#include <boost/json.hpp>

#include "store/unreadable.h"

namespace calicodrift::quarantine {
namespace {

namespace json = boost::json;

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

json::object toJson(const PartCrash& crash) {
  json::array requests;
  for (const std::uint64_t request : crash.requests) {
    requests.emplace_back(request);
  }
  return {{"run", crash.run.value()},
          {"requests", std::move(requests)},
          {"trial", crash.trial},
          {"version_is_sound", crash.versionIsSound},
          {"served_before", crash.servedBefore}};
}

PartCrash crashFrom(const json::value& value) {
  PartCrash crash{ServerRun(value.at("run").to_number<std::uint64_t>()),
                  {},
                  value.at("trial").as_bool(),
                  value.at("version_is_sound").as_bool(),
                  value.at("served_before").as_bool()};
  for (const json::value& request : value.at("requests").as_array()) {
    if (crash.requests.size() < PartLedger::kMaxRequestsPerCrash) {
      crash.requests.push_back(request.to_number<std::uint64_t>());
    }
  }
  std::sort(crash.requests.begin(), crash.requests.end());
  return crash;
}

Error malformed(const std::exception& exception) {
  return store::unreadable(store::kMalformed,
                           std::string("the record is malformed: ") + exception.what());
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
    return malformed(exception);
  }
}

json::value toJson(const PartSuspect& suspect) {
  json::array crashes;
  for (const PartCrash& crash : suspect.crashes) {
    crashes.emplace_back(toJson(crash));
  }
  return json::object{{"generation", suspect.generation}, {"crashes", std::move(crashes)}};
}

Result<PartSuspect> partSuspectFrom(const store::Object& object) {
  if (object.specText) {
    return partSuspectFrom(store::parsed(object));
  }
  const auto part = parsePartFingerprint(object.name);
  if (!part) {
    return store::unreadable(store::kFieldRange, "the object name is not a part's fingerprint");
  }
  try {
    PartSuspect suspect{*part, object.spec.at("generation").to_number<std::uint32_t>(), {}};
    for (const json::value& crash : object.spec.at("crashes").as_array()) {
      if (suspect.crashes.size() < PartLedger::kMaxCrashesPerPart) {
        suspect.crashes.push_back(crashFrom(crash));
      }
    }
    std::sort(suspect.crashes.begin(), suspect.crashes.end(),
              [](const PartCrash& one, const PartCrash& other) { return one.run < other.run; });
    return suspect;
  } catch (const std::exception& exception) {
    return malformed(exception);
  }
}

std::vector<Record> RequestRecordSource::wanted() const {
  std::vector<Record> records;
  for (const Suspect& suspect : ledger_.atLeast(kMinRecordedCrashes)) {
    records.push_back({toString(suspect.request), toJson(suspect)});
  }
  return records;
}

std::optional<Record> RequestRecordSource::find(const std::string& name) const {
  const auto request = parseFingerprint(name);
  if (!request || !ledger_.contains(*request)) {
    return std::nullopt;
  }
  return Record{name, toJson(ledger_.suspect(*request))};
}

Result<Record> RequestRecordSource::merge(const store::Object& object) {
  const Result<Suspect> suspect = suspectFrom(object);
  if (!suspect) {
    return suspect.error();
  }
  static_cast<void>(ledger_.merge(suspect.value(), kUnknownCrashTime));
  return Record{object.name, toJson(suspect.value())};
}

std::vector<Record> PartRecordSource::wanted() const {
  std::vector<Record> records;
  for (const PartSuspect& suspect : ledger_.suspects()) {
    records.push_back({toString(suspect.part), toJson(suspect)});
  }
  return records;
}

std::optional<Record> PartRecordSource::find(const std::string& name) const {
  const auto part = parsePartFingerprint(name);
  if (!part || !ledger_.contains(*part)) {
    return std::nullopt;
  }
  return Record{name, toJson(ledger_.suspect(*part))};
}

Result<Record> PartRecordSource::merge(const store::Object& object) {
  const Result<PartSuspect> suspect = partSuspectFrom(object);
  if (!suspect) {
    return suspect.error();
  }
  static_cast<void>(ledger_.merge(suspect.value(), kUnknownCrashTime));
  return Record{object.name, toJson(suspect.value())};
}

}  // namespace calicodrift::quarantine
