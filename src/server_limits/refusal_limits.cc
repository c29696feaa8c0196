#include "server_limits/refusal_limits.h"

#include <algorithm>

namespace calicodrift::server_limits {

bool RefusalLimits::recordAnswer(const fleet::Server& server, LimitVersion seen,
                                 std::optional<double> named, MonotonicTime now) {
  if (named) {
    noteService(server.service, *named, now);
  }
  return table_.recordAnswer(fleet::keyOf(server), seen, named);
}

bool RefusalLimits::merge(const LimitRecord& record, const fleet::Server* server,
                          MonotonicTime now) {
  if (!table_.merge(record)) {
    return false;
  }
  if (record.limited && server != nullptr) {
    noteService(server->service, record.perSecond, now);
  }
  return true;
}

void RefusalLimits::noteService(const std::string& service, double refusals, MonotonicTime now) {
  ServiceLimit& limit = services_[service];
  limit.refusals = refusals;
  limit.until = now + kServiceMemory;
  anyUntil_ = now + kServiceMemory;
}

void RefusalLimits::recordRefusal(fleet::ServerKey server, MonotonicTime now) {
  Known& known = known_.try_emplace(server, Known{now, std::nullopt}).first->second;
  known.refusedAt = now;
}

std::optional<double> RefusalLimits::limitOf(const fleet::Server& server, MonotonicTime now) const {
  const LimitRecord* record = table_.find(fleet::keyOf(server));
  if (record != nullptr) {
    return record->limited ? std::optional(record->perSecond) : std::nullopt;
  }
  const auto service = services_.find(server.service);
  const bool presumed = service != services_.end() && now < service->second.until;
  return presumed ? std::optional(service->second.refusals) : std::nullopt;
}

bool RefusalLimits::needsPermit(const fleet::Server& server, const fleet::KnownLoad& load,
                                MonotonicTime now) {
  if (!any(now) || !limitOf(server, now)) {
    return false;
  }
  const Known& known =
      known_.try_emplace(fleet::keyOf(server), Known{now, std::nullopt}).first->second;
  const bool refusedLately = known.refusedAt && now - *known.refusedAt < kAfterRefusal;
  const bool isNew = now - known.since < kNewServer;
  const bool reported = load.reportedAt && now - *load.reportedAt < kMaxReportAge;
  const bool serverIsFree = load.requests() * kFreePartOfSlots < server.slots;
  const auto service = services_.find(server.service);
  const bool serviceIsFree = service != services_.end() && service->second.farFromFullSince &&
                             now - *service->second.farFromFullSince >= kCalmTime &&
                             now - service->second.lookedAt < kMaxReportAge;
  return refusedLately || isNew || !reported || !serverIsFree || !serviceIsFree;
}

std::vector<std::string> RefusalLimits::services() const {
  std::vector<std::string> names;
  names.reserve(services_.size());
  for (const auto& [name, limit] : services_) {
    names.push_back(name);
  }
  return names;
}

void RefusalLimits::recordServiceLoad(const std::string& service, std::size_t requests,
                                      std::size_t slots, MonotonicTime now) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return;
  }
  ServiceLimit& limit = found->second;
  limit.lookedAt = now;
  if (requests * kFreePartOfSlots >= slots) {
    limit.farFromFullSince.reset();
  } else if (!limit.farFromFullSince) {
    limit.farFromFullSince = now;
  }
}

void RefusalLimits::recordNoPermit(const std::string& service) {
  const auto found = services_.find(service);
  if (found != services_.end()) {
    found->second.farFromFullSince.reset();
  }
}

void RefusalLimits::removeUnlisted(const std::function<bool(fleet::ServerKey)>& isListed,
                                   MonotonicTime now) {
  table_.removeUnlisted(isListed);
  std::erase_if(known_, [&isListed](const auto& item) { return !isListed(item.first); });
  std::erase_if(services_, [now](const auto& item) { return item.second.until <= now; });
}

}  // namespace calicodrift::server_limits
