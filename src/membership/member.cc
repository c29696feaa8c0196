#include "membership/member.h"

#include <tuple>

#include "common/hashing.h"

namespace calicodrift::membership {

std::string_view toString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

MemberKey keyOf(const NodeId& id) {
  return hashBytes(id.value());
}

ZoneKey keyOf(const ZoneId& zone) {
  return hashBytes(zone.value());
}

bool MemberRecord::supersedes(const MemberRecord& other) const {
  return std::tie(info.incarnation, refutations, state) >
         std::tie(other.info.incarnation, other.refutations, other.state);
}

std::size_t encodedBytes(const MemberRecord& record) {
  // cereal writes each string with a length of 8 bytes.
  constexpr std::size_t kLengthBytes = 8;
  constexpr std::size_t kStrings = 4;
  constexpr std::size_t kFixedBytes = sizeof(Incarnation::ValueType) + sizeof(std::uint16_t) +
                                      sizeof(std::uint32_t) + sizeof(MemberState);
  return kStrings * kLengthBytes + kFixedBytes + record.info.id.value().size() +
         record.info.zone.value().size() + record.info.region.value().size() +
         record.info.endpoint.address.size();
}

std::uint64_t versionHash(const MemberRecord& record) {
  return hashPair(keyOf(record.info.id),
                  hashPair(record.info.incarnation.value(), record.refutations));
}

}  // namespace calicodrift::membership
