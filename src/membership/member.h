#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "peer/directory.h"

namespace calicodrift::membership {

/// What a node believes of another one. The order is the precedence between records of the same
/// incarnation and refutation count: later states win.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

std::string_view toString(MemberState state);

/// 64-bit hash of a node's name; what tables, digests and pages are keyed by.
using MemberKey = std::uint64_t;
using ZoneKey = std::uint64_t;
MemberKey keyOf(const NodeId& id);
ZoneKey keyOf(const ZoneId& zone);

/// What is told of one member. Only the member itself raises `info.incarnation` (at a restart) and
/// `refutations` (when it hears that others suspect it or call it dead), so of two records the
/// one with the greater (incarnation, refutations, state) is the newer on every node.
struct MemberRecord {
  peer::PeerInfo info;
  std::uint32_t refutations = 0;
  MemberState state = MemberState::kAlive;

  /// Alive or suspected: the member still counts as there.
  bool present() const { return state == MemberState::kAlive || state == MemberState::kSuspect; }
  /// Whether this record replaces `other`, a record of the same member.
  bool supersedes(const MemberRecord& other) const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(info, refutations, state);
  }
};

/// Bytes that a record takes in a message.
std::size_t encodedBytes(const MemberRecord& record);

/// Hash over name, incarnation and refutations. Suspicion is left out, as it is short-lived.
std::uint64_t versionHash(const MemberRecord& record);

}  // namespace calicodrift::membership
