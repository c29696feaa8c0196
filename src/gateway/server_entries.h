#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/server_pool.h"
#include "gateway/entries_after_return.h"
#include "gateway/store_schema.h"
#include "gateway/unreadable_objects.h"
#include "store/object_store.h"

namespace calicodrift::gateway {

/// Brings the pool in line with the list of servers, of which an entry may come from another
/// writer. An entry that can't be read, or whose service the configuration doesn't name, names no
/// server to use: a server that was known by an earlier entry is withheld, and back with the next
/// entry that can be used. Entries don't touch each other, in listings and in changes alike.
/// docs/design/foreign-entries.md has the cases.
///
/// Invariant: a server is used only if its newest entry could be read and names a service of the
/// configuration in force, once there is one.
class ServerEntries {
 public:
  ServerEntries(const StoreSchema& schema, fleet::ServerPool& pool, UnreadableObjects& unreadable)
      : schema_(schema), pool_(pool), unreadable_(unreadable) {}

  /// Replaces all entries.
  void applyListing(const store::Listing& listing, MonotonicTime now);
  void applyChange(const store::Change& change, MonotonicTime now);
  /// Removes servers that a copy of the store lacked and that are not back in time.
  void removeExpired(MonotonicTime now);
  /// A configuration is in force: servers of its services alone are used.
  void applyConfiguration(const routes::RouteTable& table, MonotonicTime now);

 private:
  /// An entry that could be read.
  using Entry = EntriesAfterReturn::Known;

  /// Adds the servers that a copy lacks and that may be back.
  void keepMissing(std::vector<fleet::Server>& servers);
  /// Nothing, and tells why, where the entry can't be used.
  std::optional<fleet::Server> usable(const store::Object& object);
  bool isNamed(const std::string& service) const;
  void noteUnnamed(const BackendId& id, const Entry& entry);
  void logChange(const fleet::Server& server, store::Revision revision) const;

  const StoreSchema& schema_;
  fleet::ServerPool& pool_;
  UnreadableObjects& unreadable_;
  /// Nothing before the first configuration.
  std::optional<std::set<std::string>> services_;
  /// The newest entries, as far as they can be read.
  std::map<BackendId, Entry> readable_;
  EntriesAfterReturn afterReturn_;
};

}  // namespace calicodrift::gateway
