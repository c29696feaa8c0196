#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/error.h"

namespace calicodrift::relay {

/// The bytes in zlib's format.
std::string compress(std::string_view bytes);

/// Fails with kProtocolViolation unless `compressed` holds exactly `length` bytes. The caller
/// bounds `length`, which comes from the sender.
Result<std::string> decompress(std::string_view compressed, std::uint64_t length);

}  // namespace calicodrift::relay
