#include "ctl/fleet_commands.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "bundle/signature.h"
#include "ctl/command_support.h"
#include "http/status.h"

namespace calicodrift::ctl {
namespace {

namespace json = boost::json;
using boost::asio::awaitable;

awaitable<Result<std::string>> postDrain(http::Client& client, Endpoint router) {
  http::Request request;
  request.method = "POST";
  request.target = "/admin/drain";
  const Result<http::Response> response = co_await client.exchange(router, std::move(request));
  if (!response) {
    co_return response.error();
  }
  if (response.value().status != http::kStatusOk) {
    co_return fail(ErrorKind::kBackendRefused,
                   "the router answered " + std::to_string(response.value().status));
  }
  co_return "draining " + router.toString() + "\n";
}

}  // namespace

Result<std::string> withWeights(const std::string& bundleText, const std::string& model,
                                std::int64_t weightsVersion) {
  const Result<bundle::Bundle> parsed = bundle::parseBundle(bundleText);
  if (!parsed) {
    return parsed.error();
  }
  json::value document = json::parse(bundleText);
  bool found = false;
  for (json::value& entry : document.at("models").as_array()) {
    if (entry.at("id").as_string() == model) {
      entry.as_object()["weights_version"] = weightsVersion;
      found = true;
    }
  }
  if (!found) {
    return fail(ErrorKind::kUnknownModel, "the bundle has no model '" + model + "'");
  }
  document.as_object()["version"] = parsed.value().version.value() + 1;
  const std::string text = json::serialize(document);
  const Result<bundle::Bundle> checked = bundle::parseBundle(text);
  if (!checked) {
    return checked.error();
  }
  return text + "\n";
}

Result<std::string> proposeWeights(const CtlSettings& settings, const std::string& file) {
  if (file.empty() || settings.model.empty() || settings.weightsVersion < 1) {
    return fail(ErrorKind::kSettingsInvalid,
                "give the bundle's file, --model NAME and --weights-version NUMBER");
  }
  Result<std::string> text = readFile(file);
  if (!text) {
    return text.error();
  }
  const Result<bundle::SignedBundle> signedBundle = bundle::signedBundleFromJson(text.value());
  Result<std::string> changed = withWeights(signedBundle ? signedBundle.value().text : text.value(),
                                            settings.model, settings.weightsVersion);
  if (!changed || settings.output.empty()) {
    return changed;
  }
  return writeFile(settings.output, changed.value());
}

Result<std::string> drainNode(const CtlSettings& settings) {
  if (settings.routers.size() != 1) {
    return fail(ErrorKind::kSettingsInvalid, "give --routers ADDRESS:PORT of one router");
  }
  return runToEnd(
      [&](http::Client& client) { return postDrain(client, settings.routers.front()); });
}

}  // namespace calicodrift::ctl
