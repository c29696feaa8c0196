#include "lease/object_api_lease_store.h"

namespace calicodrift::lease {

using boost::asio::awaitable;

ObjectApiLeaseStore::ObjectApiLeaseStore(http::Client& client, std::vector<Endpoint> stores)
    : client_(client), stores_(std::move(stores)) {}

awaitable<Result<ObservedLease>> ObjectApiLeaseStore::read(std::string name) {
  if (stores_.empty()) {
    co_return fail(ErrorKind::kStoreUnavailable, "no object API is configured");
  }
  object_api::ObjectApiClient api(client_, store());
  Result<object_api::StoredObject> object = co_await api.get(std::string(kLeaseKind), name);
  if (object) {
    Result<LeaseRecord> record = leaseRecordFromJson(object.value().spec);
    if (record) {
      co_return ObservedLease{object.value().version, record.value()};
    }
    ++storeIndex_;
    co_return record.error();
  }
  if (object.error().kind == ErrorKind::kNotFound) {
    co_return ObservedLease{};
  }
  ++storeIndex_;
  co_return object.error();
}

awaitable<Result<object_api::ResourceVersion>> ObjectApiLeaseStore::write(std::string name,
                                                                          ObservedLease lease) {
  if (stores_.empty()) {
    co_return fail(ErrorKind::kStoreUnavailable, "no object API is configured");
  }
  object_api::ObjectApiClient api(client_, store());
  object_api::StoredObject object{std::string(kLeaseKind), std::move(name), lease.version,
                                  toJson(lease.record)};
  Result<object_api::StoredObject> written = co_await api.put(std::move(object));
  if (!written) {
    co_return written.error();
  }
  co_return written.value().version;
}

}  // namespace calicodrift::lease
