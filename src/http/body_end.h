#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace calicodrift::http {

/// How the end of a body was marked.
enum class BodyEnd {
  /// By its length, its last chunk, or a head that has no body: the sender has written all of it.
  kFramed,
  /// By the end of its connection, which also comes when the sender's process ends: the body may be
  /// incomplete.
  kConnection,
};
std::string_view toString(BodyEnd end);

/// The next bytes of a body.
struct BodyPiece {
  std::string bytes;
  /// Set on the last piece, which has no bytes.
  std::optional<BodyEnd> end;
};

/// What a reader does with a body that ended with its connection.
enum class UnframedBody {
  /// Fails with kStreamBroken: nothing proves that the body is complete.
  kReject,
  /// Takes it. For readers whose content proves itself, such as JSON, and for those that use only
  /// the head.
  kAccept,
};

}  // namespace calicodrift::http
