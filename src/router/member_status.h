#pragma once

#include "http/message.h"
#include "membership/membership.h"

namespace calicodrift::router {

/// The members as this node believes, for GET /admin/members.
http::Response memberStatus(const membership::Membership& membership);

/// Writes a log line for a change that operators care about.
void logMemberChange(const membership::MemberRecord& record, membership::MemberChange change);

}  // namespace calicodrift::router
