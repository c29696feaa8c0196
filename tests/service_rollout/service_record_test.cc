#include "service_rollout/service_record.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>

namespace calicodrift::service_rollout {
namespace {

namespace json = boost::json;

ServiceRecord bakingRecord() {
  ServiceRecord record;
  record.service = "quotes";
  record.stable = SoftwareVersion("1");
  record.candidate = SoftwareVersion("2");
  record.phase = Phase::kBaking;
  record.order = store::Revision(10);
  record.revision = store::Revision(11);
  return record;
}

ServiceRecord rolledBackRecord() {
  ServiceRecord record = bakingRecord();
  record.phase = Phase::kSteady;
  record.candidate = SoftwareVersion();
  record.outcome = OrderState::kRolledBack;
  record.outcomeTarget = SoftwareVersion("2");
  return record;
}

void expectSameAfterRoundTrip(const ServiceRecord& record) {
  const Result<ServiceRecord> read = toRecord(toObject(record));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read.value() == record));
}

void expectUnreadable(const store::Object& object) {
  const Result<ServiceRecord> read = toRecord(object);
  BOOST_REQUIRE(!read);
  BOOST_TEST((read.error().kind == ErrorKind::kProtocolViolation));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(service_record)

BOOST_AUTO_TEST_CASE(aRecordIsTheSameAfterARoundTrip) {
  expectSameAfterRoundTrip(bakingRecord());
  expectSameAfterRoundTrip(rolledBackRecord());
  ServiceRecord shifting = bakingRecord();
  shifting.phase = Phase::kShifting;
  shifting.order = store::Revision(std::numeric_limits<std::uint64_t>::max());
  expectSameAfterRoundTrip(shifting);
}

BOOST_AUTO_TEST_CASE(theObjectIsNamedByItsServiceAndConditionalOnTheRevision) {
  const store::Object object = toObject(bakingRecord());
  BOOST_TEST(object.name == "quotes");
  BOOST_TEST(object.revision.value() == 11U);
}

BOOST_AUTO_TEST_CASE(anObjectThatLacksAnyFieldIsUnreadable) {
  const store::Object whole = toObject(bakingRecord());
  for (const json::key_value_pair& field : whole.spec.as_object()) {
    if (field.key() == "orderEra") {
      continue;
    }
    BOOST_TEST_CONTEXT("without " << field.key()) {
      store::Object object = whole;
      object.spec.as_object().erase(field.key());
      expectUnreadable(object);
    }
  }
}

// Builds from before the eras of the store write no era and read the number alone.
BOOST_AUTO_TEST_CASE(recordsOfEarlierBuildsHaveTheEraOfTheirObject) {
  ServiceRecord record = bakingRecord();
  record.order = store::makeRevision(store::Era(3), 10);
  record.revision = store::makeRevision(store::Era(3), 11);
  store::Object object = toObject(record);
  BOOST_TEST(object.spec.at("order").to_number<std::uint64_t>() == 10U);
  object.spec.as_object().erase("orderEra");
  BOOST_TEST((toRecord(object).value() == record));
  object.spec.as_object()["order"] = 0;
  BOOST_TEST((toRecord(object).value().order == store::Revision()));
}

BOOST_AUTO_TEST_CASE(anObjectWithAFieldOfAnotherTypeIsUnreadable) {
  const store::Object whole = toObject(bakingRecord());
  for (const json::key_value_pair& field : whole.spec.as_object()) {
    BOOST_TEST_CONTEXT("wrong " << field.key()) {
      store::Object object = whole;
      object.spec.as_object()[field.key()] = json::array{};
      expectUnreadable(object);
    }
  }
}

BOOST_AUTO_TEST_CASE(anObjectThatIsNoJsonObjectIsUnreadable) {
  store::Object object;
  object.name = "quotes";
  expectUnreadable(object);
  object.spec = "steady";
  expectUnreadable(object);
}

BOOST_AUTO_TEST_CASE(anUnknownPhaseOrOutcomeIsUnreadable) {
  store::Object object = toObject(bakingRecord());
  object.spec.as_object()["phase"] = "resting";
  expectUnreadable(object);
  object = toObject(bakingRecord());
  object.spec.as_object()["outcome"] = "lost";
  expectUnreadable(object);
}

BOOST_AUTO_TEST_CASE(anOrderRevisionThatIsNoWholeNumberIsUnreadable) {
  store::Object object = toObject(bakingRecord());
  object.spec.as_object()["order"] = -1;
  expectUnreadable(object);
  object.spec.as_object()["order"] = 1.5;
  expectUnreadable(object);
}

BOOST_AUTO_TEST_CASE(aRecordWithoutTheVersionsOfItsPhaseIsUnreadable) {
  ServiceRecord record = bakingRecord();
  record.candidate = SoftwareVersion();
  expectUnreadable(toObject(record));
  record = bakingRecord();
  record.stable = SoftwareVersion();
  expectUnreadable(toObject(record));
  record = rolledBackRecord();
  record.candidate = SoftwareVersion("2");
  expectUnreadable(toObject(record));
}

BOOST_AUTO_TEST_CASE(theKeyDiffersByServiceCandidateAndRevision) {
  const ServiceRecord record = bakingRecord();
  ServiceRecord other = record;
  BOOST_TEST((keyOf(other) == keyOf(record)));
  other.service = "tags";
  BOOST_TEST((keyOf(other) != keyOf(record)));
  other = record;
  other.candidate = SoftwareVersion("3");
  BOOST_TEST((keyOf(other) != keyOf(record)));
  other = record;
  other.order = store::Revision(12);
  BOOST_TEST((keyOf(other) != keyOf(record)));
}

BOOST_AUTO_TEST_CASE(theKeyStaysTheSameOverPhasesAndWritesOfTheRecord) {
  const ServiceRecord record = bakingRecord();
  ServiceRecord later = record;
  later.phase = Phase::kShifting;
  later.revision = store::Revision(30);
  BOOST_TEST((keyOf(later) == keyOf(record)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
