#pragma once

#include <functional>

#include "lease/lease_store.h"
#include "store/object_store.h"

namespace calicodrift::lease {

/// Stores leases in the shared object store, which outlives the nodes.
class ObjectStoreLeaseStore : public LeaseStore {
 public:
  /// Called for each read of a lease that cannot be decoded.
  using UnreadableListener = std::function<void(const store::Object&, const Error&)>;

  /// @param kind kind of the lease objects.
  ObjectStoreLeaseStore(store::ObjectStore& store, std::string kind,
                        UnreadableListener onUnreadable = nullptr)
      : store_(store), kind_(std::move(kind)), onUnreadable_(std::move(onUnreadable)) {}

  boost::asio::awaitable<Result<ObservedLease>> read(std::string name) override;
  boost::asio::awaitable<Result<object_api::ResourceVersion>> write(std::string name,
                                                                    ObservedLease lease) override;

 private:
  ObservedLease inEra(ObservedLease lease) const;

  store::ObjectStore& store_;
  std::string kind_;
  UnreadableListener onUnreadable_;
};

}  // namespace calicodrift::lease
