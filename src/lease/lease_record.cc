#include "lease/lease_record.h"

#include <boost/json.hpp>

namespace calicodrift::lease {

namespace json = boost::json;

namespace {

/// Leases last seconds. A record with a longer duration than this counts as malformed, because a
/// lease that does not expire in time would block the fleet.
constexpr Milliseconds kMaxDuration = std::chrono::minutes(10);
/// Leaves room for tokens to increase.
constexpr std::uint64_t kMaxToken = std::uint64_t{1} << 62U;
/// Holder of a record that cannot be decoded; no node has such an id.
constexpr std::string_view kUnknownHolder = "(unreadable)";

Result<void> checkRanges(const LeaseRecord& record) {
  const bool lasts = record.duration > Milliseconds(0) && record.duration <= kMaxDuration;
  if (!lasts || record.token.value() > kMaxToken) {
    return fail(ErrorKind::kProtocolViolation,
                "the duration or the token of the lease is out of range");
  }
  return boost::outcome_v2::success();
}

}  // namespace

std::string toJson(const LeaseRecord& record) {
  const json::object object{{"holderIdentity", record.holder},
                            {"leaseDurationMs", record.duration.count()},
                            {"leaseTransitions", record.token.value()},
                            {"renewal", record.renewal}};
  return json::serialize(object);
}

Result<LeaseRecord> leaseRecordFromJson(std::string_view text) {
  json::error_code code;
  const json::value document = json::parse(text, code);
  if (code) {
    return fail(ErrorKind::kProtocolViolation, "the lease is not JSON: " + code.message());
  }
  try {
    LeaseRecord record;
    record.holder = json::value_to<std::string>(document.at("holderIdentity"));
    record.duration = Milliseconds(document.at("leaseDurationMs").to_number<std::int64_t>());
    record.token = FencingToken(document.at("leaseTransitions").to_number<std::uint64_t>());
    record.renewal = document.at("renewal").to_number<std::uint64_t>();
    BOOST_OUTCOME_TRY(checkRanges(record));
    return record;
  } catch (const std::exception& exception) {
    return fail(ErrorKind::kProtocolViolation,
                std::string("a field of the lease is missing or malformed: ") + exception.what());
  }
}

ObservedLease unreadableLease(object_api::ResourceVersion version) {
  ObservedLease lease;
  lease.version = version;
  lease.record.holder = kUnknownHolder;
  lease.record.token = FencingToken(version.value());
  lease.readable = false;
  return lease;
}

}  // namespace calicodrift::lease
