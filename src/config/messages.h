#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "config/bundle_holder.h"
#include "peer/text_patch.h"
#include "peer/transport.h"

/// Messages between nodes on Channel::kConfig.
namespace calicodrift::config {

/// States that a read of the store, which a watcher started `ageMs` ago, returned this version as
/// the newest one.
struct Confirmation {
  BundleVersion version;
  BundleDigest digest;
  std::uint64_t ageMs = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, digest, ageMs);
  }
};

/// Requests the peer's version and latest confirmation, and reports the sender's own version.
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
  /// At most one confirmation.
  std::vector<Confirmation> confirmation;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(nonce, version, digest, confirmation);
  }
};

/// Announces that the sender has this version active.
struct Announcement {
  BundleVersion version;
  BundleDigest digest;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, digest);
  }
};

/// Requests pieces of the transfer from `base` to `target`.
struct PieceRequest {
  BundleDigest target;
  /// Digest of the text that the sender holds; 0 to request the full text.
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
  /// 0 if the sender no longer holds the requested base and sends the full text.
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

/// Content bytes of a piece, chosen so that the encoded message fits in one datagram.
inline constexpr std::size_t kPieceBytes = peer::kMaxPayloadBytes - 60;

struct TransferSignature {
  std::string signer;
  std::string signatureHex;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(signer, signatureHex);
  }
};

/// A signed bundle as a patch of an earlier text. The signatures cover the resulting text, so
/// neither a wrong base nor a wrong patch can lead to an adoption.
struct Transfer {
  std::vector<TransferSignature> signatures;
  peer::TextPatch patch;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(signatures, patch);
  }
};

}  // namespace calicodrift::config
