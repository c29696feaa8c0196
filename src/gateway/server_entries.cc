#include "gateway/server_entries.h"

#include <utility>
#include <vector>

#include "log/log.h"
#include "store/unreadable.h"

namespace calicodrift::gateway {

void ServerEntries::applyListing(const store::Listing& listing, MonotonicTime now) {
  unreadable_.keepListed(schema_.serverKind(), listing);
  if (afterReturn_.isReturn(listing)) {
    afterReturn_.onReturn(listing, readable_, now);
  }
  afterReturn_.onListing(listing);
  readable_.clear();
  std::vector<fleet::Server> servers;
  std::set<BackendId> withheld;
  for (const store::Object& object : listing.objects) {
    std::optional<fleet::Server> server;
    if (!afterReturn_.isOutdated(object)) {
      server = usable(object);
    }
    if (server) {
      servers.push_back(std::move(*server));
    } else {
      withheld.insert(BackendId(object.name));
    }
  }
  keepMissing(servers);
  pool_.applyListing(servers, now, withheld);
  log::write(log::Level::kInfo, "servers_listed",
             {{"count", std::to_string(servers.size())},
              {"withheld", std::to_string(withheld.size())},
              {"revision", store::toString(listing.revision)}});
}

void ServerEntries::keepMissing(std::vector<fleet::Server>& servers) {
  for (const auto& [id, known] : afterReturn_.missing()) {
    if (!readable_.contains(id)) {
      readable_[id] = known;
      servers.push_back(known.server);
    }
  }
}

void ServerEntries::removeExpired(MonotonicTime now) {
  for (const BackendId& id : afterReturn_.takeExpired(now)) {
    log::write(log::Level::kInfo, "server_not_back", {{"server", id.value()}});
    readable_.erase(id);
    pool_.remove(id);
  }
}

void ServerEntries::applyChange(const store::Change& change, MonotonicTime now) {
  const BackendId id(change.object.name);
  readable_.erase(id);
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
  for (const auto& [id, entry] : readable_) {
    const bool wasNamed = !before || before->contains(entry.server.service);
    const bool named = isNamed(entry.server.service);
    if (wasNamed && !named) {
      noteUnnamed(id, entry);
      pool_.withhold(id, now);
    } else if (!wasNamed && named) {
      unreadable_.clear(schema_.serverKind(), id.value());
      logChange(entry.server, entry.revision);
      pool_.apply(entry.server, now);
    }
  }
}

std::optional<fleet::Server> ServerEntries::usable(const store::Object& object) {
  const Result<fleet::Server> server = schema_.readServer(object);
  if (!server) {
    unreadable_.note(schema_.serverKind(), object, server.error());
    return std::nullopt;
  }
  const Entry& entry =
      readable_.insert_or_assign(server.value().id, Entry{server.value(), object.revision})
          .first->second;
  if (!isNamed(entry.server.service)) {
    noteUnnamed(server.value().id, entry);
    return std::nullopt;
  }
  unreadable_.clear(schema_.serverKind(), object.name);
  return entry.server;
}

bool ServerEntries::isNamed(const std::string& service) const {
  return !services_ || services_->contains(service);
}

void ServerEntries::noteUnnamed(const BackendId& id, const Entry& entry) {
  store::Object object;
  object.name = id.value();
  object.revision = entry.revision;
  unreadable_.note(schema_.serverKind(), object,
                   store::unreadable(store::kUnknownService,
                                     "no service '" + entry.server.service + "' is configured"));
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
