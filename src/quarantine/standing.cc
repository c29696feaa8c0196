#include "quarantine/standing.h"

namespace calicodrift::quarantine {

std::string_view toString(Standing standing) {
  switch (standing) {
    case Standing::kClear:
      return "clear";
    case Standing::kSuspect:
      return "suspect";
    case Standing::kBarred:
      break;
  }
  return "barred";
}

}  // namespace calicodrift::quarantine
