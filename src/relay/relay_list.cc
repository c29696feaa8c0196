#include "relay/relay_list.h"

#include <algorithm>
#include <boost/json.hpp>

#include "store/unreadable.h"

namespace calicodrift::relay {

namespace json = boost::json;
using boost::asio::awaitable;

namespace {

constexpr std::string_view kRelaysField = "relays";

constexpr std::string_view kAddressField = "address";
constexpr std::string_view kZoneField = "zone";

std::string stringField(const json::object& object, std::string_view field) {
  const json::value* value = object.if_contains(field);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// The list of relays, or null if the object has none.
const json::array* relaysField(const store::Object& object) {
  const json::object* spec = object.spec.if_object();
  const json::value* relays = spec == nullptr ? nullptr : spec->if_contains(kRelaysField);
  return relays == nullptr ? nullptr : relays->if_array();
}

/// Skips malformed entries.
std::vector<Relay> parseRelays(const json::array& list) {
  std::vector<Relay> found;
  for (const json::value& relay : list) {
    if (!relay.is_object()) {
      continue;
    }
    const Result<Endpoint> endpoint = parseEndpoint(stringField(relay.get_object(), kAddressField));
    if (endpoint) {
      found.push_back({endpoint.value(), ZoneId(stringField(relay.get_object(), kZoneField))});
    }
  }
  return found;
}

}  // namespace

bool RelayList::contains(const Endpoint& relay) const {
  return std::any_of(relays.begin(), relays.end(),
                     [&relay](const Relay& listed) { return listed.endpoint == relay; });
}

awaitable<Result<RelayList>> RelayListStore::read() {
  const Result<store::Object> object = co_await store_.get(std::string(kListKind), group_);
  co_return decode(object);
}

awaitable<Result<RelayList>> RelayListStore::readStale() {
  const Result<store::Object> object = co_await store_.getStale(std::string(kListKind), group_);
  co_return decode(object);
}

Result<RelayList> RelayListStore::decode(const Result<store::Object>& object) const {
  if (!object) {
    if (object.error().kind == ErrorKind::kNotFound) {
      return RelayList{};
    }
    return object.error();
  }
  RelayList list;
  list.revision = object.value().revision;
  if (const json::array* relays = relaysField(object.value())) {
    list.relays = parseRelays(*relays);
    return list;
  }
  list.readable = false;
  if (onUnreadable_) {
    onUnreadable_(object.value(), store::unreadable(store::kNotAnObject, "the list of relays"));
  }
  return list;
}

awaitable<Result<store::Revision>> RelayListStore::write(RelayList list) {
  json::array relays;
  for (const Relay& relay : list.relays) {
    relays.push_back(
        json::object{{kAddressField, relay.endpoint.toString()}, {kZoneField, relay.zone.value()}});
  }
  store::Object object;
  object.name = group_;
  object.revision = list.revision;
  object.spec = json::object{{kRelaysField, std::move(relays)}};
  co_return co_await store_.put(std::string(kListKind), std::move(object));
}

}  // namespace calicodrift::relay
