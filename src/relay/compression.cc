#include "relay/compression.h"

#include <zlib.h>

namespace calicodrift::relay {

std::string compress(std::string_view bytes) {
  uLongf length = ::compressBound(static_cast<uLong>(bytes.size()));
  std::string compressed(length, '\0');
  ::compress2(reinterpret_cast<Bytef*>(compressed.data()), &length,
              reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uLong>(bytes.size()),
              Z_BEST_SPEED);
  compressed.resize(length);
  compressed.shrink_to_fit();
  return compressed;
}

Result<std::string> decompress(std::string_view compressed, std::uint64_t length) {
  std::string bytes(length, '\0');
  uLongf written = static_cast<uLongf>(length);
  const int outcome = ::uncompress(reinterpret_cast<Bytef*>(bytes.data()), &written,
                                   reinterpret_cast<const Bytef*>(compressed.data()),
                                   static_cast<uLong>(compressed.size()));
  if (outcome != Z_OK || written != length) {
    return fail(ErrorKind::kProtocolViolation, "compressed bytes of a relay are malformed");
  }
  return bytes;
}

}  // namespace calicodrift::relay
