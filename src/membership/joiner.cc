#include "membership/joiner.h"

#include <algorithm>

namespace calicodrift::membership {
namespace {

constexpr unsigned kJoinAnswersPerTick = 4;
constexpr unsigned kPagesPerTick = 2;
constexpr unsigned kRequestsPerTick = 2;
constexpr unsigned kMaxDoublings = 4;
/// Of an answer to Join: a few members to go on with; the rest comes from them.
constexpr std::size_t kJoinAnswerBytes = 500;
constexpr std::size_t kJoinAnswerMembers = 8;
/// Pages are fetched again where another node knows so many members more, and a tenth more.
constexpr std::size_t kRefetchMargin = 10;
constexpr int kProbesPerRefetch = 5;

}  // namespace

void Joiner::tick(MonotonicTime now) {
  joinAnswersLeft_ = kJoinAnswersPerTick;
  pagesLeft_ = kPagesPerTick;
  requestsLeft_ = kRequestsPerTick;
  if (!started_) {
    started_ = true;
    std::uniform_int_distribution<std::int64_t> delay(0, context_.settings.joinRetry.count());
    nextRequest_ = now + Milliseconds(delay(context_.random));
  }
  if (phase_ == Phase::kDone || now < nextRequest_) {
    return;
  }
  if (phase_ == Phase::kSeeking && context_.sampler.size() > 0) {
    startFetching();
  }
  if (phase_ == Phase::kSeeking) {
    askSeed(now);
  } else {
    requestPage(now);
  }
}

void Joiner::startFetching() {
  const ZoneKey zone = keyOf(context_.table.self().info.zone);
  phase_ = Phase::kOwnZone;
  request_ = PageRequest{{zone, 0}, zone};
}

void Joiner::onDigest(const Digest& digest, MonotonicTime now) {
  const std::size_t present = context_.table.presentCount();
  const std::size_t margin = std::max(kRefetchMargin, present / kRefetchMargin);
  if (phase_ != Phase::kDone || now < nextRefetch_ || digest.count < present + margin) {
    return;
  }
  nextRefetch_ = now + context_.jittered(kProbesPerRefetch * context_.settings.probeInterval);
  phase_ = Phase::kAllZones;
  request_ = PageRequest{};
  nextRequest_ = now;
}

void Joiner::askSeed(MonotonicTime now) {
  std::vector<Endpoint> seeds = context_.settings.seeds;
  std::erase(seeds, context_.table.self().info.endpoint);
  if (seeds.empty()) {
    phase_ = Phase::kDone;
    return;
  }
  std::uniform_int_distribution<std::size_t> index(0, seeds.size() - 1);
  ++context_.counters.joinRequests;
  context_.messenger.send(seeds[index(context_.random)], Join{}, {context_.table.self()});
  const Milliseconds pause = context_.settings.joinRetry * (1U << attempts_);
  nextRequest_ = now + context_.jittered(pause);
  attempts_ = std::min(attempts_ + 1, kMaxDoublings);
}

void Joiner::requestPage(MonotonicTime now) {
  const std::vector<MemberKey> chosen = context_.sampler.sample(1, context_.table.selfKey());
  if (chosen.empty()) {
    phase_ = Phase::kSeeking;
    return;
  }
  if (requestsLeft_ == 0) {
    nextRequest_ = now;
    return;
  }
  --requestsLeft_;
  context_.messenger.send(context_.table.find(chosen.front())->info.endpoint, request_);
  // Without an answer the page is asked for again, of another member.
  nextRequest_ = now + context_.settings.probeInterval;
}

void Joiner::onJoin(const Endpoint& from, const Sender& sender) {
  if (joinAnswersLeft_ == 0) {
    ++context_.counters.joinsPutOff;
    return;
  }
  --joinAnswersLeft_;
  ++context_.counters.joinAnswers;
  std::vector<MemberRecord> records{context_.table.self()};
  std::size_t bytes = 0;
  for (const MemberKey member : context_.sampler.sample(kJoinAnswerMembers, keyOf(sender.id))) {
    records.push_back(*context_.table.find(member));
    bytes += encodedBytes(records.back());
    if (bytes > kJoinAnswerBytes) {
      break;
    }
  }
  context_.messenger.send(from, Page{}, records);
}

void Joiner::onPageRequest(const Endpoint& from, const PageRequest& request) {
  if (pagesLeft_ == 0) {
    return;
  }
  --pagesLeft_;
  ++context_.counters.pagesSent;
  Page page;
  const std::vector<MemberRecord> records =
      context_.table.page(request, Messenger::kRecordBytes, page);
  context_.messenger.send(from, page, records);
}

void Joiner::onPage(const Page& page, MonotonicTime now) {
  switch (phase_) {
    case Phase::kDone:
      return;
    case Phase::kSeeking:
      startFetching();
      break;
    case Phase::kOwnZone:
    case Phase::kAllZones:
      if (page.more) {
        request_.from = page.next;
      } else if (phase_ == Phase::kOwnZone) {
        phase_ = Phase::kAllZones;
        request_ = PageRequest{};
      } else {
        phase_ = Phase::kDone;
        return;
      }
  }
  requestPage(now);
}

}  // namespace calicodrift::membership
