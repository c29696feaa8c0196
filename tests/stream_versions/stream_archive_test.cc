#include "stream_versions/stream_archive.h"

#include <prometheus/registry.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

#include "log/log.h"

namespace calicodrift::stream_versions {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v1.1");

/// Objects of one kind with conditional writes, in memory.
class MemoryStore : public store::ObjectStore {
 public:
  template <typename Value>
  using Answer = awaitable<Result<Value>>;

  Answer<store::Listing> list(std::string /*kind*/) override {
    store::Listing listing;
    for (const auto& [name, object] : objects) {
      listing.objects.push_back(object);
    }
    co_return listing;
  }
  Answer<store::ChangeBatch> watch(std::string /*kind*/, store::Revision /*since*/,
                                   Milliseconds /*wait*/) override {
    co_return fail(ErrorKind::kStoreUnavailable, "not used");
  }
  Answer<store::Object> get(std::string /*kind*/, std::string name) override {
    const auto found = objects.find(name);
    if (found == objects.end()) {
      co_return fail(ErrorKind::kNotFound, "there is none");
    }
    co_return found->second;
  }
  Answer<store::Revision> put(std::string /*kind*/, store::Object object) override {
    ++writes;
    if (failures > 0) {
      --failures;
      co_return fail(ErrorKind::kStoreUnavailable, "away");
    }
    const auto found = objects.find(object.name);
    const store::Revision known =
        found == objects.end() ? store::Revision() : found->second.revision;
    if (known != object.revision) {
      co_return fail(ErrorKind::kVersionConflict, "another revision");
    }
    object.revision = store::Revision(++revision);
    objects[object.name] = object;
    if (losesAnswers) {
      co_return fail(ErrorKind::kOutcomeUnknown, "the answer was lost");
    }
    co_return object.revision;
  }
  Answer<store::Revision> putStatus(std::string /*kind*/, store::Object /*object*/) override {
    co_return fail(ErrorKind::kStoreUnavailable, "not used");
  }

  std::map<std::string, store::Object> objects;
  std::uint64_t revision = 0;
  std::size_t writes = 0;
  int failures = 0;
  bool losesAnswers = false;
};

struct Fixture {
  Fixture() { log::silence(); }

  std::unique_ptr<StreamArchive> makeArchive(std::size_t writer) {
    return std::make_unique<StreamArchive>(StreamArchiveContext{
        context.get_executor(), store, "streams", metrics, [writer] { return writer; }});
  }
  /// Starts a node's archive and returns what it reads.
  std::vector<ArchivedRecord> start(StreamArchive& archive) {
    std::vector<ArchivedRecord> records;
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
          const Result<Archived> read = co_await archive.read();
          BOOST_REQUIRE(read.has_value());
          records = read.value().records;
          history = read.value().history;
        },
        asio::detached);
    runFor(Milliseconds(10));
    return records;
  }
  void runFor(Milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  /// The streams that a node which starts now would know.
  std::set<StreamKey> archived() {
    const std::unique_ptr<StreamArchive> reader = makeArchive(kArchiveWriters - 1);
    std::set<StreamKey> streams;
    for (const ArchivedRecord& record : start(*reader)) {
      streams.insert(record.stream);
    }
    return streams;
  }

  asio::io_context context;
  prometheus::Registry registry;
  StreamVersionMetrics metrics{registry};
  MemoryStore store;
  /// As the last node that started has read it.
  ArchivedHistory history;
};

BOOST_FIXTURE_TEST_SUITE(stream_archive, Fixture)

BOOST_AUTO_TEST_CASE(segmentIsReadAsItWasWritten) {
  ArchiveSegment segment;
  segment.sequence = 7;
  segment.records = {{StreamKey(1), kOld}, {StreamKey(~0ULL), kNew}, {StreamKey(3), kOld}};
  const Result<ArchiveSegment> read = segmentFromJson(toJson(segment));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().sequence == 7U);
  BOOST_TEST(read.value().records.size() == 3U);
  for (const ArchivedRecord& record : segment.records) {
    BOOST_TEST(std::count(read.value().records.begin(), read.value().records.end(), record) == 1);
  }
  for (const char* foreign :
       {"null", "7", "[]", "{}", R"({"sequence":-1,"versions":{}})", R"({"sequence":1})",
        R"({"sequence":1,"versions":{"v1":["x"]}})", R"({"sequence":1,"versions":{"v1":"1"}})",
        R"({"sequence":1,"versions":{"v1":["11112222333344445"]}})"}) {
    BOOST_TEST(!segmentFromJson(json::parse(foreign)), foreign);
  }
}

/// Guards against streams whose version nobody knows any more once all nodes are lost.
BOOST_AUTO_TEST_CASE(nodesThatStartKnowWhatWasAddedBefore) {
  const auto archive = makeArchive(0);
  start(*archive);
  archive->add(StreamKey(1), kOld);
  runFor(Milliseconds(10));
  BOOST_TEST(store.writes == 1U, "the first record waits for no other");
  archive->add(StreamKey(2), kNew);
  archive->add(StreamKey(3), kNew);
  runFor(StreamArchive::kWriteInterval + Milliseconds(30));
  BOOST_TEST(store.writes == 2U);
  const auto other = makeArchive(0);
  const std::vector<ArchivedRecord> records = start(*other);
  BOOST_REQUIRE(records.size() == 3U);
  for (const ArchivedRecord& record : records) {
    BOOST_TEST((record.version == (record.stream == StreamKey(1) ? kOld : kNew)));
  }
}

BOOST_AUTO_TEST_CASE(historyIsReadAsItWasWrittenByWhicheverRoot) {
  const auto first = makeArchive(0);
  const auto second = makeArchive(1);
  start(*first);
  start(*second);
  const WallTime left{Milliseconds(1'700'000'000'000)};
  first->setHistory({{"llm", {{kOld, std::nullopt}, {kNew, std::nullopt}}}});
  runFor(Milliseconds(100));
  const ArchivedHistory wanted{{"llm", {{kOld, left}, {kNew, std::nullopt}}},
                               {"app", {{kOld, left}}}};
  second->setHistory(wanted);
  runFor(Milliseconds(500));
  BOOST_TEST(start(*makeArchive(0)).empty());
  BOOST_TEST((history == wanted));
  for (const char* foreign : {"null", "{}", R"({"services":[]})", R"({"services":{"a":7}})",
                              R"({"services":{"a":{"v1":"then"}}})"}) {
    BOOST_TEST(!historyFromJson(json::parse(foreign)), foreign);
  }
}

/// Guards against a node that, started again, writes over what it wrote last.
BOOST_AUTO_TEST_CASE(nodeThatStartsAgainReplacesItsOldestSegmentFirst) {
  for (std::uint64_t start = 0; start < 5; ++start) {
    const auto archive = makeArchive(0);
    this->start(*archive);
    archive->add(StreamKey(start), kOld);
    runFor(Milliseconds(10));
  }
  BOOST_TEST(archived().size() == 5U);
}

BOOST_AUTO_TEST_CASE(objectsAreAsManyAsTheRingHasHoweverLongItIsWritten) {
  for (std::uint64_t start = 0; start < 2 * kArchiveSlots; ++start) {
    const auto archive = makeArchive(1);
    this->start(*archive);
    archive->add(StreamKey(start), kOld);
    runFor(Milliseconds(3));
  }
  BOOST_TEST(store.objects.size() == kArchiveSlots);
  BOOST_TEST(archived().contains(StreamKey(2 * kArchiveSlots - 1)));
}

/// Two nodes may hold the same number for a moment, as roots are replaced.
BOOST_AUTO_TEST_CASE(writersWithOneNumberLoseNothing) {
  const auto first = makeArchive(0);
  const auto second = makeArchive(0);
  start(*first);
  start(*second);
  for (std::uint64_t number = 0; number < 20; ++number) {
    first->add(StreamKey(number), kOld);
    second->add(StreamKey(100 + number), kNew);
    runFor(StreamArchive::kWriteInterval);
  }
  runFor(Milliseconds(3000));
  BOOST_TEST(archived().size() == 40U);
}

BOOST_AUTO_TEST_CASE(recordsOutlastFailedWritesAndLostAnswers) {
  const auto archive = makeArchive(0);
  start(*archive);
  store.failures = 2;
  archive->add(StreamKey(1), kOld);
  runFor(Milliseconds(500));
  BOOST_TEST(archived().contains(StreamKey(1)));
  store.losesAnswers = true;
  archive->add(StreamKey(2), kOld);
  runFor(Milliseconds(200));
  store.losesAnswers = false;
  archive->add(StreamKey(3), kOld);
  runFor(Milliseconds(3000));
  const std::set<StreamKey> streams = archived();
  BOOST_TEST(streams.contains(StreamKey(2)));
  BOOST_TEST(streams.contains(StreamKey(3)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::stream_versions
