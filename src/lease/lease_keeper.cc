#include "lease/lease_keeper.h"

#include <boost/asio.hpp>

namespace calicodrift::lease {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Number of steps of the core per renewal interval.
constexpr int kStepsPerRenewal = 10;

}  // namespace

LeaseKeeper::LeaseKeeper(asio::any_io_executor executor, LeaseStore& store, std::string name,
                         LeaseSettings settings, std::function<bool()> mayAcquire)
    : executor_(std::move(executor)),
      store_(store),
      name_(std::move(name)),
      pause_(settings.renewInterval / kStepsPerRenewal),
      core_(std::move(settings)),
      mayAcquire_(std::move(mayAcquire)) {}

void LeaseKeeper::start() {
  asio::co_spawn(executor_, run(), asio::detached);
}

awaitable<void> LeaseKeeper::run() {
  asio::steady_timer timer(executor_);
  while (!stopped_) {
    const LeaseAction action = core_.next(monotonicNow(), mayAcquire_());
    if (action.step == LeaseStep::kRead) {
      co_await read();
    } else if (action.step == LeaseStep::kWrite) {
      co_await write(action.write);
    }
    timer.expires_after(pause_);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> LeaseKeeper::read() {
  Result<ObservedLease> observed = co_await store_.read(name_);
  if (observed) {
    core_.onRead(observed.value(), monotonicNow());
  } else {
    core_.onReadFailed(monotonicNow());
  }
}

awaitable<void> LeaseKeeper::write(ObservedLease lease) {
  Result<object_api::ResourceVersion> written = co_await store_.write(name_, lease);
  if (written) {
    core_.onWritten(lease, written.value(), monotonicNow());
  } else {
    core_.onWriteFailed(monotonicNow());
  }
}

awaitable<void> LeaseKeeper::release() {
  stopped_ = true;
  const std::optional<ObservedLease> released = core_.release(monotonicNow());
  if (released) {
    // If the reply is lost, the successor has to wait for the lease to expire; there is no other
    // effect.
    co_await write(*released);
  }
}

}  // namespace calicodrift::lease
