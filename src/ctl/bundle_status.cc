#include "ctl/bundle_status.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

#include "ctl/command_support.h"

namespace calicodrift::ctl {
namespace {

namespace json = boost::json;
using boost::asio::awaitable;
constexpr Milliseconds kAnswerTimeout{3000};
constexpr Milliseconds kPollInterval{50};

RouterStatus parseStatus(const Endpoint& router, const std::string& body) {
  RouterStatus status;
  status.router = router;
  json::error_code code;
  const json::value document = json::parse(body, code);
  const json::object* object = code ? nullptr : document.if_object();
  if (object == nullptr) {
    return status;
  }
  const auto find = [object](std::string_view key) {
    const json::value* value = object->if_contains(key);
    return value == nullptr ? json::value() : *value;
  };
  const auto text = [&find](std::string_view key) {
    const json::value value = find(key);
    return value.is_string() ? std::string(value.get_string()) : "";
  };
  const auto flag = [&find](std::string_view key) {
    const json::value value = find(key);
    return value.is_bool() && value.get_bool();
  };
  const json::value version = find("bundle_version");
  const json::value age = find("confirmation_age_ms");
  status.reachable = version.is_number();
  status.version = status.reachable ? version.to_number<std::uint64_t>() : 0;
  status.node = text("node");
  status.zone = text("zone");
  status.vouched = flag("vouched");
  status.watcher = flag("watcher");
  if (age.is_number()) {
    status.confirmationAgeMs = age.to_number<std::int64_t>();
  }
  return status;
}

std::string asTable(const std::vector<RouterStatus>& rows) {
  std::ostringstream table;
  const auto line = [&table](const std::string& router, const std::string& node,
                             const std::string& zone, const std::string& version,
                             const std::string& vouched, const std::string& age,
                             const std::string& watcher) {
    constexpr int kWide = 22;
    constexpr int kNarrow = 12;
    table << std::left << std::setw(kWide) << router << std::setw(kNarrow) << node
          << std::setw(kNarrow) << zone << std::setw(kNarrow) << version << std::setw(kNarrow)
          << vouched << std::setw(kNarrow) << age << watcher << "\n";
  };
  line("router", "node", "zone", "version", "vouched", "age ms", "watcher");
  for (const RouterStatus& row : rows) {
    const std::string version = row.reachable ? std::to_string(row.version) : "unreachable";
    const std::string age = row.confirmationAgeMs ? std::to_string(*row.confirmationAgeMs) : "-";
    line(row.router.toString(), row.node, row.zone, version, row.vouched ? "yes" : "no", age,
         row.watcher ? "yes" : "no");
  }
  return table.str();
}

std::string asJson(const std::vector<RouterStatus>& rows) {
  json::array items;
  for (const RouterStatus& row : rows) {
    json::object item{{"router", row.router.toString()},
                      {"reachable", row.reachable},
                      {"node", row.node},
                      {"zone", row.zone},
                      {"version", row.version},
                      {"vouched", row.vouched},
                      {"watcher", row.watcher}};
    if (row.confirmationAgeMs) {
      item["confirmation_age_ms"] = *row.confirmationAgeMs;
    }
    items.push_back(item);
  }
  return json::serialize(items) + "\n";
}

}  // namespace

awaitable<std::vector<RouterStatus>> readStatus(http::Client& client,
                                                std::vector<Endpoint> routers) {
  std::vector<RouterStatus> rows;
  for (const Endpoint& router : routers) {
    http::Request request;
    request.target = "/admin/bundle";
    http::ExchangeOptions options;
    options.headerTimeout = kAnswerTimeout;
    Result<http::Response> response = co_await client.exchange(router, request, options);
    const bool answered = response && response.value().status == 200;
    rows.push_back(parseStatus(router, answered ? response.value().body : ""));
  }
  co_return rows;
}

awaitable<Result<std::string>> status(http::Client& client, CtlSettings settings) {
  const MonotonicTime end = monotonicNow() + settings.timeout;
  const auto required = static_cast<std::uint64_t>(settings.waitVersion);
  for (;;) {
    const std::vector<RouterStatus> rows = co_await readStatus(client, settings.routers);
    std::string lacking;
    for (const RouterStatus& row : rows) {
      if (required > 0 && (!row.reachable || row.version < required)) {
        lacking += (lacking.empty() ? "" : ", ") + row.router.toString();
      }
    }
    if (lacking.empty()) {
      co_return settings.json ? asJson(rows) : asTable(rows);
    }
    if (monotonicNow() >= end) {
      co_return fail(ErrorKind::kDeadlineExceeded,
                     "version " + std::to_string(required) + " is not in force on " + lacking);
    }
    co_await pauseFor(kPollInterval);
  }
}

}  // namespace calicodrift::ctl
