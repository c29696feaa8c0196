#include "gateway/weights_floor.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/weights_schema.h"

namespace calicodrift::gateway {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

const ModelId kFirst("a");
const ModelId kSecond("b");
constexpr weights::WeightsTerms kTerms{Milliseconds(6000), Milliseconds(7500)};

/// Keeps floors by object, answers writes after a time, and refuses those of older revisions.
class SlowStore : public store::ObjectStore {
 public:
  explicit SlowStore(asio::io_context& context) : context_(context) {}

  awaitable<Result<store::Listing>> list(std::string /*kind*/) override {
    co_return fail(ErrorKind::kStoreUnavailable, "");
  }
  awaitable<Result<store::ChangeBatch>> watch(std::string /*kind*/, store::Revision /*since*/,
                                              Milliseconds /*wait*/) override {
    co_return fail(ErrorKind::kStoreUnavailable, "");
  }
  awaitable<Result<store::Object>> get(std::string /*kind*/, std::string /*name*/) override {
    co_return fail(ErrorKind::kNotFound, "");
  }
  awaitable<Result<store::Revision>> put(std::string /*kind*/, store::Object /*object*/) override {
    co_return fail(ErrorKind::kStoreUnavailable, "");
  }
  awaitable<Result<store::Revision>> putStatus(std::string /*kind*/,
                                               store::Object object) override {
    asio::steady_timer timer(context_, Milliseconds(400));
    co_await timer.async_wait(asio::use_awaitable);
    StoredWeights& stored = objects[ModelId(object.name)];
    if (stored.revision != object.revision) {
      co_return fail(ErrorKind::kVersionConflict, "");
    }
    write(object.name, WeightsVersion(object.status.to_number<std::uint64_t>()));
    co_return stored.revision;
  }
  void write(const std::string& name, WeightsVersion floor) {
    StoredWeights& stored = objects[ModelId(name)];
    floorFell = floorFell || floor < stored.floor;
    stored = {name, store::Revision(stored.revision.value() + 1), floor};
  }

  std::map<ModelId, StoredWeights> objects;
  bool floorFell = false;

 private:
  asio::io_context& context_;
};

/// While the floor of one model is written, another node writes a higher one of the next model than
/// this node had looked up.
BOOST_AUTO_TEST_CASE(floorOnlyRisesThoughWritesOfSeveralModelsAreSlow) {
  asio::io_context context;
  SlowStore store(context);
  const WeightsSchema schema;
  const MonotonicTime now = monotonicNow();
  weights::WeightsTargets targets(kTerms, now);
  targets.addObserved(kFirst, WeightsVersion(2), now - kTerms.send);
  targets.addObserved(kSecond, WeightsVersion(2), now - kTerms.send);
  // Its term ends a moment after the recorder's look.
  targets.addObserved(kSecond, WeightsVersion(3), now - kTerms.send + Milliseconds(150));
  store.write("a", WeightsVersion());
  store.write("b", WeightsVersion());
  WeightsFloorRecorder recorder(
      {context.get_executor(), store, schema, targets,
       [&store]() -> const std::map<ModelId, StoredWeights>& { return store.objects; },
       [] { return true; }},
      0);
  recorder.start();
  context.run_for(Milliseconds(250));
  store.write("b", WeightsVersion(3));
  context.run_for(Milliseconds(1000));
  BOOST_TEST((store.objects[kFirst].floor == WeightsVersion(2)));
  BOOST_TEST(!store.floorFell);
}

}  // namespace
}  // namespace calicodrift::gateway
