#include "lease/object_store_lease_store.h"

#include <boost/json.hpp>

namespace calicodrift::lease {

using boost::asio::awaitable;

awaitable<Result<ObservedLease>> ObjectStoreLeaseStore::read(std::string name) {
  Result<store::Object> object = co_await store_.get(kind_, std::move(name));
  if (!object) {
    if (object.error().kind == ErrorKind::kNotFound) {
      co_return inEra({});
    }
    co_return object.error();
  }
  const object_api::ResourceVersion version(object.value().revision.value());
  Result<LeaseRecord> record = leaseRecordFromJson(boost::json::serialize(object.value().spec));
  if (record) {
    co_return inEra({version, record.value()});
  }
  if (onUnreadable_) {
    onUnreadable_(object.value(), record.error());
  }
  if (version.value() == 0) {
    // An object without a revision cannot be overwritten conditionally.
    co_return record.error();
  }
  co_return inEra(unreadableLease(version));
}

ObservedLease ObjectStoreLeaseStore::inEra(ObservedLease lease) const {
  lease.era = store_.era();
  lease.eraSeenAt = store_.eraSeenAt();
  return lease;
}

awaitable<Result<object_api::ResourceVersion>> ObjectStoreLeaseStore::write(std::string name,
                                                                            ObservedLease lease) {
  store::Object object;
  object.name = std::move(name);
  object.revision = store::Revision(lease.version.value());
  object.spec = boost::json::parse(toJson(lease.record));
  Result<store::Revision> written = co_await store_.put(kind_, std::move(object));
  if (!written) {
    co_return written.error();
  }
  co_return object_api::ResourceVersion(written.value().value());
}

}  // namespace calicodrift::lease
