#pragma once

#include <string>
#include <string_view>

#include "common/error.h"

/// Reasons why an object of the store cannot be decoded. Objects may be written by other programs,
/// so nothing can be assumed about their content. The reasons are label values of a counter and
/// form a closed list.
namespace calicodrift::store {

/// The spec is not a JSON object, or the bytes of the spec or the metadata are not JSON.
inline constexpr std::string_view kNotAnObject = "no_object";
inline constexpr std::string_view kFieldMissing = "field_missing";
/// A field has the wrong JSON type.
inline constexpr std::string_view kFieldType = "field_type";
/// A number out of range or with a fraction, an empty string, or an invalid address.
inline constexpr std::string_view kFieldRange = "field_range";
/// A value that is not one of those allowed for the field.
inline constexpr std::string_view kUnknownValue = "unknown_value";
/// The service of a server is not in the configuration.
inline constexpr std::string_view kUnknownService = "unknown_service";
/// Any other reason; the detail states it.
inline constexpr std::string_view kMalformed = "malformed";
/// Not an object but a whole answer of the store that cannot be decoded.
inline constexpr std::string_view kUnreadableAnswer = "unreadable_answer";

/// @param reason one of the constants above.
inline Error unreadable(std::string_view reason, std::string detail) {
  Error error = fail(ErrorKind::kProtocolViolation, std::move(detail));
  error.reason = reason;
  return error;
}

}  // namespace calicodrift::store
