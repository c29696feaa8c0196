#include "config/relay.h"

#include <algorithm>
#include <array>

#include "peer/codec.h"

namespace calicodrift::config {
namespace {

/// A lost query is retried at this interval, this many times, before the normal interval applies.
constexpr Milliseconds kQueryRetryInterval{300};
constexpr int kQueryRetries = 3;
/// Replies that take longer are useless as confirmations.
constexpr Milliseconds kMaxReplyDelay{5000};
/// Number of peers that a node without a bundle queries at a time.
constexpr std::size_t kInitialQueryFanout = 3;
constexpr Milliseconds kRejectionPeriod{10'000};
constexpr std::size_t kMaxRejections = 64;
constexpr std::array<std::string_view, 5> kMessageNames{"query", "reply", "announcement", "request",
                                                        "piece"};

}  // namespace

Relay::Relay(RelaySettings settings, peer::Transport& transport, Roster& roster,
             BundleHolder& holder, FreshnessTracker& freshness, ConfigMetrics& metrics,
             std::uint64_t seed)
    : settings_(settings),
      transport_(transport),
      roster_(roster),
      holder_(holder),
      freshness_(freshness),
      metrics_(metrics),
      random_(seed),
      servingBudget_(static_cast<double>(settings.piecesPerSecond)) {}

void Relay::receive(const Endpoint& from, std::string_view payload, MonotonicTime now) {
  const Result<RelayMessage> message = peer::decode<RelayMessage>(payload);
  if (!message) {
    metrics_.countRejected(BundleSource::kPeer, message.error().kind);
    return;
  }
  std::visit([&](const auto& content) { handle(from, content, now); }, message.value());
}

void Relay::tick(MonotonicTime now) {
  roster_.refresh(now);
  const std::chrono::duration<double> passed = now - budgetAt_;
  const auto bound = static_cast<double>(settings_.piecesPerSecond);
  servingBudget_ = std::min(bound, servingBudget_ + passed.count() * bound);
  budgetAt_ = now;
  announceIfNew(now);
  if (now >= nextQuery_) {
    sendStatusQueries(now);
  }
  continueDownload(now);
}

void Relay::announceIfNew(MonotonicTime now) {
  if (!holder_.current() || announced_ == holder_.digest()) {
    return;
  }
  announced_ = holder_.digest();
  transfers_.clear();
  freshness_.onAdopted();
  if (download_ && download_->version() <= holder_.version()) {
    download_.reset();
  }
  roster_.refresh(now);
  const Announcement announcement{holder_.version(), holder_.digest()};
  for (const Endpoint& peer : roster_.chooseAnnouncementTargets(
           settings_.announcedInZone, settings_.announcedElsewhere, random_)) {
    send(peer, announcement);
  }
}

void Relay::send(const Endpoint& to, const RelayMessage& message) {
  std::string payload = peer::encode(message);
  metrics_.countSent(kMessageNames.at(message.index()), payload.size());
  transport_.send(to, peer::Channel::kConfig, std::move(payload));
}

void Relay::sendStatusQueries(MonotonicTime now) {
  std::erase_if(querySentAt_,
                [now](const auto& item) { return now - item.second > kMaxReplyDelay; });
  const bool repeat = unansweredQueries_ < kQueryRetries;
  unansweredQueries_ = repeat ? unansweredQueries_ + 1 : 0;
  nextQuery_ = now + (repeat ? kQueryRetryInterval : settings_.queryInterval);
  if (!holder_.current()) {
    if (roster_.hasNoPeers()) {
      // Query the first peer as soon as it is known.
      nextQuery_ = now;
      unansweredQueries_ = 0;
    }
    for (const Endpoint& peer : roster_.chooseRandomPeers(kInitialQueryFanout, random_)) {
      sendQuery(peer, now);
    }
    return;
  }
  const std::optional<Endpoint> source = roster_.chooseSource(random_);
  if (source) {
    sendQuery(*source, now);
  }
}

void Relay::sendQuery(const Endpoint& to, MonotonicTime now) {
  const std::uint64_t nonce = random_();
  querySentAt_[nonce] = now;
  send(to, StatusQuery{nonce, holder_.version(), holder_.digest()});
}

void Relay::handle(const Endpoint& from, const StatusQuery& query, MonotonicTime now) {
  StatusReply reply{query.nonce, holder_.version(), holder_.digest(), {}};
  if (const auto confirmation = freshness_.newest(now)) {
    reply.confirmation.push_back(*confirmation);
  }
  send(from, reply);
  handlePeerVersion(query.version, query.digest, from, now);
}

void Relay::handle(const Endpoint& from, const StatusReply& reply, MonotonicTime now) {
  const auto query = querySentAt_.find(reply.nonce);
  if (query == querySentAt_.end()) {
    return;
  }
  const MonotonicTime sentAt = query->second;
  querySentAt_.erase(query);
  unansweredQueries_ = 0;
  // Randomized so that nodes that started together do not keep querying at the same time.
  const std::int64_t interval = settings_.queryInterval.count();
  std::uniform_int_distribution<std::int64_t> spread(interval * 3 / 4, interval * 5 / 4);
  nextQuery_ = now + Milliseconds(spread(random_));
  constexpr std::uint64_t kMaxAgeMs = 86'400'000;
  for (const Confirmation& confirmation : reply.confirmation) {
    // The age was correct at some time after the query was sent, so the resulting time is never too
    // recent.
    const Milliseconds age(std::min(confirmation.ageMs, kMaxAgeMs));
    freshness_.confirm(confirmation.version, confirmation.digest, sentAt - age);
  }
  handlePeerVersion(reply.version, reply.digest, from, now);
}

void Relay::handle(const Endpoint& from, const Announcement& announcement, MonotonicTime now) {
  handlePeerVersion(announcement.version, announcement.digest, from, now);
}

void Relay::handlePeerVersion(BundleVersion version, BundleDigest digest, const Endpoint& from,
                              MonotonicTime now) {
  if (version <= holder_.version()) {
    if (version.value() > 0 && holder_.conflictsWith(version, digest)) {
      metrics_.countContradiction();
    }
    return;
  }
  const auto rejection = rejections_.find({digest, from});
  if (rejection != rejections_.end() && now < rejection->second) {
    return;
  }
  if (download_ && download_->target() == digest) {
    download_->addSource(from);
    return;
  }
  if (download_ && download_->version() >= version) {
    return;
  }
  download_.emplace(version, digest, holder_.digest(), from);
  continueDownload(now);
}

void Relay::continueDownload(MonotonicTime now) {
  if (!download_) {
    return;
  }
  const std::optional<Download::Request> request = download_->nextRequest(now);
  if (request) {
    send(request->to, request->message);
  } else if (download_->abandoned()) {
    // Peers that have the version will announce it again.
    download_.reset();
  }
}

void Relay::handle(const Endpoint& from, const PieceRequest& request, MonotonicTime /*now*/) {
  if (!holder_.current()) {
    return;
  }
  if (request.target != holder_.digest()) {
    send(from, Announcement{holder_.version(), holder_.digest()});
    return;
  }
  const bool known = holder_.previousText(request.base) != nullptr;
  const BundleDigest base = known ? request.base : BundleDigest();
  const std::string& transfer = transferFrom(base);
  const std::size_t count = (transfer.size() + kPieceBytes - 1) / kPieceBytes;
  for (const std::uint16_t index : request.indexes) {
    if (index >= count) {
      continue;
    }
    if (servingBudget_ < 1) {
      metrics_.countServingBound();
      return;
    }
    servingBudget_ -= 1;
    Piece piece{request.target, base, index, static_cast<std::uint16_t>(count), ""};
    piece.bytes = transfer.substr(index * kPieceBytes, kPieceBytes);
    send(from, piece);
  }
}

const std::string& Relay::transferFrom(BundleDigest base) {
  const auto known = transfers_.find(base);
  if (known != transfers_.end()) {
    return known->second;
  }
  const bundle::SignedBundle& current = holder_.currentSigned();
  const std::string* baseText = holder_.previousText(base);
  Transfer transfer;
  for (const bundle::Signature& signature : current.signatures) {
    transfer.signatures.push_back({signature.signer, signature.signatureHex});
  }
  transfer.patch = peer::makePatch(baseText == nullptr ? "" : *baseText, current.text);
  return transfers_.emplace(base, peer::encode(transfer)).first->second;
}

void Relay::handle(const Endpoint& /*from*/, const Piece& piece, MonotonicTime now) {
  if (!download_) {
    return;
  }
  download_->addPiece(piece);
  if (download_->complete()) {
    finishDownload(now);
  } else {
    continueDownload(now);
  }
}

Result<bundle::SignedBundle> Relay::assemble(const Download& download) const {
  const Result<Transfer> transfer = peer::decode<Transfer>(download.bytes());
  if (!transfer) {
    return transfer.error();
  }
  std::string_view base;
  if (download.base().value() != 0 && download.base() == holder_.digest()) {
    base = holder_.currentSigned().text;
  }
  Result<std::string> text = peer::applyPatch(base, transfer.value().patch);
  if (!text) {
    return text.error();
  }
  if (digestOf(text.value()) != download.target()) {
    return fail(ErrorKind::kProtocolViolation, "a transfer produced a text with the wrong digest");
  }
  bundle::SignedBundle signedBundle{std::move(text.value()), {}};
  for (const TransferSignature& signature : transfer.value().signatures) {
    signedBundle.signatures.push_back({signature.signer, signature.signatureHex});
  }
  return signedBundle;
}

void Relay::finishDownload(MonotonicTime now) {
  const bool isFullText = download_->base().value() == 0;
  Result<bundle::SignedBundle> assembled = assemble(*download_);
  const Result<void> adopted =
      assembled ? holder_.adopt(assembled.value()) : Result<void>(assembled.error());
  if (adopted) {
    metrics_.countTransfer(isFullText ? "whole" : "delta", download_->bytes().size());
    metrics_.countAdopted(BundleSource::kPeer);
    download_.reset();
    announceIfNew(now);
    return;
  }
  if (adopted.error().kind != ErrorKind::kVersionConflict) {
    metrics_.countRejected(BundleSource::kPeer, adopted.error().kind);
  }
  if (!isFullText) {
    download_->restartWithFullText();
    continueDownload(now);
    return;
  }
  if (rejections_.size() >= kMaxRejections) {
    rejections_.clear();
  }
  rejections_[{download_->target(), download_->source()}] = now + kRejectionPeriod;
  download_->dropSource();
  download_->restartWithFullText();
  continueDownload(now);
}

}  // namespace calicodrift::config
