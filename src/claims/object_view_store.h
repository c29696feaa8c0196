#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <vector>

#include "claims/view_store.h"
#include "http/client.h"

namespace calicodrift::claims {

/// Stores the current view as the object `claimviews/current` of the object API.
class ObjectViewStore : public ViewStore {
 public:
  ObjectViewStore(boost::asio::any_io_executor executor, http::Client& client,
                  std::vector<Endpoint> objectApi);

  void read(ReadDone done) override;
  void write(const VersionedView& view, std::function<void()> done) override;

 private:
  boost::asio::awaitable<void> readAny(ReadDone done);
  boost::asio::awaitable<void> writeAny(VersionedView view, std::function<void()> done);

  boost::asio::any_io_executor executor_;
  http::Client& client_;
  std::vector<Endpoint> objectApi_;
};

}  // namespace calicodrift::claims
