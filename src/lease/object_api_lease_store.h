#pragma once

#include <vector>

#include "http/client.h"
#include "lease/lease_store.h"

namespace calicodrift::lease {

/// Kind of the lease objects in the object API.
inline constexpr std::string_view kLeaseKind = "leases";

/// Stores leases in the object API.
class ObjectApiLeaseStore : public LeaseStore {
 public:
  /// @param stores addresses of the same object API; the next one is used after a failure.
  ObjectApiLeaseStore(http::Client& client, std::vector<Endpoint> stores);

  boost::asio::awaitable<Result<ObservedLease>> read(std::string name) override;
  boost::asio::awaitable<Result<object_api::ResourceVersion>> write(std::string name,
                                                                    ObservedLease lease) override;

 private:
  const Endpoint& store() const { return stores_[storeIndex_ % stores_.size()]; }

  http::Client& client_;
  std::vector<Endpoint> stores_;
  std::size_t storeIndex_ = 0;
};

}  // namespace calicodrift::lease
