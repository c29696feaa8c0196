#include "store_stand_in.h"

#include <algorithm>

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
constexpr std::string_view kPath = "/calicodrift/objects/";

std::uint64_t numberOf(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

StoreStandIn::StoreStandIn(asio::io_context& context)
    : context_(context),
      changed_(context, MonotonicTime::max()),
      server_(context.get_executor(), http::ServerLimits{},
              [this](http::Request& request, http::ResponseWriter& writer) {
                return handle(request, writer);
              }) {
  endpoint_ = server_.listen({"127.0.0.1", 0}).value();
}

void StoreStandIn::put(const std::string& kind, const std::string& name, json::value spec) {
  record(kind, name, false, std::move(spec), statusOf(kind, name));
}

void StoreStandIn::remove(const std::string& kind, const std::string& name) {
  const Entry last = kinds_[kind][name];
  record(kind, name, true, last.spec, last.status);
}

void StoreStandIn::compact() {
  compactedBelow_ = revision_;
  history_.clear();
  changed_.cancel();
}

json::value StoreStandIn::specOf(const std::string& kind, const std::string& name) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end() || !found->second.contains(name)) {
    return nullptr;
  }
  return found->second.at(name).spec;
}

json::value StoreStandIn::statusOf(const std::string& kind, const std::string& name) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end() || !found->second.contains(name)) {
    return nullptr;
  }
  return found->second.at(name).status;
}

void StoreStandIn::record(const std::string& kind, const std::string& name, bool gone,
                          json::value spec, json::value status) {
  ++revision_;
  if (gone) {
    kinds_[kind].erase(name);
  } else {
    kinds_[kind][name] = {spec, status, revision_};
  }
  history_.push_back({revision_, kind, name, gone, std::move(spec), std::move(status)});
  changed_.cancel();
}

json::object StoreStandIn::objectJson(const std::string& name, const Entry& entry) {
  return {{"metadata", json::object{{"name", name},
                                    {"revision", entry.revision},
                                    {"made", entry.revision},
                                    {"finalizers", json::array{}},
                                    {"deleting", false}}},
          {"spec", entry.spec},
          {"status", entry.status}};
}

awaitable<void> StoreStandIn::handle(http::Request& request, http::ResponseWriter& writer) {
  ++calls_;
  if (mode_ == Mode::kSilent) {
    asio::steady_timer never(context_, std::chrono::hours(1));
    writer.onCallerGone([&never] { never.cancel(); });
    co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
    writer.abort();
    co_return;
  }
  if (mode_ == Mode::kBusy) {
    co_await http::respond(writer, http::textResponse(503, ""));
    co_return;
  }
  const std::string path = std::string(request.path()).substr(kPath.size());
  const std::size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  if (request.method != "GET") {
    http::Response answer = write(request.method, kind, request);
    if (mode_ == Mode::kLosesWrites) {
      writer.abort();
      co_return;
    }
    co_await http::respond(writer, std::move(answer));
    co_return;
  }
  if (slash != std::string::npos) {
    const std::string name = path.substr(slash + 1);
    const Kind& objects = kinds_[kind];
    const auto found = objects.find(name);
    http::Response answer = http::textResponse(404, "");
    if (found != objects.end()) {
      answer = http::jsonResponse(200, json::serialize(objectJson(name, found->second)));
    }
    co_await http::respond(writer, std::move(answer));
    co_return;
  }
  if (request.queryValue("watch").empty()) {
    co_await http::respond(writer, list(kind));
    co_return;
  }
  const Milliseconds wait(numberOf(request.queryValue("wait_ms")));
  http::Response answer = co_await watch(kind, numberOf(request.queryValue("watch")), wait);
  co_await http::respond(writer, std::move(answer));
}

awaitable<http::Response> StoreStandIn::watch(std::string kind, std::uint64_t since,
                                              Milliseconds wait) {
  const MonotonicTime end = monotonicNow() + wait;
  for (;;) {
    if (since < compactedBelow_) {
      co_return http::textResponse(410, "");
    }
    json::array events;
    for (const Event& event : history_) {
      if (event.kind == kind && event.revision > since) {
        events.push_back(json::object{
            {"gone", event.gone},
            {"object", objectJson(event.name, {event.spec, event.status, event.revision})}});
      }
    }
    if (!events.empty() || monotonicNow() >= end) {
      co_return http::jsonResponse(
          200, json::serialize(json::object{{"events", events}, {"at", revision_}}));
    }
    asio::steady_timer timer(context_, end);
    timer.async_wait([this](boost::system::error_code code) {
      if (!code) {
        changed_.cancel();
      }
    });
    co_await changed_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

http::Response StoreStandIn::list(const std::string& kind) const {
  json::array items;
  const auto found = kinds_.find(kind);
  if (found != kinds_.end()) {
    for (const auto& [name, entry] : found->second) {
      items.push_back(objectJson(name, entry));
    }
  }
  return http::jsonResponse(
      200, json::serialize(json::object{{"items", items}, {"more", false}, {"at", revision_}}));
}

http::Response StoreStandIn::write(const std::string& method, const std::string& kind,
                                   const http::Request& request) {
  const json::value body = json::parse(request.body);
  const json::object& metadata = body.at("metadata").as_object();
  const auto name = json::value_to<std::string>(metadata.at("name"));
  const auto found = kinds_[kind].find(name);
  const bool exists = found != kinds_[kind].end();
  if (method == "PUT" && !exists) {
    return http::textResponse(404, "");
  }
  const bool conflict = method == "POST" ? exists
                                         : metadata.at("revision").to_number<std::uint64_t>() !=
                                               found->second.revision;
  if (conflict) {
    return http::jsonResponse(409, json::serialize(objectJson(name, found->second)));
  }
  if (request.path().ends_with("/status")) {
    record(kind, name, false, found->second.spec, body.at("status"));
  } else {
    put(kind, name, body.at("spec"));
  }
  return http::jsonResponse(200, json::serialize(objectJson(name, kinds_[kind][name])));
}

}  // namespace calicodrift::testing
