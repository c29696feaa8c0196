#include "claims/object_view_store.h"

#include <boost/asio.hpp>

namespace calicodrift::claims {
namespace {

namespace asio = boost::asio;
constexpr std::string_view kViewKind = "claimviews";
constexpr std::string_view kViewName = "current";

Result<VersionedView> toView(const Result<object_api::StoredObject>& object) {
  if (!object) {
    return object.error();
  }
  Result<ClaimView> view = claimViewFromJson(object.value().spec);
  if (!view) {
    return view.error();
  }
  return VersionedView{object.value().version, view.value()};
}

}  // namespace

ObjectViewStore::ObjectViewStore(asio::any_io_executor executor, http::Client& client,
                                 std::vector<Endpoint> objectApi)
    : executor_(std::move(executor)), client_(client), objectApi_(std::move(objectApi)) {}

void ObjectViewStore::read(ReadDone done) {
  asio::co_spawn(executor_, readAny(std::move(done)), asio::detached);
}

void ObjectViewStore::write(const VersionedView& view, std::function<void()> done) {
  asio::co_spawn(executor_, writeAny(view, std::move(done)), asio::detached);
}

asio::awaitable<void> ObjectViewStore::readAny(ReadDone done) {
  Result<VersionedView> view =
      fail(ErrorKind::kStoreUnavailable, "no object API endpoint is configured");
  for (const Endpoint& endpoint : objectApi_) {
    object_api::ObjectApiClient store(client_, endpoint);
    const Result<object_api::StoredObject> object =
        co_await store.get(std::string(kViewKind), std::string(kViewName));
    view = toView(object);
    if (view || view.error().kind != ErrorKind::kStoreUnavailable) {
      break;
    }
  }
  done(view);
}

asio::awaitable<void> ObjectViewStore::writeAny(VersionedView view, std::function<void()> done) {
  const object_api::StoredObject object{std::string(kViewKind), std::string(kViewName),
                                        view.version, toJson(view.view)};
  for (const Endpoint& endpoint : objectApi_) {
    object_api::ObjectApiClient store(client_, endpoint);
    const Result<object_api::StoredObject> written = co_await store.put(object);
    if (written || written.error().kind != ErrorKind::kStoreUnavailable) {
      break;
    }
  }
  done();
}

}  // namespace calicodrift::claims
