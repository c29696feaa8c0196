#include <boost/test/unit_test.hpp>

#include "relay/messages.h"
#include "relay/relay_core.h"

namespace calicodrift::relay {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};

/// A single root and the current time.
struct RootFixture {
  RootFixture() {
    settings.node = NodeId("n1");
    settings.endpoint = {"10.0.0.1", 80};
    settings.zone = ZoneId("z");
    settings.group = "z";
    core = std::make_unique<RelayCore>(settings, 7);
    BOOST_REQUIRE((nextStep().step == RelayStep::kReadList));
    core->onList(RelayList{}, now, now);
    BOOST_REQUIRE((nextStep().step == RelayStep::kWriteList));
    core->onListWritten(store::Revision(5), now);
    BOOST_REQUIRE((core->role() == RelayRole::kRoot));
  }

  /// The core's next step after its waits.
  RelayAction nextStep() {
    RelayAction action = core->next(now, now);
    while (action.step == RelayStep::kWait) {
      now = std::max(action.until, now + Milliseconds(1));
      action = core->next(now, now);
    }
    return action;
  }

  MonotonicTime now = kStart;
  RelaySettings settings;
  std::unique_ptr<RelayCore> core;
};

RelayList unreadableList(std::uint64_t revision) {
  RelayList list;
  list.revision = store::Revision(revision);
  list.readable = false;
  return list;
}

BOOST_FIXTURE_TEST_SUITE(unreadable_list, RootFixture)

BOOST_AUTO_TEST_CASE(rootRewritesAnUnreadableListAndStaysRoot) {
  BOOST_REQUIRE((nextStep().step == RelayStep::kReadList));
  core->onList(unreadableList(9), now, now);
  const RelayAction action = nextStep();
  BOOST_REQUIRE((action.step == RelayStep::kWriteList));
  BOOST_TEST(action.list.revision.value() == 9U);
  BOOST_TEST(action.list.contains(settings.endpoint));
  BOOST_TEST((core->role() == RelayRole::kRoot));
  core->onListWritten(store::Revision(10), now);
  BOOST_TEST((core->role() == RelayRole::kRoot));
}

BOOST_AUTO_TEST_CASE(writeConflictLeadsToAnotherRead) {
  BOOST_REQUIRE((nextStep().step == RelayStep::kReadList));
  core->onList(unreadableList(9), now, now);
  BOOST_REQUIRE((nextStep().step == RelayStep::kWriteList));
  core->onListWritten(std::nullopt, now);
  BOOST_TEST((nextStep().step == RelayStep::kReadList));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(relayed_objects)

BOOST_AUTO_TEST_CASE(objectThatIsNotJsonHasANullSpecAndKeepsItsName) {
  ViewObject message;
  message.name = "bad";
  message.revision = 7;
  message.deleting = true;
  message.spec = "{";
  const store::Object read = toObjectOrUnreadable(message);
  BOOST_TEST(read.name == "bad");
  BOOST_TEST(read.revision.value() == 7U);
  BOOST_TEST(read.deleting);
  BOOST_TEST(read.spec.is_null());
  message.spec = "{}";
  message.status = "{";
  BOOST_TEST(toObjectOrUnreadable(message).spec.is_null());
  message.status = "{}";
  BOOST_TEST(toObjectOrUnreadable(message).spec.is_object());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
