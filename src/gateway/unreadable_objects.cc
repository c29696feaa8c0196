#include "gateway/unreadable_objects.h"

#include <set>

#include "log/log.h"
#include "store/unreadable.h"

namespace calicodrift::gateway {

void UnreadableObjects::note(const std::string& kind, const store::Object& object,
                             const Error& error) {
  const std::string_view reason = error.reason.empty() ? store::kMalformed : error.reason;
  const Told told{object.revision, std::string(reason)};
  const auto [found, added] = told_.try_emplace({kind, object.name}, told);
  if (!added && found->second == told) {
    return;
  }
  found->second = told;
  metrics_.countUnreadable(kind, reason);
  log::write(log::Level::kWarning, "object_unreadable",
             {{"kind", kind},
              {"name", object.name},
              {"revision", std::to_string(object.revision.value())},
              {"reason", told.reason},
              {"detail", error.detail}});
}

void UnreadableObjects::clear(const std::string& kind, const std::string& name) {
  if (told_.erase({kind, name}) > 0) {
    log::write(log::Level::kInfo, "object_readable", {{"kind", kind}, {"name", name}});
  }
}

void UnreadableObjects::keepListed(const std::string& kind, const store::Listing& listing) {
  std::set<std::string> listed;
  for (const store::Object& object : listing.objects) {
    listed.insert(object.name);
  }
  std::erase_if(told_, [&kind, &listed](const auto& entry) {
    return entry.first.first == kind && !listed.contains(entry.first.second);
  });
}

}  // namespace calicodrift::gateway
