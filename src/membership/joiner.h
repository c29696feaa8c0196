#pragma once

#include "membership/context.h"

namespace calicodrift::membership {

/// Brings a fresh node into the fleet: asks a random seed with growing, jittered pauses, then
/// fetches the members page by page from random members, the own zone first. Also answers those
/// who join, at a bounded rate, so that a herd of restarted nodes can't flood a seed.
class Joiner {
 public:
  explicit Joiner(MembershipContext& context) : context_(context) {}

  void tick(MonotonicTime now);
  /// Seeds were asked until one answered, and all pages have come.
  bool done() const { return phase_ == Phase::kDone; }

  void onJoin(const Endpoint& from, const Sender& sender);
  void onPageRequest(const Endpoint& from, const PageRequest& request);
  void onPage(const Page& page, MonotonicTime now);
  /// Another node has `digest`. Fetches all pages again where that one knows many more members, as
  /// happens when many nodes start at once and fetch from each other.
  void onDigest(const Digest& digest, MonotonicTime now);

 private:
  enum class Phase { kSeeking, kOwnZone, kAllZones, kDone };

  void askSeed(MonotonicTime now);
  void startFetching();
  void requestPage(MonotonicTime now);

  MembershipContext& context_;
  Phase phase_ = Phase::kSeeking;
  bool started_ = false;
  unsigned attempts_ = 0;
  MonotonicTime nextRequest_{};
  MonotonicTime nextRefetch_{};
  PageRequest request_;
  /// What may still be sent until the next tick.
  unsigned joinAnswersLeft_ = 0;
  unsigned pagesLeft_ = 0;
  unsigned requestsLeft_ = 0;
};

}  // namespace calicodrift::membership
