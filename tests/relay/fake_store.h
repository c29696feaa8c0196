#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <string>

#include "store/object_store.h"

namespace calicodrift::relay {

/// In-memory store with one revision counter, which can be made to fail.
class FakeStore : public store::ObjectStore {
 public:
  explicit FakeStore(boost::asio::io_context& context) : context_(context) {}

  void set(const std::string& kind, const std::string& name, const std::string& value) {
    setSpec(kind, name, boost::json::value(value));
  }
  void setSpec(const std::string& kind, const std::string& name, boost::json::value spec) {
    store::Object object;
    object.name = name;
    object.revision = store::Revision(++revision_);
    std::string text = boost::json::serialize(spec);
    if (text.size() >= store::kLargeSpecBytes) {
      object.specText = std::make_shared<const std::string>(std::move(text));
    } else {
      object.spec = std::move(spec);
    }
    objects_[kind][name] = object;
    history_.push_back({kind, {object, false}});
  }
  void remove(const std::string& kind, const std::string& name) {
    store::Object object = objects_[kind][name];
    object.revision = store::Revision(++revision_);
    objects_[kind].erase(name);
    history_.push_back({kind, {object, true}});
  }

  boost::asio::awaitable<Result<store::Listing>> list(std::string kind) override {
    ++calls;
    if (down) {
      co_return fail(ErrorKind::kStoreUnavailable, "down");
    }
    if (listDelay > Milliseconds(0)) {
      boost::asio::steady_timer timer(context_, listDelay);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    store::Listing listing;
    listing.revision = store::Revision(revision_);
    for (const auto& [name, object] : objects_[kind]) {
      listing.objects.push_back(object);
    }
    co_return listing;
  }
  boost::asio::awaitable<Result<store::ChangeBatch>> watch(std::string kind, store::Revision since,
                                                           Milliseconds wait) override {
    ++calls;
    const MonotonicTime end = monotonicNow() + wait;
    for (;;) {
      if (down) {
        co_return fail(ErrorKind::kStoreUnavailable, "down");
      }
      if (kind == forgottenKind) {
        forgottenKind.clear();
        co_return fail(ErrorKind::kVersionConflict, "the history is gone");
      }
      store::ChangeBatch batch = changesSince(kind, since);
      if (!batch.changes.empty() || monotonicNow() >= end) {
        co_return batch;
      }
      boost::asio::steady_timer timer(context_, Milliseconds(2));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }
  boost::asio::awaitable<Result<store::Object>> get(std::string kind, std::string name) override {
    ++calls;
    if (down) {
      co_return fail(ErrorKind::kStoreUnavailable, "down");
    }
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) {
      co_return fail(ErrorKind::kNotFound, "");
    }
    co_return found->second;
  }
  boost::asio::awaitable<Result<store::Revision>> put(std::string kind,
                                                      store::Object object) override {
    ++calls;
    if (down) {
      co_return fail(ErrorKind::kStoreUnavailable, "down");
    }
    const auto found = objects_[kind].find(object.name);
    const store::Revision known =
        found == objects_[kind].end() ? store::Revision() : found->second.revision;
    if (known != object.revision) {
      co_return fail(ErrorKind::kVersionConflict, "");
    }
    object.revision = store::Revision(++revision_);
    objects_[kind][object.name] = object;
    co_return object.revision;
  }
  boost::asio::awaitable<Result<store::Revision>> putStatus(std::string kind,
                                                            store::Object object) override {
    const auto found = objects_[kind].find(object.name);
    if (found == objects_[kind].end()) {
      co_return fail(ErrorKind::kNotFound, "");
    }
    store::Object changed = found->second;
    changed.revision = object.revision;
    changed.status = std::move(object.status);
    co_return co_await put(std::move(kind), std::move(changed));
  }
  const std::map<std::string, store::Object>& objects(const std::string& kind) {
    return objects_[kind];
  }

  bool down = false;
  /// The next watch of this kind finds that its history is gone.
  std::string forgottenKind;
  /// Delay before a listing is answered.
  Milliseconds listDelay{0};
  std::size_t calls = 0;

 private:
  struct Event {
    std::string kind;
    store::Change change;
  };
  store::ChangeBatch changesSince(const std::string& kind, store::Revision since) const {
    store::ChangeBatch batch;
    batch.revision = store::Revision(revision_);
    for (const Event& event : history_) {
      if (event.kind == kind && event.change.object.revision > since) {
        batch.changes.push_back(event.change);
      }
    }
    return batch;
  }

  boost::asio::io_context& context_;
  std::map<std::string, std::map<std::string, store::Object>> objects_;
  std::deque<Event> history_;
  std::uint64_t revision_ = 1;
};

}  // namespace calicodrift::relay
