#include "relay/relay_server.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "peer/http_call.h"

namespace calicodrift::relay {

using boost::asio::awaitable;

namespace {

/// How long a query waits for this node's first state, as when many nodes start together. Shorter
/// than a child's timeout.
constexpr Milliseconds kFirstStateTimeout{300};
/// Upper bound on the wait that a child may request.
constexpr Milliseconds kMaxWait{30'000};
/// Interval at which a query looks whether a snapshot that is being made is complete.
constexpr Milliseconds kSnapshotWait{50};

ViewReply toReply(const SnapshotView& view, MonotonicTime arrived) {
  ViewReply reply;
  reply.outcome = ViewOutcome::kServed;
  reply.revision = view.changes.revision.value();
  reply.provenAfterMs = std::chrono::floor<Milliseconds>(view.provenAt - arrived).count();
  for (const store::Change& change : view.changes.changes) {
    reply.objects.push_back(toMessage(change.object, change.removed));
  }
  return reply;
}

}  // namespace

awaitable<void> RelayServer::handle(http::Request& request, http::ResponseWriter& writer) {
  if (request.target == kPatchedViewPath) {
    co_await peer::answerPeer<PatchedViewQuery, PatchedViewReply>(
        request, writer,
        [this](PatchedViewQuery query) { return answerPatched(std::move(query)); });
    co_return;
  }
  if (request.target == kSnapshotPath) {
    co_await peer::answerPeer<ViewQuery, SnapshotReply>(
        request, writer, [this](ViewQuery query) { return answerSnapshot(std::move(query)); });
    co_return;
  }
  co_await peer::answerPeer<ViewQuery, ViewReply>(
      request, writer, [this](ViewQuery query) { return answerWithoutEra(std::move(query)); });
}

awaitable<ViewReply> RelayServer::answer(ViewQuery query) {
  const MonotonicTime arrived = monotonicNow();
  const MonotonicTime end = arrived + std::min(Milliseconds(query.waitMs), kMaxWait);
  const MonotonicTime firstStateEnd = arrived + kFirstStateTimeout;
  for (;;) {
    WatchCache* cache = caches_(query.kind);
    if (cache == nullptr || !admits_(query.follower)) {
      co_return ViewReply{};
    }
    if (!cache->known()) {
      if (monotonicNow() >= firstStateEnd) {
        co_return ViewReply{};
      }
      co_await cache->waitForNews(firstStateEnd);
      continue;
    }
    ViewReply reply = read(*cache, query, arrived);
    const bool news = query.listing || !reply.objects.empty() || reply.provenAfterMs > 0 ||
                      reply.outcome != ViewOutcome::kServed;
    if (news || monotonicNow() >= end) {
      co_return reply;
    }
    co_await cache->waitForNews(end);
  }
}

awaitable<ViewReply> RelayServer::answerWithoutEra(ViewQuery query) {
  if (const WatchCache* cache = caches_(query.kind)) {
    query.since = store::makeRevision(store::eraOf(cache->revision()), query.since).value();
  }
  ViewReply reply = co_await answer(std::move(query));
  reply.revision = store::numberOf(store::Revision(reply.revision));
  for (ViewObject& object : reply.objects) {
    object.revision = store::numberOf(store::Revision(object.revision));
  }
  co_return reply;
}

awaitable<PatchedViewReply> RelayServer::answerPatched(PatchedViewQuery query) {
  const std::string kind = query.query.kind;
  ViewReply view = co_await answer(std::move(query.query));
  WatchCache* cache = caches_(kind);
  if (cache == nullptr) {
    co_return PatchedViewReply{std::move(view), {}};
  }
  co_return withUpdates(std::move(view), query.held, cache->specTexts());
}

awaitable<SnapshotReply> RelayServer::answerSnapshot(ViewQuery query) {
  const MonotonicTime arrived = monotonicNow();
  const MonotonicTime firstStateEnd = arrived + kFirstStateTimeout;
  SnapshotReply reply;
  for (;;) {
    WatchCache* cache = caches_(query.kind);
    if (cache == nullptr || !admits_(query.follower)) {
      co_return reply;
    }
    if (const std::optional<SnapshotView> view = cache->snapshotView()) {
      reply.outcome = ViewOutcome::kServed;
      reply.snapshot = view->snapshot;
      reply.changes = toReply(*view, arrived);
      co_return reply;
    }
    if (cache->known()) {
      co_await makeSnapshot(query.kind, *cache);
    } else if (monotonicNow() >= firstStateEnd) {
      co_return reply;
    } else {
      co_await cache->waitForNews(firstStateEnd);
    }
  }
}

awaitable<void> RelayServer::makeSnapshot(std::string kind, WatchCache& cache) {
  if (!makingSnapshot_.insert(kind).second) {
    co_await cache.waitForNews(monotonicNow() + kSnapshotWait);
    co_return;
  }
  const store::Listing listing = cache.listing();
  auto snapshot = std::make_shared<ListingSnapshot>();
  snapshot->revision = listing.revision.value();
  for (std::size_t first = 0; first < listing.objects.size(); first += kObjectsPerPart) {
    snapshot->parts.push_back(encodePart(listing.objects, first));
    co_await boost::asio::post(co_await boost::asio::this_coro::executor,
                               boost::asio::use_awaitable);
  }
  makingSnapshot_.erase(kind);
  cache.keepSnapshot(std::move(snapshot));
}

PatchedViewReply RelayServer::withUpdates(ViewReply view, const std::vector<HeldSpec>& held,
                                          SpecTexts& texts) {
  PatchedViewReply reply;
  for (ViewObject& object : view.objects) {
    const SharedText text = texts.newest(object.name);
    if (object.removed || !text || *text != object.spec) {
      continue;
    }
    const auto known = std::find_if(held.begin(), held.end(), [&object](const HeldSpec& spec) {
      return spec.name == object.name;
    });
    reply.updates.push_back(texts.updateFrom(object.name, known == held.end() ? 0 : known->hash));
    object.spec.clear();
  }
  reply.view = std::move(view);
  return reply;
}

ViewReply RelayServer::read(const WatchCache& cache, const ViewQuery& query,
                            MonotonicTime arrived) {
  ViewReply reply;
  reply.outcome = ViewOutcome::kServed;
  reply.provenAfterMs = std::chrono::floor<Milliseconds>(cache.provenAt() - arrived).count();
  if (query.listing) {
    const store::Listing listing = cache.listing();
    reply.revision = listing.revision.value();
    for (const store::Object& object : listing.objects) {
      reply.objects.push_back(toMessage(object, false));
    }
    return reply;
  }
  const Result<store::ChangeBatch> changes = cache.changesSince(store::Revision(query.since));
  if (!changes) {
    reply.outcome = ViewOutcome::kCompacted;
    return reply;
  }
  reply.revision = changes.value().revision.value();
  reply.complete = changes.value().complete;
  for (const store::Change& change : changes.value().changes) {
    reply.objects.push_back(toMessage(change.object, change.removed));
  }
  return reply;
}

}  // namespace calicodrift::relay
