#pragma once

#include <cstdint>
#include <limits>
#include <variant>
#include <vector>

#include "membership/member.h"

/// The messages of the membership protocol, on peer::Channel::kMembership.
namespace calicodrift::membership {

/// Who sends, at which version; tells a receiver whether its record of the sender is out of date.
struct Sender {
  NodeId id;
  Incarnation incarnation;
  std::uint32_t refutations = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, refutations);
  }
};

/// Number of present members and the sum of their version hashes. Equal digests mean equal tables
/// (but for a 64-bit collision).
struct Digest {
  std::uint32_t count = 0;
  std::uint64_t hash = 0;

  auto operator<=>(const Digest&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(count, hash);
  }
};

/// Asks for an Ack with the same sequence number.
struct Ping {
  std::uint32_t sequence = 0;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};

struct Ack {
  std::uint32_t sequence = 0;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};

/// Asks the receiver to ping `target` and to pass its Ack on as a RelayedAck.
struct PingRequest {
  std::uint32_t sequence = 0;
  Endpoint target;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence, target);
  }
};

struct RelayedAck {
  std::uint32_t sequence = 0;
  NodeId target;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence, target);
  }
};

/// Carries news only.
struct Gossip {
  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

/// A fresh node's request to a seed; the envelope carries its record. Answered by a Page.
struct Join {
  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Place in the order of all members by zone key, then member key.
struct Cursor {
  ZoneKey zone = 0;
  MemberKey member = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, member);
  }
};

/// Asks for the present members from `from` on, up to the zone `lastZone`. Any node can answer.
struct PageRequest {
  Cursor from;
  ZoneKey lastZone = std::numeric_limits<ZoneKey>::max();
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, lastZone);
  }
};

/// The records are in the envelope. `more` says that the next page starts at `next`.
struct Page {
  Cursor next;
  bool more = false;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(next, more);
  }
};

struct ZoneSummary {
  ZoneKey zone = 0;
  Digest digest;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, digest);
  }
};

/// The sender's digest of each zone; answered by the KeyPages of zones that differ.
struct ZoneSummaries {
  std::vector<ZoneSummary> zones;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zones);
  }
};

/// One member and the low half of its version hash.
struct KeyedVersion {
  MemberKey member = 0;
  std::uint32_t version = 0;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(member, version);
  }
};

/// All present members of a zone whose keys lie from `first` to `last`, as the sender knows them.
struct KeyPage {
  ZoneKey zone = 0;
  MemberKey first = 0;
  MemberKey last = 0;
  std::vector<KeyedVersion> members;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, first, last, members);
  }
};

/// Carries records that were asked for.
struct Records {
  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Bytes that a page takes in a message.
inline std::size_t encodedBytes(const KeyPage& page) {
  constexpr std::size_t kHeaderBytes = 4 * sizeof(std::uint64_t);
  constexpr std::size_t kEntryBytes = sizeof(MemberKey) + sizeof(std::uint32_t);
  return kHeaderBytes + kEntryBytes * page.members.size();
}

/// Pages of different zones, as many as fit.
struct KeyPages {
  std::vector<KeyPage> pages;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(pages);
  }
};

/// Asks for the records of members by key; answered by Records.
struct RecordRequest {
  std::vector<MemberKey> members;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(members);
  }
};

using Body = std::variant<Ping, Ack, PingRequest, RelayedAck, Gossip, Join, PageRequest, Page,
                          ZoneSummaries, KeyPages, Records, RecordRequest>;

/// Whether a receiver spreads the records of a message with this body further. What was fetched
/// from another's table is old news; spreading it would crowd out what is new.
inline bool spreadsRecords(const Body& body) {
  return !std::holds_alternative<Page>(body) && !std::holds_alternative<Records>(body);
}

/// What every message consists of. `records` are those the body asks for, then news for spreading.
struct Envelope {
  Sender sender;
  Digest digest;
  Body body;
  std::vector<MemberRecord> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, digest, body, records);
  }
};

}  // namespace calicodrift::membership
