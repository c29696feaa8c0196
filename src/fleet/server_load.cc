#include "fleet/server_load.h"

#include "common/hashing.h"

namespace calicodrift::fleet {

ServerKey keyOf(const Server& server) {
  const std::uint64_t idHash = hashBytes(server.id.value());
  return ServerKey(server.started ? hashPair(idHash, server.started->value()) : idHash);
}

}  // namespace calicodrift::fleet
