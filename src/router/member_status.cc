#include "router/member_status.h"

#include <boost/json.hpp>

#include "log/log.h"

namespace calicodrift::router {

http::Response memberStatus(const membership::Membership& membership) {
  namespace json = boost::json;
  json::array members;
  membership.table().forEachPresent([&members](const membership::MemberRecord& record) {
    members.push_back(json::object{{"node", record.info.id.value()},
                                   {"incarnation", record.info.incarnation.value()},
                                   {"refutations", record.refutations},
                                   {"state", membership::toString(record.state)},
                                   {"zone", record.info.zone.value()},
                                   {"region", record.info.region.value()},
                                   {"endpoint", record.info.endpoint.toString()}});
  });
  const json::object status{{"node", membership.self().id.value()},
                            {"incarnation", membership.self().incarnation.value()},
                            {"joined", membership.joined()},
                            {"members", members}};
  return http::jsonResponse(200, json::serialize(status));
}

void logMemberChange(const membership::MemberRecord& record, membership::MemberChange change) {
  using membership::MemberChange;
  // Suspicions come and go; the counters show them.
  if (change == MemberChange::kSuspected || change == MemberChange::kRefuted ||
      change == MemberChange::kUpdated) {
    return;
  }
  const bool bad = change == MemberChange::kDied;
  log::write(bad ? log::Level::kWarning : log::Level::kInfo,
             "member_" + std::string(membership::toString(change)),
             {{"member", record.info.id.value()},
              {"incarnation", std::to_string(record.info.incarnation.value())},
              {"zone", record.info.zone.value()}});
}

}  // namespace calicodrift::router
