#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "config/bundle_holder.h"
#include "config/text_patch.h"
#include "peer/transport.h"

/// What nodes say to each other on Channel::kConfig.
namespace calicodrift::config {

/// A read of the store that a watcher began `ageMs` ago showed this version as the newest one.
struct Confirmation {
  BundleVersion version;
  BundleDigest digest;
  std::uint64_t ageMs = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, digest, ageMs);
  }
};

/// Asks for the peer's version and newest confirmation, and tells the asker's own version.
struct StatusQuery {
  std::uint64_t nonce = 0;
  BundleVersion version;
  BundleDigest digest;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(nonce, version, digest);
  }
};

struct StatusReply {
  std::uint64_t nonce = 0;
  BundleVersion version;
  BundleDigest digest;
  /// None or one.
  std::vector<Confirmation> confirmation;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(nonce, version, digest, confirmation);
  }
};

/// The sender has this version in force.
struct Announcement {
  BundleVersion version;
  BundleDigest digest;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, digest);
  }
};

/// Asks for some pieces of the transfer that leads from `base` to `target`.
struct PieceRequest {
  BundleDigest target;
  /// Text that the asker holds; 0 where the whole is wanted.
  BundleDigest base;
  std::vector<std::uint16_t> indexes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, base, indexes);
  }
};

/// One piece of an encoded Transfer.
struct Piece {
  BundleDigest target;
  /// 0 where the sender no longer holds the asker's base and sends the whole.
  BundleDigest base;
  std::uint16_t index = 0;
  std::uint16_t count = 0;
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, base, index, count, bytes);
  }
};

using RelayMessage = std::variant<StatusQuery, StatusReply, Announcement, PieceRequest, Piece>;

/// Content bytes of a piece, so that the encoded message stays within one datagram.
inline constexpr std::size_t kPieceBytes = peer::kMaxPayloadBytes - 60;

struct TransferSignature {
  std::string signer;
  std::string signatureHex;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(signer, signatureHex);
  }
};

/// A signed bundle as a patch of an earlier text. The signatures cover the text that results, so
/// that neither a wrong base nor a wrong patch can be adopted.
struct Transfer {
  std::vector<TransferSignature> signatures;
  TextPatch patch;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(signatures, patch);
  }
};

}  // namespace calicodrift::config
