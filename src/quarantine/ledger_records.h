#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "quarantine/crash_ledger.h"
#include "quarantine/part_ledger.h"
#include "quarantine/records.h"

/// Stored form of the evidence against requests and against parts of prompts.
namespace calicodrift::quarantine {

/// Fails with kProtocolViolation if the object was written by another program.
Result<Suspect> suspectFrom(const store::Object& object);
boost::json::value toJson(const Suspect& suspect);
/// Fails with kProtocolViolation if the object was written by another program.
Result<PartSuspect> partSuspectFrom(const store::Object& object);
boost::json::value toJson(const PartSuspect& suspect);

/// Records of requests, from the second crashed server on.
class RequestRecordSource : public RecordSource {
 public:
  explicit RequestRecordSource(CrashLedger& ledger) : ledger_(ledger) {}

  std::vector<Record> wanted() const override;
  std::optional<Record> find(const std::string& name) const override;
  Result<Record> merge(const store::Object& object) override;

  /// Few bystanders reach two runs, and one more bars the request.
  static constexpr std::size_t kMinRecordedCrashes = 2;

 private:
  CrashLedger& ledger_;
};

/// Records of parts of prompts that are suspect or barred.
class PartRecordSource : public RecordSource {
 public:
  explicit PartRecordSource(PartLedger& ledger) : ledger_(ledger) {}

  std::vector<Record> wanted() const override;
  std::optional<Record> find(const std::string& name) const override;
  Result<Record> merge(const store::Object& object) override;

 private:
  PartLedger& ledger_;
};

}  // namespace calicodrift::quarantine
