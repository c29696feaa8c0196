#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "lease/lease_core.h"
#include "lease/lease_store.h"

namespace calicodrift::lease {

/// Drives one lease against a store, in the background on one thread.
class LeaseKeeper {
 public:
  /// @param mayAcquire called before each step; returns whether this node is a candidate.
  LeaseKeeper(boost::asio::any_io_executor executor, LeaseStore& store, std::string name,
              LeaseSettings settings, std::function<bool()> mayAcquire);

  void start();
  std::optional<FencingToken> token() const { return core_.token(monotonicNow()); }
  void onFenced(FencingToken highest) { core_.onFenced(highest); }
  /// Releases the lease at a planned stop, so that a successor need not wait for it to expire.
  boost::asio::awaitable<void> release();
  const std::optional<ObservedLease>& observed() const { return core_.observed(); }

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write(ObservedLease lease);

  boost::asio::any_io_executor executor_;
  LeaseStore& store_;
  std::string name_;
  Milliseconds pause_;
  LeaseCore core_;
  std::function<bool()> mayAcquire_;
  bool stopped_ = false;
};

}  // namespace calicodrift::lease
