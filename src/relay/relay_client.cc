#include "relay/relay_client.h"

#include <algorithm>

#include "common/hashing.h"
#include "log/log.h"
#include "peer/http_call.h"

namespace calicodrift::relay {

using boost::asio::awaitable;

namespace {

/// Pause before a relay of an earlier build is asked again for what it does not know.
constexpr Milliseconds kUnknownPathRetry{10'000};
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

bool lacksSpec(const ViewObject& object) {
  return !object.removed && object.spec.empty();
}

/// Fills in the specs that came as updates of held texts.
Result<ViewReply> applyUpdates(PatchedViewReply reply, const HeldTexts& held) {
  std::vector<ViewObject>& objects = reply.view.objects;
  for (const SpecUpdate& update : reply.updates) {
    // Earlier builds may send several changes of an object, some of them with their specs.
    const auto object = std::find_if(objects.begin(), objects.end(), [&](const ViewObject& one) {
      return one.name == update.name && lacksSpec(one);
    });
    const auto base = held.find(update.name);
    const bool known = update.base == 0 || base != held.end();
    if (object == objects.end() || !known) {
      return fail(ErrorKind::kProtocolViolation, "a relay sent an update of another object");
    }
    const std::string_view text = update.base == 0 ? std::string_view() : *base->second;
    BOOST_OUTCOME_TRY(object->spec, applyUpdate(text, update));
  }
  if (std::any_of(objects.begin(), objects.end(), lacksSpec)) {
    return fail(ErrorKind::kProtocolViolation, "a relay sent an object without its spec");
  }
  return std::move(reply.view);
}

}  // namespace

awaitable<Result<store::Listing>> RelayClient::list(Endpoint relay, std::string kind,
                                                    HeldTexts held) {
  ViewQuery query;
  query.kind = std::move(kind);
  query.listing = true;
  Result<ViewReply> reply = co_await ask(std::move(relay), std::move(query), std::move(held));
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

awaitable<Result<SnapshotReply>> RelayClient::snapshot(Endpoint relay, std::string kind) {
  if (!knowsPath(relay, kSnapshotPath)) {
    Error error = fail(ErrorKind::kStoreUnavailable, "the relay sends no snapshots");
    error.reason = peer::kUnknownPath;
    co_return error;
  }
  ViewQuery query;
  query.kind = std::move(kind);
  query.listing = true;
  query.follower = settings_.node.value();
  Result<SnapshotReply> reply =
      co_await peer::callPeer<SnapshotReply>(client_, relay, kSnapshotPath, std::move(query),
                                             settings_.callTimeout, settings_.callTimeout);
  if (!reply) {
    if (reply.error().reason == peer::kUnknownPath) {
      avoidPath(relay, kSnapshotPath);
    }
    Error error = fail(ErrorKind::kStoreUnavailable, reply.error().detail);
    error.reason = reply.error().reason;
    co_return error;
  }
  const Result<void> served = checkOutcome(reply.value().outcome);
  if (!served) {
    co_return served.error();
  }
  co_return std::move(reply.value());
}

awaitable<Result<store::ChangeBatch>> RelayClient::watch(Endpoint relay, std::string kind,
                                                         store::Revision since, Milliseconds wait,
                                                         HeldTexts held) {
  ViewQuery query;
  query.kind = std::move(kind);
  query.since = since.value();
  query.waitMs = static_cast<std::uint32_t>((wait + kExtraWait).count());
  Result<ViewReply> reply = co_await ask(std::move(relay), std::move(query), std::move(held));
  if (!reply) {
    co_return reply.error();
  }
  store::ChangeBatch batch;
  batch.revision = store::Revision(reply.value().revision);
  batch.provenAfterAsked = Milliseconds(reply.value().provenAfterMs);
  batch.complete = reply.value().complete;
  for (const ViewObject& object : reply.value().objects) {
    batch.changes.push_back({toObjectOrUnreadable(object), object.removed});
  }
  co_return batch;
}

awaitable<Result<JoinReply>> RelayClient::join(Endpoint relay, bool probeOnly) {
  JoinRequest request{settings_.node.value(), settings_.endpoint, settings_.zone.value(), probeOnly,
                      static_cast<std::uint32_t>(settings_.maxChildren)};
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

bool RelayClient::knowsPath(const Endpoint& relay, std::string_view path) const {
  const auto avoided = avoidedPaths_.find({relay, path});
  return avoided == avoidedPaths_.end() || monotonicNow() >= avoided->second;
}

void RelayClient::avoidPath(const Endpoint& relay, std::string_view path) {
  avoidedPaths_[{relay, path}] = monotonicNow() + kUnknownPathRetry;
}

awaitable<Result<ViewReply>> RelayClient::ask(Endpoint relay, ViewQuery query, HeldTexts held) {
  query.follower = settings_.node.value();
  const Milliseconds headerTimeout = Milliseconds(query.waitMs) + settings_.callTimeout;
  Result<ViewReply> reply = fail(ErrorKind::kStoreUnavailable, "");
  if (knowsPath(relay, kPatchedViewPath)) {
    reply = co_await askForPatches(relay, query, std::move(held), headerTimeout);
  }
  if (!knowsPath(relay, kPatchedViewPath)) {
    query.since = store::numberOf(store::Revision(query.since));
    reply =
        co_await peer::callPeer<ViewReply>(client_, std::move(relay), kViewPath, std::move(query),
                                           settings_.callTimeout, headerTimeout);
  }
  if (!reply) {
    co_return fail(ErrorKind::kStoreUnavailable, reply.error().detail);
  }
  const Result<void> served = checkOutcome(reply.value().outcome);
  if (!served) {
    co_return served.error();
  }
  co_return std::move(reply.value());
}

awaitable<Result<ViewReply>> RelayClient::askForPatches(Endpoint relay, ViewQuery query,
                                                        HeldTexts held,
                                                        Milliseconds headerTimeout) {
  PatchedViewQuery patched;
  patched.query = std::move(query);
  for (const auto& [name, text] : held) {
    patched.held.push_back({name, hashBytes(*text)});
  }
  Result<PatchedViewReply> reply = co_await peer::callPeer<PatchedViewReply>(
      client_, relay, kPatchedViewPath, std::move(patched), settings_.callTimeout, headerTimeout);
  if (!reply) {
    if (reply.error().reason == peer::kUnknownPath) {
      avoidPath(relay, kPatchedViewPath);
    }
    co_return reply.error();
  }
  Result<ViewReply> view = applyUpdates(std::move(reply.value()), held);
  if (!view) {
    log::write(log::Level::kWarning, "relay_update_failed",
               {{"relay", relay.toString()}, {"cause", view.error().detail}});
    avoidPath(relay, kPatchedViewPath);
  }
  co_return view;
}

}  // namespace calicodrift::relay
