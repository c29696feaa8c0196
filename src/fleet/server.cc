#include "fleet/server.h"

namespace calicodrift::fleet {

RunOrder orderOf(std::optional<Incarnation> reported, std::optional<Incarnation> known) {
  if (reported == known) {
    return RunOrder::kSame;
  }
  if (!reported) {
    return RunOrder::kUnknown;
  }
  // State learnt before any start was reported may belong to another run.
  return !known || *reported > *known ? RunOrder::kLater : RunOrder::kEarlier;
}

}  // namespace calicodrift::fleet
