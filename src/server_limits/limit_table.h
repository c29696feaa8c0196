#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "server_limits/limit_fact.h"

namespace calicodrift::server_limits {

/// The limits that this node knows of. No I/O.
///
/// Answers of one server cross on their way, and there is no common clock. A dispatch therefore
/// carries the version that its node knew when it was sent: where that is the newest, the server
/// got the request after it had said what made that version, and what it answers is newer. All else
/// may be older, and can only make the limit stricter.
/// Invariant: nodes that have told each other what they know know the same, in whatever order it
/// came, as the greater version wins and of one version the stricter. So a limit is never lifted by
/// what was said before it was named.
class LimitTable {
 public:
  /// The head of an answer to a request that was sent when `seen` was known. Returns whether that
  /// is news.
  /// @param named nothing where it named no limit.
  bool note(fleet::ServerKey server, LimitVersion seen, std::optional<double> named);
  /// What another node knows. Returns whether it is news here.
  bool merge(const LimitFact& fact);
  /// Null where no limit was ever named.
  const LimitFact* find(fleet::ServerKey server) const;
  LimitVersion versionOf(fleet::ServerKey server) const;
  /// The limit in force.
  std::optional<double> limitOf(fleet::ServerKey server) const;
  /// Counts changes of the whole table.
  std::uint64_t changes() const { return changes_; }
  std::vector<LimitFact> changedSince(std::uint64_t change) const;
  /// Those in force.
  std::vector<LimitFact> limited() const;
  /// How many are in force. Where it is 0, no request needs a look.
  std::size_t countLimited() const { return countLimited_; }
  /// Forgets runs that have gone: those for which `isListed` does not hold at two calls in a row.
  void forgetGone(const std::function<bool(fleet::ServerKey)>& isListed);

 private:
  struct Entry {
    LimitFact fact;
    /// Of the table, when this entry changed.
    std::uint64_t changedAt = 0;
    bool missed = false;
  };

  bool store(const LimitFact& fact);

  std::unordered_map<fleet::ServerKey, Entry> entries_;
  std::uint64_t changes_ = 0;
  std::size_t countLimited_ = 0;
};

}  // namespace calicodrift::server_limits
