#include "relay/relay_client.h"

#include "peer/http_call.h"

namespace calicodrift::relay {

using boost::asio::awaitable;

namespace {

/// Added to the wait of a watch: the relay's own watch has the same wait but ends a little later,
/// and its end proves that the view is current.
constexpr Milliseconds kExtraWait{150};

Result<void> checkOutcome(ViewOutcome outcome) {
  switch (outcome) {
    case ViewOutcome::kServed:
      return boost::outcome_v2::success();
    case ViewOutcome::kCompacted:
      return fail(ErrorKind::kVersionConflict,
                  "the relay no longer has the changes since the requested revision");
    case ViewOutcome::kNotServing:
      break;
  }
  return fail(ErrorKind::kStoreUnavailable, "the relay does not serve this node");
}

}  // namespace

awaitable<Result<store::Listing>> RelayClient::list(Endpoint relay, std::string kind) {
  ViewQuery query;
  query.kind = std::move(kind);
  query.listing = true;
  Result<ViewReply> reply = co_await ask(std::move(relay), std::move(query));
  if (!reply) {
    co_return reply.error();
  }
  store::Listing listing;
  listing.revision = store::Revision(reply.value().revision);
  listing.provenAfterAsked = Milliseconds(reply.value().provenAfterMs);
  for (const ViewObject& object : reply.value().objects) {
    listing.objects.push_back(toObjectOrUnreadable(object));
  }
  co_return listing;
}

awaitable<Result<store::ChangeBatch>> RelayClient::watch(Endpoint relay, std::string kind,
                                                         store::Revision since, Milliseconds wait) {
  ViewQuery query;
  query.kind = std::move(kind);
  query.since = since.value();
  query.waitMs = static_cast<std::uint32_t>((wait + kExtraWait).count());
  Result<ViewReply> reply = co_await ask(std::move(relay), std::move(query));
  if (!reply) {
    co_return reply.error();
  }
  store::ChangeBatch batch;
  batch.revision = store::Revision(reply.value().revision);
  batch.provenAfterAsked = Milliseconds(reply.value().provenAfterMs);
  for (const ViewObject& object : reply.value().objects) {
    batch.changes.push_back({toObjectOrUnreadable(object), object.removed});
  }
  co_return batch;
}

awaitable<Result<JoinReply>> RelayClient::join(Endpoint relay, bool probeOnly) {
  JoinRequest request{settings_.node.value(), settings_.endpoint, settings_.zone.value(),
                      probeOnly};
  co_return co_await peer::callPeer<JoinReply>(client_, std::move(relay), kJoinPath,
                                               std::move(request), settings_.joinTimeout,
                                               settings_.joinTimeout);
}

awaitable<bool> RelayClient::sendRoots(Endpoint root, RelayList list) {
  const store::Revision revision = list.revision;
  const Result<RelayList> known =
      co_await peer::callPeer<RelayList>(client_, std::move(root), kRootsPath, std::move(list),
                                         settings_.joinTimeout, settings_.joinTimeout);
  co_return known ? known.value().revision >= revision
                  : known.error().reason == http::kConnectionRefused;
}

awaitable<Result<ViewReply>> RelayClient::ask(Endpoint relay, ViewQuery query) {
  query.follower = settings_.node.value();
  const Milliseconds headerTimeout = Milliseconds(query.waitMs) + settings_.callTimeout;
  Result<ViewReply> reply = co_await peer::callPeer<ViewReply>(
      client_, std::move(relay), kViewPath, std::move(query), settings_.callTimeout, headerTimeout);
  if (!reply) {
    co_return fail(ErrorKind::kStoreUnavailable, reply.error().detail);
  }
  const Result<void> served = checkOutcome(reply.value().outcome);
  if (!served) {
    co_return served.error();
  }
  co_return std::move(reply.value());
}

}  // namespace calicodrift::relay
