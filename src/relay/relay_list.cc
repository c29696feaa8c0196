#include "relay/relay_list.h"

#include <algorithm>
#include <boost/json.hpp>

namespace calicodrift::relay {

namespace json = boost::json;
using boost::asio::awaitable;

namespace {

constexpr std::string_view kListKind = "calicodrift-relays";
constexpr std::string_view kRelaysField = "relays";

/// What is malformed in a list is left out.
std::vector<Endpoint> relaysIn(const store::Object& list) {
  std::vector<Endpoint> found;
  const json::object* spec = list.spec.if_object();
  const json::value* relays = spec == nullptr ? nullptr : spec->if_contains(kRelaysField);
  if (relays == nullptr || !relays->is_array()) {
    return found;
  }
  for (const json::value& relay : relays->get_array()) {
    const json::string* text = relay.if_string();
    const Result<Endpoint> endpoint = parseEndpoint(text == nullptr ? "" : std::string_view(*text));
    if (endpoint) {
      found.push_back(endpoint.value());
    }
  }
  return found;
}

}  // namespace

bool RelayList::contains(const Endpoint& relay) const {
  return std::find(relays.begin(), relays.end(), relay) != relays.end();
}

awaitable<Result<RelayList>> RelayListStore::read() {
  Result<store::Object> object = co_await store_.get(std::string(kListKind), zone_);
  if (!object) {
    if (object.error().kind == ErrorKind::kNotFound) {
      co_return RelayList{};
    }
    co_return object.error();
  }
  co_return RelayList{object.value().revision, relaysIn(object.value())};
}

awaitable<Result<std::vector<Endpoint>>> RelayListStore::readAll() {
  Result<store::Listing> lists = co_await store_.list(std::string(kListKind));
  if (!lists) {
    co_return lists.error();
  }
  std::vector<Endpoint> all;
  for (const store::Object& list : lists.value().objects) {
    const std::vector<Endpoint> relays = relaysIn(list);
    all.insert(all.end(), relays.begin(), relays.end());
  }
  co_return all;
}

awaitable<Result<void>> RelayListStore::write(RelayList list) {
  json::array relays;
  for (const Endpoint& relay : list.relays) {
    relays.emplace_back(relay.toString());
  }
  store::Object object;
  object.name = zone_;
  object.revision = list.revision;
  object.spec = json::object{{kRelaysField, std::move(relays)}};
  Result<store::Revision> written = co_await store_.put(std::string(kListKind), std::move(object));
  if (!written) {
    co_return written.error();
  }
  co_return boost::outcome_v2::success();
}

}  // namespace calicodrift::relay
