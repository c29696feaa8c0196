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

/// Joins the texts with one allocation and one copy of each: the loop that makes answers of
/// megabytes is the one whose longest handler a test measures.
std::string concatenated(const std::vector<std::string_view>& texts) {
  std::size_t size = 0;
  for (const std::string_view text : texts) {
    size += text.size();
  }
  std::string joined;
  joined.reserve(size);
  for (const std::string_view text : texts) {
    joined += text;
  }
  return joined;
}

}  // namespace

StoreStandIn::StoreStandIn(asio::io_context& context)
    : context_(context),
      changed_(context, MonotonicTime::max()),
      server_(context.get_executor(), http::ServerLimits{},
              [this](http::Request& request, http::ResponseWriter& writer) {
                return handle(request, writer, nullptr);
              }) {
  endpoint_ = server_.listen({"127.0.0.1", 0}).value();
}

Endpoint StoreStandIn::listenBehindLink(std::size_t bytesPerSecond) {
  links_.push_back(std::make_unique<SlowLink>(context_, bytesPerSecond));
  SlowLink* link = links_.back().get();
  linkServers_.push_back(std::make_unique<http::Server>(
      context_.get_executor(), http::ServerLimits{},
      [this, link](http::Request& request, http::ResponseWriter& writer) {
        return handle(request, writer, link);
      }));
  return linkServers_.back()->listen({"127.0.0.1", 0}).value();
}

void StoreStandIn::copy() {
  copy_ = Copy{kinds_, revision_};
}

void StoreStandIn::restoreCopy() {
  kinds_ = copy_.value().kinds;
  revision_ = copy_->revision;
  std::erase_if(history_, [this](const Event& event) { return event.revision > revision_; });
  ++era_;
  changed_.cancel();
}

std::size_t StoreStandIn::callsOf(const std::string& call) const {
  const auto found = callsBy_.find(call);
  return found == callsBy_.end() ? 0 : found->second;
}

void StoreStandIn::put(const std::string& kind, const std::string& name, json::value spec) {
  record(kind, name, false, Entry(std::move(spec), statusOf(kind, name)));
}

void StoreStandIn::putRawSpec(const std::string& kind, const std::string& name, std::string bytes) {
  Entry entry(nullptr, statusOf(kind, name));
  entry.rawSpec = std::move(bytes);
  record(kind, name, false, std::move(entry));
}

void StoreStandIn::putRawObject(const std::string& kind, const std::string& name,
                                std::string bytes) {
  Entry entry;
  entry.rawObject = std::move(bytes);
  record(kind, name, false, std::move(entry));
}

void StoreStandIn::remove(const std::string& kind, const std::string& name) {
  record(kind, name, true, kinds_[kind][name]);
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
                          Entry entry) {
  ++revision_;
  entry.revision = revision_;
  entry.text = std::make_shared<const std::string>(objectText(name, entry));
  if (gone) {
    kinds_[kind].erase(name);
  } else {
    kinds_[kind][name] = entry;
  }
  history_.push_back({revision_, kind, name, gone, std::move(entry)});
  changed_.cancel();
}

std::string StoreStandIn::objectText(const std::string& name, const Entry& entry) {
  if (entry.rawObject) {
    return *entry.rawObject;
  }
  const json::object metadata{{"name", name},
                              {"revision", entry.revision},
                              {"made", entry.revision},
                              {"finalizers", json::array{}},
                              {"deleting", false}};
  return R"({"metadata":)" + json::serialize(metadata) + R"(,"spec":)" +
         entry.rawSpec.value_or(json::serialize(entry.spec)) + R"(,"status":)" +
         json::serialize(entry.status) + "}";
}

awaitable<void> StoreStandIn::respond(http::ResponseWriter& writer, http::Response answer,
                                      SlowLink* link) {
  answer.headers.set("Store-Era", std::to_string(era_));
  if (link == nullptr) {
    co_await http::respond(writer, std::move(answer));
    co_return;
  }
  co_await link->send(writer, std::move(answer));
}

awaitable<void> StoreStandIn::handle(http::Request& request, http::ResponseWriter& writer,
                                     SlowLink* link) {
  ++calls_;
  if (mode_ == Mode::kSilent) {
    asio::steady_timer never(context_, std::chrono::hours(1));
    writer.onCallerGone([&never] { never.cancel(); });
    co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
    writer.abort();
    co_return;
  }
  if (mode_ == Mode::kBusy) {
    co_await respond(writer, http::textResponse(503, ""), link);
    co_return;
  }
  const std::string path = std::string(request.path()).substr(kPath.size());
  const std::size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  ++callsBy_[request.method + " " + kind];
  if (request.method != "GET") {
    http::Response answer = write(request.method, kind, request);
    if (mode_ == Mode::kLosesWrites) {
      writer.abort();
      co_return;
    }
    co_await respond(writer, std::move(answer), link);
    co_return;
  }
  if (slash != std::string::npos) {
    const std::string name = path.substr(slash + 1);
    const Kind& objects = kinds_[kind];
    const auto found = objects.find(name);
    http::Response answer = http::textResponse(404, "");
    if (found != objects.end()) {
      answer = http::jsonResponse(200, *found->second.text);
    }
    co_await respond(writer, std::move(answer), link);
    co_return;
  }
  if (request.queryValue("watch").empty()) {
    co_await respond(writer, list(kind), link);
    co_return;
  }
  const Milliseconds wait(numberOf(request.queryValue("wait_ms")));
  http::Response answer = co_await watch(kind, numberOf(request.queryValue("watch")), wait);
  co_await respond(writer, std::move(answer), link);
}

awaitable<http::Response> StoreStandIn::watch(std::string kind, std::uint64_t since,
                                              Milliseconds wait) {
  const MonotonicTime end = monotonicNow() + wait;
  for (;;) {
    if (since < compactedBelow_ || since > revision_) {
      co_return http::textResponse(410, "");
    }
    std::vector<std::string_view> texts{R"({"events":[)"};
    for (const Event& event : history_) {
      if (event.kind == kind && event.revision > since) {
        texts.insert(texts.end(),
                     {texts.size() > 1 ? "," : "",
                      event.gone ? R"({"gone":true,"object":)" : R"({"gone":false,"object":)",
                      *event.entry.text, "}"});
      }
    }
    if (texts.size() > 1 || monotonicNow() >= end) {
      const std::string at = R"(],"at":)" + std::to_string(revision_) + "}";
      texts.push_back(at);
      co_return http::jsonResponse(200, concatenated(texts));
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
  std::vector<std::string_view> texts{R"({"items":[)"};
  const auto found = kinds_.find(kind);
  if (found != kinds_.end()) {
    for (const auto& [name, entry] : found->second) {
      texts.insert(texts.end(), {texts.size() > 1 ? "," : "", *entry.text});
    }
  }
  const std::string at = R"(],"more":false,"at":)" + std::to_string(revision_) + "}";
  texts.push_back(at);
  return http::jsonResponse(200, concatenated(texts));
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
    return http::jsonResponse(409, *found->second.text);
  }
  if (request.path().ends_with("/status")) {
    Entry changed = found->second;
    changed.status = body.at("status");
    record(kind, name, false, std::move(changed));
  } else {
    put(kind, name, body.at("spec"));
  }
  return http::jsonResponse(200, *kinds_[kind][name].text);
}

}  // namespace calicodrift::testing
