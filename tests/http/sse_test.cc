#include "http/sse.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace calicodrift::testing {
namespace {

using http::SseEvent;

rc::Gen<std::string> lineText() {
  return rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab :{}\"\\0id")));
}

/// An event as a writer of this project may send it.
SseEvent arbitraryEvent() {
  SseEvent event;
  event.id = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab/12-")));
  event.event = *rc::gen::elementOf(std::vector<std::string>{"", "error"});
  event.data = "x" + *lineText();
  return event;
}

/// Feeds `bytes` in pieces that end at arbitrary places.
std::vector<SseEvent> readInPieces(std::string_view bytes) {
  http::SseReader reader;
  std::vector<SseEvent> events;
  while (!bytes.empty()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
    reader.feed(bytes.substr(0, size));
    bytes.remove_prefix(size);
    while (const auto event = reader.next()) {
      events.push_back(*event);
    }
  }
  return events;
}

BOOST_AUTO_TEST_CASE(bytesCutAnywhereGiveTheSameEvents) {
  const bool holds = rc::check("events survive any cut of the bytes", [] {
    const auto count = *rc::gen::inRange(0, 8);
    const bool carriageReturns = *rc::gen::arbitrary<bool>();
    std::vector<SseEvent> sent;
    std::string bytes;
    for (int index = 0; index < count; ++index) {
      sent.push_back(arbitraryEvent());
      for (const char character : http::formatSse(sent.back())) {
        bytes += carriageReturns && character == '\n' ? "\r\n" : std::string(1, character);
      }
    }
    const std::vector<SseEvent> received = readInPieces(bytes);
    RC_ASSERT(received.size() == sent.size());
    RC_ASSERT(std::equal(sent.begin(), sent.end(), received.begin()));
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(arbitraryBytesNeverGiveMoreThanTheyHold) {
  const bool holds = rc::check("no event from nothing, no byte twice", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::elementOf(std::string("\n\r: diatevn\0x", 13)));
    std::size_t taken = 0;
    for (const SseEvent& event : readInPieces(bytes)) {
      taken += event.id.size() + event.event.size() + event.data.size();
    }
    RC_ASSERT(taken <= bytes.size());
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(anIdAloneBelongsToNoLaterEvent) {
  http::SseReader reader;
  reader.feed("id: a/1\n\ndata: one\n\ndata:\ndata: two\n\n");
  BOOST_TEST(reader.next()->id.empty());
  BOOST_TEST(reader.next()->data == "\ntwo");
}

}  // namespace
}  // namespace calicodrift::testing
