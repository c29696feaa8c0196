#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "lease/lease_record.h"

namespace calicodrift::lease {

/// Storage for lease records: any store with versions and conditional writes.
class LeaseStore {
 public:
  virtual ~LeaseStore() = default;
  /// Returns the current record; version 0 if there is none. Fails with kStoreUnavailable or
  /// kProtocolViolation.
  virtual boost::asio::awaitable<Result<ObservedLease>> read(std::string name) = 0;
  /// Writes if the stored version is still `lease.version`, and returns the new version. After any
  /// failure the write may have been applied.
  virtual boost::asio::awaitable<Result<object_api::ResourceVersion>> write(
      std::string name, ObservedLease lease) = 0;
};

}  // namespace calicodrift::lease
