#include "service_rollout/service_record.h"

#include <array>
#include <boost/json.hpp>

#include "common/hashing.h"

namespace calicodrift::service_rollout {
namespace {

namespace json = boost::json;

constexpr std::array kPhases{Phase::kSteady, Phase::kBaking, Phase::kShifting};
constexpr std::array kStates{OrderState::kNew, OrderState::kRunning, OrderState::kCompleted,
                             OrderState::kRolledBack};

std::string textIn(const json::object& object, std::string_view name) {
  return json::value_to<std::string>(object.at(name));
}

/// Returns the value whose text form is `text`.
template <typename Values>
Result<typename Values::value_type> valueNamed(const Values& values, const std::string& text) {
  for (const auto value : values) {
    if (toString(value) == text) {
      return value;
    }
  }
  return fail(ErrorKind::kProtocolViolation, "unknown value '" + text + "'");
}

/// Checks that the fields are consistent, as nodes route requests by them.
Result<void> checkConsistent(const ServiceRecord& record) {
  const bool inProgress = record.phase != Phase::kSteady;
  if (record.stable.value().empty() || inProgress == record.candidate.value().empty()) {
    return fail(ErrorKind::kProtocolViolation,
                "record '" + record.service + "' has versions that don't match its phase");
  }
  return boost::outcome_v2::success();
}

Result<ServiceRecord> readFields(const store::Object& object) {
  const json::object& spec = object.spec.as_object();
  const Result<Phase> phase = valueNamed(kPhases, textIn(spec, "phase"));
  const Result<OrderState> outcome = valueNamed(kStates, textIn(spec, "outcome"));
  if (!phase) {
    return phase.error();
  }
  if (!outcome) {
    return outcome.error();
  }
  ServiceRecord record;
  record.service = object.name;
  record.stable = SoftwareVersion(textIn(spec, "stable"));
  record.candidate = SoftwareVersion(textIn(spec, "candidate"));
  record.phase = phase.value();
  const auto number = spec.at("order").to_number<std::uint64_t>();
  // Records of earlier builds have no era: theirs is that of the object.
  const json::value* era = spec.if_contains("orderEra");
  record.order = era == nullptr
                     ? store::withEra(store::Revision(number), store::eraOf(object.revision))
                     : store::makeRevision(store::Era(era->to_number<std::uint64_t>()), number);
  record.outcome = outcome.value();
  record.outcomeTarget = SoftwareVersion(textIn(spec, "outcomeTarget"));
  record.revision = object.revision;
  return record;
}

}  // namespace

std::string_view toString(Phase phase) {
  switch (phase) {
    case Phase::kSteady:
      return "steady";
    case Phase::kBaking:
      return "baking";
    case Phase::kShifting:
      return "shifting";
  }
  return "steady";
}

store::Object toObject(const ServiceRecord& record) {
  store::Object object;
  object.name = record.service;
  object.revision = record.revision;
  object.spec = json::object{{"stable", record.stable.value()},
                             {"candidate", record.candidate.value()},
                             {"phase", toString(record.phase)},
                             {"order", store::numberOf(record.order)},
                             {"orderEra", store::eraOf(record.order).value()},
                             {"outcome", toString(record.outcome)},
                             {"outcomeTarget", record.outcomeTarget.value()}};
  return object;
}

Result<ServiceRecord> toRecord(const store::Object& object) {
  if (object.specText) {
    return toRecord(store::parsed(object));
  }
  try {
    Result<ServiceRecord> record = readFields(object);
    if (!record) {
      return record.error();
    }
    const Result<void> consistent = checkConsistent(record.value());
    if (!consistent) {
      return consistent.error();
    }
    return record;
  } catch (const std::exception& exception) {
    return fail(ErrorKind::kProtocolViolation,
                "record '" + object.name + "' lacks a field: " + exception.what());
  }
}

OrderKey keyOf(const ServiceRecord& record) {
  const std::uint64_t versions =
      hashPair(hashBytes(record.service), hashBytes(record.candidate.value()));
  return OrderKey(hashPair(versions, record.order.value()));
}

}  // namespace calicodrift::service_rollout
