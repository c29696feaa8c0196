#include "sim/machine_list_server.h"

namespace calicodrift::sim {
namespace {

constexpr std::string_view kMachinePrefix = "/machines/";

}  // namespace

MachineListServer::MachineListServer(const boost::asio::any_io_executor& executor,
                                     http::ServerLimits limits, Milliseconds lag)
    : lag_(lag),
      server_(executor, limits, [this](http::Request& request, http::ResponseWriter& writer) {
        return handle(request, writer);
      }) {}

boost::asio::awaitable<void> MachineListServer::handle(http::Request& request,
                                                       http::ResponseWriter& writer) {
  http::Response response;
  if (request.path() == "/machines") {
    response = http::jsonResponse(200, object_api::toJson(laggedList()));
  } else if (request.path().starts_with(kMachinePrefix)) {
    response = change(request);
  } else {
    response = http::errorResponse(fail(ErrorKind::kUnknownRoute, "use /machines[/NAME]"));
  }
  co_await http::respond(writer, std::move(response));
}

http::Response MachineListServer::change(const http::Request& request) {
  const std::string name(request.path().substr(kMachinePrefix.size()));
  if (request.method == "DELETE") {
    machines_.erase(name);
    recordSnapshot();
    return http::jsonResponse(200, "{}");
  }
  Result<object_api::Machine> machine = object_api::machineFromJson(request.body);
  if (!machine) {
    return http::errorResponse(fail(ErrorKind::kMalformedRequest, machine.error().detail));
  }
  machines_[name] = machine.value();
  recordSnapshot();
  return http::jsonResponse(200, object_api::toJson(machine.value()));
}

void MachineListServer::recordSnapshot() {
  Snapshot snapshot{monotonicNow(), {}};
  for (const auto& entry : machines_) {
    snapshot.machines.push_back(entry.second);
  }
  history_.push_back(std::move(snapshot));
}

std::vector<object_api::Machine> MachineListServer::laggedList() {
  const MonotonicTime shown = monotonicNow() - lag_;
  while (history_.size() > 1 && history_[1].since <= shown) {
    history_.pop_front();
  }
  if (history_.empty() || history_.front().since > shown) {
    return {};
  }
  return history_.front().machines;
}

}  // namespace calicodrift::sim
