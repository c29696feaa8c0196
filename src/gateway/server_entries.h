#pragma once

#include <cstddef>
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

  /// Replaces all entries in steps: beginListing(), applyListed() for each object, endListing().
  /// Configurations may be applied between them, but no changes.
  void beginListing(const store::Listing& listing, MonotonicTime now);
  void applyListed(const store::Object& object, MonotonicTime now);
  void endListing(store::Revision revision, MonotonicTime now);
  void applyChange(const store::Change& change, MonotonicTime now);
  /// Removes servers that a copy of the store lacked and that are not back in time.
  void removeExpired(MonotonicTime now);
  /// A configuration is in force: servers of its services alone are used.
  void applyConfiguration(const routes::RouteTable& table, MonotonicTime now);

 private:
  /// An entry that could be read.
  using Entry = EntriesAfterReturn::Known;

  /// Prepares for the first listing of a store that has returned from a copy.
  void onReturn(const store::Listing& listing, MonotonicTime now);
  /// Keeps the servers that a copy lacks and that may be back.
  void keepMissing(MonotonicTime now);
  /// The server of the entry; empty, and logged, if the entry cannot be used.
  std::optional<fleet::Server> usable(const store::Object& object);
  /// Forgets the entries that the listing lacks.
  void forgetUnlisted();
  bool isNamed(const std::string& service) const;
  /// Records that the entry's service is not configured.
  void setAside(Entry entry);
  void logChange(const fleet::Server& server, store::Revision revision) const;

  const StoreSchema& schema_;
  fleet::ServerPool& pool_;
  UnreadableObjects& unreadable_;
  /// Empty before the first configuration.
  std::optional<std::set<std::string>> services_;
  /// Readable entries whose service is not configured. The others are in the pool only.
  std::map<BackendId, Entry> unnamed_;
  /// Servers in the pool whose newest entry cannot be read.
  std::set<BackendId> unreadableServers_;
  /// Of the listing that is being applied.
  std::set<BackendId> listed_;
  std::size_t withheld_ = 0;
  EntriesAfterReturn afterReturn_;
};

}  // namespace calicodrift::gateway
