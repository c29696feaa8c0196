#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/strong_type.h"

/// Which software version of a service began a stream, so that the stream goes on at servers of
/// that version only, also at another node after the one that served it has gone.
namespace calicodrift::stream_versions {

/// Identifies a stream by the tenant, the service and the caller's attempt that brought its first
/// event; a hash, so that keys of all lengths take the same room.
using StreamKey = StrongType<struct StreamKeyTag, std::uint64_t>;

/// Keeps a stream's version for another node. Sent once, without an answer.
struct VersionRecord {
  StreamKey stream;
  std::string version;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(stream, version);
  }
};

/// Asks a keeper for a stream's version.
struct VersionQuery {
  std::uint64_t id = 0;
  StreamKey stream;
  std::string service;
  /// Whether a root is to prove that there is one version only. Builds before this field neither
  /// send nor read it.
  bool wantsProof = false;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(id, stream, service, wantsProof);
  }
  template <typename Archive>
  void load(Archive& archive) {
    archive(id, stream, service);
    try {
      archive(wantsProof);
    } catch (const cereal::Exception&) {
      wantsProof = false;
    }
  }
};

/// What a keeper knows.
enum class Knowledge : std::uint8_t {
  /// The version is that of the stream's record.
  kRecord,
  /// There is no record, and as far as the keeper's list tells, which may be outdated, the service
  /// can only have had this version since the stream began.
  kOnlyVersion,
  /// There is no record, and the service has had several versions.
  kSeveralVersions,
  /// The keeper has not seen enough of the past to know.
  kNothing,
  /// Told by a root after one of the above, which earlier builds understand: its list is proven to
  /// be newer than the question, and the service can only have had this version.
  kProvenOnlyVersion,
};

struct VersionReply {
  std::uint64_t id = 0;
  Knowledge knowledge = Knowledge::kNothing;
  std::string version;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, knowledge, version);
  }
};

/// What is sent over the transport.
using Message = std::variant<VersionRecord, VersionQuery, VersionReply>;

/// Builds without this path answer 404 and keep no records.
inline constexpr std::string_view kKeepersPath = "/stream-keepers";

/// Asks a node which nodes keep records.
struct KeepersQuery {
  /// Endpoint of the sender.
  Endpoint node;
  /// Whether the sender is a root of the tree.
  bool root = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, root);
  }
};

struct Keepers {
  std::vector<Endpoint> nodes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(nodes);
  }
};

}  // namespace calicodrift::stream_versions
