#include "relay/messages.h"

#include <boost/json.hpp>

namespace calicodrift::relay {

ViewObject toMessage(const store::Object& object, bool removed) {
  ViewObject message;
  message.name = object.name;
  message.revision = object.revision.value();
  message.deleting = object.deleting;
  message.removed = removed;
  message.spec = object.specText ? *object.specText : boost::json::serialize(object.spec);
  if (!object.status.is_null()) {
    message.status = boost::json::serialize(object.status);
  }
  return message;
}

Result<store::Object> toObject(const ViewObject& object) {
  boost::system::error_code code;
  store::Object read;
  if (object.spec.size() >= store::kLargeSpecBytes) {
    read.specText = std::make_shared<const std::string>(object.spec);
  } else {
    read.spec = boost::json::parse(object.spec, code);
  }
  if (code) {
    return fail(ErrorKind::kProtocolViolation, "a relayed object is not JSON");
  }
  if (!object.status.empty()) {
    read.status = boost::json::parse(object.status, code);
    if (code) {
      return fail(ErrorKind::kProtocolViolation, "a relayed object's status is not JSON");
    }
  }
  read.name = object.name;
  read.revision = store::Revision(object.revision);
  read.deleting = object.deleting;
  return read;
}

store::Object toObjectOrUnreadable(const ViewObject& object) {
  Result<store::Object> read = toObject(object);
  if (read) {
    return std::move(read.value());
  }
  store::Object unreadable;
  unreadable.name = object.name;
  unreadable.revision = store::Revision(object.revision);
  unreadable.deleting = object.deleting;
  return unreadable;
}

}  // namespace calicodrift::relay
