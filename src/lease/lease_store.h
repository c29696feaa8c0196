#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "lease/lease_record.h"

namespace calicodrift::lease {

/// Where lease records are kept: any store with versions and conditional writes.
class LeaseStore {
 public:
  virtual ~LeaseStore() = default;
  /// The record as it is now; version 0 where there is none. Fails with kStoreUnavailable or
  /// kProtocolViolation.
  virtual boost::asio::awaitable<Result<ObservedLease>> read(std::string name) = 0;
  /// Writes if the stored version is still `lease.version`, and gives the new version. After any
  /// failure the write may have taken effect.
  virtual boost::asio::awaitable<Result<object_api::ResourceVersion>> write(
      std::string name, ObservedLease lease) = 0;
};

}  // namespace calicodrift::lease
