#pragma once

#include <cstdint>
#include <string>

#include "common/strong_type.h"

namespace calicodrift::store {

/// Counts the returns of the store from a copy. Revisions of two eras belong to two histories.
using Era = StrongType<struct EraTag, std::uint64_t>;

/// Position in the history of the store; each change gets a higher one. The era is in the high
/// bits, so that every position of a later era is above all earlier ones, in comparisons and in
/// messages alike. Era 0: the store, or the node that sent the position, does not tell its era.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;

/// Leaves 20 bits for eras; a store that writes 1,000 times a second needs 500 years for the rest.
inline constexpr unsigned kRevisionBits = 44;

inline Revision makeRevision(Era era, std::uint64_t number) {
  return Revision((era.value() << kRevisionBits) | number);
}
inline Era eraOf(Revision revision) {
  return Era(revision.value() >> kRevisionBits);
}
/// The number that the store itself gave.
inline std::uint64_t numberOf(Revision revision) {
  return revision.value() & ((std::uint64_t{1} << kRevisionBits) - 1);
}
/// A revision of a sender that does not tell eras, as one of the given era. Revision 0, which
/// stands for no object, stays 0.
inline Revision withEra(Revision revision, Era era) {
  const bool lacksEra = revision.value() != 0 && eraOf(revision) == Era();
  return lacksEra ? makeRevision(era, revision.value()) : revision;
}
/// "ERA:NUMBER", or the number alone if the era is unknown.
inline std::string toString(Revision revision) {
  const std::string number = std::to_string(numberOf(revision));
  const Era era = eraOf(revision);
  return era == Era() ? number : std::to_string(era.value()) + ":" + number;
}

}  // namespace calicodrift::store
