#include "ctl/bundle_commands.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "bundle/signature.h"
#include "ctl/command_support.h"
#include "http/client.h"
#include "platform/object_api.h"

namespace calicodrift::ctl {
namespace {

using boost::asio::awaitable;
constexpr std::string_view kBundleKind = "bundles";
constexpr std::string_view kBundleName = "current";

/// A file with a signed bundle, or with a plain one, which then has no signatures.
Result<bundle::SignedBundle> readBundleFile(const std::string& file) {
  Result<std::string> text = readFile(file);
  if (!text) {
    return text.error();
  }
  Result<bundle::SignedBundle> signedBundle = bundle::signedBundleFromJson(text.value());
  if (signedBundle) {
    return signedBundle;
  }
  return bundle::SignedBundle{text.value(), {}};
}

awaitable<Result<std::string>> submit(http::Client& client, Endpoint endpoint,
                                      bundle::SignedBundle signedBundle, bundle::Bundle parsed) {
  platform::ObjectApiClient store(client, endpoint);
  const std::string kind(kBundleKind);
  const std::string name(kBundleName);
  Result<platform::StoredObject> current = co_await store.get(kind, name);
  if (!current && current.error().kind != ErrorKind::kNotFound) {
    co_return current.error();
  }
  platform::StoredObject object{kind, name, {}, bundle::toJson(signedBundle)};
  if (current) {
    object.version = current.value().version;
    Result<bundle::SignedBundle> stored = bundle::signedBundleFromJson(current.value().spec);
    Result<bundle::Bundle> storedBundle =
        stored ? bundle::parseBundle(stored.value().text) : stored.error();
    if (storedBundle && storedBundle.value().version >= parsed.version) {
      co_return fail(ErrorKind::kVersionConflict,
                     "version " + std::to_string(storedBundle.value().version.value()) +
                         " is stored already; base the change on it and raise the version");
    }
  }
  const std::string accepted = "accepted version " + std::to_string(parsed.version.value()) + "\n";
  Result<platform::StoredObject> written = co_await store.put(object);
  if (written) {
    co_return accepted;
  }
  if (written.error().kind != ErrorKind::kOutcomeUnknown) {
    co_return written.error();
  }
  // The answer was lost: what the store holds now tells whether the write took effect.
  Result<platform::StoredObject> readBack = co_await store.get(kind, name);
  if (!readBack) {
    co_return written.error();
  }
  if (readBack.value().spec == object.spec) {
    co_return accepted;
  }
  co_return fail(ErrorKind::kVersionConflict, "the write did not take effect; another one did");
}

awaitable<Result<std::string>> status(http::Client& client, const CtlSettings& settings) {
  std::string table = "router                 bundle version\n";
  boost::json::array rows;
  for (const Endpoint& router : settings.routers) {
    http::Request request;
    request.target = "/admin/bundle";
    http::ExchangeOptions options;
    options.headerTimeout = Milliseconds(3000);
    Result<http::Response> response = co_await client.exchange(router, request, options);
    std::string version = "unreachable";
    if (response && response.value().status == 200) {
      const boost::json::value body = boost::json::parse(response.value().body);
      version = boost::json::serialize(body.at("bundle_version"));
    }
    rows.push_back(boost::json::object{{"router", router.toString()}, {"version", version}});
    table += router.toString() + "  " + version + "\n";
  }
  co_return settings.json ? boost::json::serialize(rows) + "\n" : table;
}

Result<Endpoint> storeOf(const CtlSettings& settings) {
  if (settings.objectApi.empty()) {
    return fail(ErrorKind::kSettingsInvalid, "give --object-api ADDRESS:PORT");
  }
  return settings.objectApi.front();
}

}  // namespace

Result<std::string> checkBundle(const std::string& file) {
  Result<bundle::SignedBundle> signedBundle = readBundleFile(file);
  if (!signedBundle) {
    return signedBundle.error();
  }
  Result<bundle::Bundle> parsed = bundle::parseBundle(signedBundle.value().text);
  if (!parsed) {
    return parsed.error();
  }
  return "version " + std::to_string(parsed.value().version.value()) + " is valid\n";
}

Result<std::string> makeKey(const CtlSettings& settings) {
  if (settings.keyFile.empty()) {
    return fail(ErrorKind::kSettingsInvalid, "give --key-file FILE for the private key");
  }
  Result<bundle::KeyPair> pair = bundle::generateKeyPair();
  if (!pair) {
    return pair.error();
  }
  Result<std::string> written = writeFile(settings.keyFile, pair.value().privateKeyHex + "\n");
  if (!written) {
    return written.error();
  }
  return pair.value().publicKeyHex + "\n";
}

Result<std::string> signBundle(const CtlSettings& settings, const std::string& file) {
  Result<bundle::SignedBundle> signedBundle = readBundleFile(file);
  Result<std::string> key = readFile(settings.keyFile);
  if (!signedBundle || !key) {
    return signedBundle ? key.error() : signedBundle.error();
  }
  Result<bundle::Bundle> parsed = bundle::parseBundle(signedBundle.value().text);
  if (!parsed) {
    return parsed.error();
  }
  const std::string keyHex = key.value().substr(0, key.value().find_first_of(" \r\n"));
  Result<bundle::Signature> signature =
      bundle::sign(settings.signer, keyHex, signedBundle.value().text);
  if (!signature) {
    return signature.error();
  }
  signedBundle.value().signatures.push_back(signature.value());
  return writeFile(settings.output.empty() ? file : settings.output,
                   bundle::toJson(signedBundle.value()));
}

Result<std::string> submitBundle(const CtlSettings& settings, const std::string& file) {
  Result<Endpoint> store = storeOf(settings);
  Result<bundle::SignedBundle> signedBundle = readBundleFile(file);
  if (!store || !signedBundle) {
    return store ? signedBundle.error() : store.error();
  }
  Result<bundle::Bundle> parsed = bundle::parseBundle(signedBundle.value().text);
  if (!parsed) {
    return parsed.error();
  }
  return runToEnd([&](http::Client& client) {
    return submit(client, store.value(), signedBundle.value(), parsed.value());
  });
}

Result<std::string> bundleStatus(const CtlSettings& settings) {
  return runToEnd([&](http::Client& client) { return status(client, settings); });
}

}  // namespace calicodrift::ctl
