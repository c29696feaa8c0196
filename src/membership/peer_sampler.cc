#include "membership/peer_sampler.h"

#include <algorithm>

namespace calicodrift::membership {
namespace {

constexpr std::size_t kTriesPerMember = 4;

}  // namespace

void ProbeSchedule::add(MemberKey member) {
  if (std::find(order_.begin(), order_.end(), member) != order_.end()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> place(0, order_.size());
  order_.push_back(member);
  std::swap(order_[place(random_)], order_.back());
}

void ProbeSchedule::remove(MemberKey member) {
  const auto found = std::find(order_.begin(), order_.end(), member);
  if (found == order_.end()) {
    return;
  }
  if (static_cast<std::size_t>(found - order_.begin()) < position_) {
    --position_;
  }
  order_.erase(found);
}

std::optional<MemberKey> ProbeSchedule::next() {
  if (order_.empty()) {
    return std::nullopt;
  }
  if (position_ >= order_.size()) {
    std::shuffle(order_.begin(), order_.end(), random_);
    position_ = 0;
  }
  return order_[position_++];
}

PeerSampler::PeerSampler(std::mt19937_64& random)
    : random_(random), zone_(random), remote_(random) {}

void PeerSampler::add(MemberKey member, bool sameZone) {
  // A member that moved to another zone must not stay in the old list.
  (sameZone ? remote_ : zone_).remove(member);
  (sameZone ? zone_ : remote_).add(member);
}

void PeerSampler::remove(MemberKey member) {
  zone_.remove(member);
  remote_.remove(member);
}

MemberKey PeerSampler::at(std::size_t index) const {
  const std::vector<MemberKey>& first = zone_.members();
  return index < first.size() ? first[index] : remote_.members()[index - first.size()];
}

std::vector<MemberKey> PeerSampler::sample(std::size_t count, MemberKey excluded) const {
  std::vector<MemberKey> chosen;
  if (size() == 0) {
    return chosen;
  }
  // Few members are taken in turn from a random start; of many, random ones in bounded tries.
  const bool few = size() <= kTriesPerMember * count;
  const std::size_t tries = few ? size() : kTriesPerMember * count;
  std::uniform_int_distribution<std::size_t> index(0, size() - 1);
  const std::size_t start = index(random_);
  for (std::size_t attempt = 0; attempt < tries && chosen.size() < count; ++attempt) {
    const MemberKey member = at(few ? (start + attempt) % size() : index(random_));
    const bool known = std::find(chosen.begin(), chosen.end(), member) != chosen.end();
    if (member != excluded && !known) {
      chosen.push_back(member);
    }
  }
  return chosen;
}

}  // namespace calicodrift::membership
