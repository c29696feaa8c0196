#include "server_limits/limit_table.h"

#include <cmath>

namespace calicodrift::server_limits {
namespace {

/// A limit that moves by less is taken for the same, so that one that wavers is not told each time.
constexpr double kSameShare = 0.05;

bool isAbout(double named, double known) {
  return std::abs(named - known) <= kSameShare * known;
}

bool isStricter(const LimitFact& fact, const LimitFact& than) {
  if (fact.limited != than.limited) {
    return fact.limited;
  }
  return fact.limited && fact.perSecond < than.perSecond;
}

LimitVersion next(LimitVersion version) {
  return LimitVersion(version.value() + 1);
}

}  // namespace

bool LimitTable::note(fleet::ServerKey server, LimitVersion seen, std::optional<double> named) {
  const LimitFact* found = find(server);
  const LimitFact known = found == nullptr ? LimitFact{server, LimitVersion()} : *found;
  const bool isNewer = seen >= known.version;
  if (!named) {
    return known.limited && isNewer && store({server, next(known.version)});
  }
  const bool raises = known.limited && *named > known.perSecond;
  const bool same = known.limited && isAbout(*named, known.perSecond);
  if (same || (raises && !isNewer)) {
    return false;
  }
  return store({server, next(known.version), true, *named});
}

bool LimitTable::merge(const LimitFact& fact) {
  const LimitFact* known = find(fact.server);
  const bool isNews = known == nullptr || fact.version > known->version ||
                      (fact.version == known->version && isStricter(fact, *known));
  return isNews && store(fact);
}

bool LimitTable::store(const LimitFact& fact) {
  Entry& entry = entries_[fact.server];
  countLimited_ -= entry.fact.limited ? 1U : 0U;
  countLimited_ += fact.limited ? 1U : 0U;
  entry.fact = fact;
  entry.changedAt = ++changes_;
  entry.missed = false;
  return true;
}

const LimitFact* LimitTable::find(fleet::ServerKey server) const {
  const auto found = entries_.find(server);
  return found == entries_.end() ? nullptr : &found->second.fact;
}

LimitVersion LimitTable::versionOf(fleet::ServerKey server) const {
  const LimitFact* known = find(server);
  return known == nullptr ? LimitVersion() : known->version;
}

std::optional<double> LimitTable::limitOf(fleet::ServerKey server) const {
  const LimitFact* known = find(server);
  return known != nullptr && known->limited ? std::optional(known->perSecond) : std::nullopt;
}

std::vector<LimitFact> LimitTable::changedSince(std::uint64_t change) const {
  std::vector<LimitFact> facts;
  for (const auto& [server, entry] : entries_) {
    if (entry.changedAt > change) {
      facts.push_back(entry.fact);
    }
  }
  return facts;
}

std::vector<LimitFact> LimitTable::limited() const {
  std::vector<LimitFact> facts;
  for (const auto& [server, entry] : entries_) {
    if (entry.fact.limited) {
      facts.push_back(entry.fact);
    }
  }
  return facts;
}

void LimitTable::forgetGone(const std::function<bool(fleet::ServerKey)>& isListed) {
  for (auto item = entries_.begin(); item != entries_.end();) {
    Entry& entry = item->second;
    const bool gone = !isListed(item->first);
    if (gone && entry.missed) {
      countLimited_ -= entry.fact.limited ? 1U : 0U;
      item = entries_.erase(item);
      continue;
    }
    entry.missed = gone;
    ++item;
  }
}

}  // namespace calicodrift::server_limits
