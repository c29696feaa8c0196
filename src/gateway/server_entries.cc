#include "gateway/server_entries.h"

#include <utility>
#include <vector>

#include "log/log.h"
#include "store/unreadable.h"

namespace calicodrift::gateway {

void ServerEntries::beginListing(const store::Listing& listing, MonotonicTime now) {
  unreadable_.keepListed(schema_.serverKind(), listing);
  if (afterReturn_.isReturn(listing)) {
    onReturn(listing, now);
  }
  afterReturn_.onListing(listing);
  listed_.clear();
  withheld_ = 0;
}

void ServerEntries::applyListed(const store::Object& object, MonotonicTime now) {
  const BackendId id(object.name);
  listed_.insert(id);
  unnamed_.erase(id);
  unreadableServers_.erase(id);
  std::optional<fleet::Server> server;
  if (!afterReturn_.isOutdated(object)) {
    server = usable(object);
  }
  if (server) {
    pool_.apply(*server, now);
  } else {
    ++withheld_;
    pool_.withhold(id, now);
  }
}

void ServerEntries::endListing(store::Revision revision, MonotonicTime now) {
  const std::size_t used = listed_.size() - withheld_;
  forgetUnlisted();
  keepMissing(now);
  pool_.removeUnlisted(listed_);
  listed_.clear();
  log::write(log::Level::kInfo, "servers_listed",
             {{"count", std::to_string(used)},
              {"withheld", std::to_string(withheld_)},
              {"revision", store::toString(revision)}});
}

void ServerEntries::onReturn(const store::Listing& listing, MonotonicTime now) {
  EntriesAfterReturn::KnownServers known = unnamed_;
  pool_.visit([this, &known](const fleet::Server& server) {
    if (!unreadableServers_.contains(server.id)) {
      known.try_emplace(server.id, Entry{server, store::Revision()});
    }
  });
  afterReturn_.onReturn(listing, known, now);
}

void ServerEntries::keepMissing(MonotonicTime now) {
  for (const auto& [id, known] : afterReturn_.missing()) {
    if (listed_.insert(id).second) {
      pool_.apply(known.server, now);
    }
  }
}

void ServerEntries::forgetUnlisted() {
  std::erase_if(unreadableServers_, [this](const BackendId& id) { return !listed_.contains(id); });
  std::erase_if(unnamed_, [this](const auto& entry) {
    const BackendId& id = entry.first;
    const bool gone = !listed_.contains(id);
    if (gone) {
      unreadable_.clear(schema_.serverKind(), id.value());
    }
    return gone;
  });
}

void ServerEntries::removeExpired(MonotonicTime now) {
  for (const BackendId& id : afterReturn_.takeExpired(now)) {
    log::write(log::Level::kInfo, "server_not_back", {{"server", id.value()}});
    unnamed_.erase(id);
    unreadableServers_.erase(id);
    pool_.remove(id);
  }
}

void ServerEntries::applyChange(const store::Change& change, MonotonicTime now) {
  const BackendId id(change.object.name);
  unnamed_.erase(id);
  unreadableServers_.erase(id);
  if (change.removed) {
    afterReturn_.onRemoved(id, now);
    unreadable_.clear(schema_.serverKind(), change.object.name);
    pool_.remove(id);
    return;
  }
  afterReturn_.onWritten(id);
  const std::optional<fleet::Server> server = usable(change.object);
  if (!server) {
    pool_.withhold(id, now);
    return;
  }
  logChange(*server, change.object.revision);
  pool_.apply(*server, now);
}

void ServerEntries::applyConfiguration(const routes::RouteTable& table, MonotonicTime now) {
  const std::optional<std::set<std::string>> before = std::move(services_);
  services_.emplace();
  for (const routes::Service& service : table.services()) {
    // A store of kept cache stands on no list.
    if (!service.cacheStore) {
      services_->insert(service.name);
    }
  }
  if (before == services_) {
    return;
  }
  std::vector<Entry> nowNamed;
  for (const auto& [id, entry] : unnamed_) {
    if (isNamed(entry.server.service)) {
      nowNamed.push_back(entry);
    }
  }
  std::vector<Entry> nowUnnamed;
  pool_.visit([&](const fleet::Server& server) {
    const bool setAsideBefore =
        unnamed_.contains(server.id) || unreadableServers_.contains(server.id);
    if (!setAsideBefore && !isNamed(server.service)) {
      nowUnnamed.push_back({server, store::Revision()});
    }
  });
  for (Entry& entry : nowUnnamed) {
    pool_.withhold(entry.server.id, now);
    setAside(std::move(entry));
  }
  for (const Entry& entry : nowNamed) {
    unnamed_.erase(entry.server.id);
    unreadable_.clear(schema_.serverKind(), entry.server.id.value());
    logChange(entry.server, entry.revision);
    pool_.apply(entry.server, now);
  }
}

std::optional<fleet::Server> ServerEntries::usable(const store::Object& object) {
  Result<fleet::Server> server = schema_.readServer(object);
  if (!server) {
    unreadable_.note(schema_.serverKind(), object, server.error());
    unreadableServers_.insert(BackendId(object.name));
    return std::nullopt;
  }
  if (!isNamed(server.value().service)) {
    setAside({std::move(server.value()), object.revision});
    return std::nullopt;
  }
  unreadable_.clear(schema_.serverKind(), object.name);
  return std::move(server.value());
}

bool ServerEntries::isNamed(const std::string& service) const {
  return !services_ || services_->contains(service);
}

void ServerEntries::setAside(Entry entry) {
  store::Object object;
  object.name = entry.server.id.value();
  object.revision = entry.revision;
  unreadable_.note(schema_.serverKind(), object,
                   store::unreadable(store::kUnknownService,
                                     "no service '" + entry.server.service + "' is configured"));
  const BackendId id = entry.server.id;
  unnamed_.insert_or_assign(id, std::move(entry));
}

void ServerEntries::logChange(const fleet::Server& server, store::Revision revision) const {
  const fleet::Server* known = pool_.find(server.id);
  if (known != nullptr && *known == server) {
    return;
  }
  log::write(log::Level::kInfo, "server_listed",
             {{"server", server.id.value()},
              {"service", server.service},
              {"version", server.version.value()},
              {"address", server.endpoint.toString()},
              {"draining", server.draining ? "true" : "false"},
              {"revision", store::toString(revision)}});
}

}  // namespace calicodrift::gateway
