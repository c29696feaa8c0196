#include "relay/relay_server.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "peer/http_call.h"

namespace calicodrift::relay {

using boost::asio::awaitable;

namespace {

constexpr Milliseconds kTick{1};
/// Bound on what a follower may make this node wait.
constexpr Milliseconds kLongestWait{30'000};

}  // namespace

std::size_t RelayServer::followers(MonotonicTime now) const {
  return static_cast<std::size_t>(std::count_if(
      askedAt_.begin(), askedAt_.end(),
      [this, now](const auto& asked) { return now - asked.second <= settings_.followerTerm; }));
}

awaitable<void> RelayServer::handle(http::Request& request, http::ResponseWriter& writer) {
  co_await peer::answerPeer<ViewQuery, ViewReply>(
      request, writer, [this](ViewQuery query) { return answer(std::move(query)); });
}

awaitable<ViewReply> RelayServer::answer(ViewQuery query) {
  const MonotonicTime arrived = monotonicNow();
  const MonotonicTime end = arrived + std::min(Milliseconds(query.waitMs), kLongestWait);
  ViewReply refusal;
  for (;;) {
    const MonotonicTime now = monotonicNow();
    WatchCache* cache = caches_(query.kind);
    refusal.outcome = refusalOf(query, cache, now);
    if (refusal.outcome != ViewOutcome::kServed) {
      noteRefusal(refusal.outcome);
      co_return refusal;
    }
    askedAt_[query.follower] = now;
    ViewReply reply = read(*cache, query, arrived);
    const bool news = query.listing || !reply.objects.empty() || reply.provenAfterMs > 0 ||
                      reply.outcome != ViewOutcome::kServed;
    if (news || now >= end) {
      co_return reply;
    }
    // No longer than this node's own proof holds: a follower must not wait on a node that has lost
    // the store.
    co_await cache->waitForNews(std::min(end, cache->provenAt() + settings_.proofAge + kTick));
  }
}

void RelayServer::noteRefusal(ViewOutcome refusal) const {
  if (refusal == ViewOutcome::kNotServing && serving_ && sentAway_) {
    sentAway_();
  }
}

ViewOutcome RelayServer::refusalOf(const ViewQuery& query, const WatchCache* cache,
                                   MonotonicTime now) const {
  if (!serving_ || cache == nullptr || now - cache->provenAt() > settings_.proofAge) {
    return ViewOutcome::kNotServing;
  }
  const bool known = askedAt_.contains(query.follower);
  if (!known && followers(now) >= settings_.maxFollowers) {
    return ViewOutcome::kFull;
  }
  return ViewOutcome::kServed;
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
    reply.outcome = ViewOutcome::kForgotten;
    return reply;
  }
  reply.revision = changes.value().revision.value();
  for (const store::Change& change : changes.value().changes) {
    reply.objects.push_back(toMessage(change.object, change.removed));
  }
  return reply;
}

}  // namespace calicodrift::relay
