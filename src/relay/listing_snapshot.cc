#include "relay/listing_snapshot.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "peer/codec.h"
#include "relay/compression.h"

namespace calicodrift::relay {
namespace {

/// Far above kObjectsPerPart objects of the largest size that the store takes.
constexpr std::uint64_t kMaxPartBytes = 536'870'912;

/// A status that is not JSON counts as none, as the reader of a part can't ask for it again.
boost::json::value statusFrom(const std::string& text) {
  boost::system::error_code code;
  boost::json::value status;
  if (!text.empty()) {
    status = boost::json::parse(text, code);
  }
  return code ? boost::json::value() : status;
}

store::Object withSpecText(ViewObject message) {
  store::Object object;
  object.name = std::move(message.name);
  object.revision = store::Revision(message.revision);
  object.deleting = message.deleting;
  message.spec.shrink_to_fit();
  object.specText = std::make_shared<const std::string>(std::move(message.spec));
  object.status = statusFrom(message.status);
  return object;
}

}  // namespace

SnapshotPart encodePart(const std::vector<store::Object>& objects, std::size_t first) {
  std::vector<ViewObject> messages;
  const std::size_t end = std::min(objects.size(), first + kObjectsPerPart);
  messages.reserve(end - first);
  for (std::size_t place = first; place < end; ++place) {
    messages.push_back(toMessage(objects[place], false));
  }
  const std::string encoded = peer::encode(messages);
  return {encoded.size(), compress(encoded)};
}

Result<std::vector<store::Object>> decodePart(const SnapshotPart& part) {
  if (part.bytes > kMaxPartBytes) {
    return fail(ErrorKind::kProtocolViolation, "a part of a relayed listing is too long");
  }
  BOOST_OUTCOME_TRY(const std::string encoded, decompress(part.compressed, part.bytes));
  BOOST_OUTCOME_TRY(std::vector<ViewObject> messages,
                    peer::decode<std::vector<ViewObject>>(encoded));
  std::vector<store::Object> objects;
  objects.reserve(messages.size());
  for (ViewObject& message : messages) {
    objects.push_back(withSpecText(std::move(message)));
  }
  return objects;
}

}  // namespace calicodrift::relay
