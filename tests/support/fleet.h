#pragma once

#include <algorithm>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "bundle/signature.h"
#include "common/hashing.h"
#include "object_api/object_api.h"
#include "support/blocking_client.h"
#include "support/process.h"

namespace calicodrift::testing {

inline const std::string kTestApiKey = "test-key";

/// A platform, back ends and routers as real processes on loopback.
class Fleet {
 public:
  explicit Fleet(std::vector<std::string> platformFlags = {}) {
    platformFlags.insert(platformFlags.begin(), "platform");
    platform = std::make_unique<Process>("calicodrift-sim", platformFlags, 2);
    alice = bundle::generateKeyPair().value();
    bob = bundle::generateKeyPair().value();
  }

  Endpoint store() const { return platform->endpoint("object-api"); }
  Endpoint machineList() const { return platform->endpoint("machine-list"); }

  /// An engine of the model "m" with small blocks and quick steps; `flags` go last and so win.
  std::unique_ptr<Process> startEngine(const std::string& id, std::vector<std::string> flags = {},
                                       bool enterList = true) const {
    std::vector<std::string> all{
        "engine", "--id", id, "--serves", "m", "--block-bytes", "64", "--step-base-us", "2000"};
    return startBackend(std::move(all), std::move(flags), enterList);
  }
  std::unique_ptr<Process> startService(const std::string& id, std::vector<std::string> flags = {},
                                        bool enterList = true) const {
    std::vector<std::string> all{"service", "--id", id, "--serves", "registry"};
    return startBackend(std::move(all), std::move(flags), enterList);
  }
  std::unique_ptr<Process> startRouter(const std::string& id,
                                       std::vector<std::string> flags = {}) const {
    std::vector<std::string> all{"--node-id",
                                 id,
                                 "--listen",
                                 "127.0.0.1:0",
                                 "--object-api",
                                 store().toString(),
                                 "--machine-list",
                                 machineList().toString(),
                                 "--trusted-signers",
                                 "alice=" + alice.publicKeyHex + ",bob=" + bob.publicKeyHex,
                                 "--store-poll-interval-ms",
                                 "50",
                                 "--machine-list-interval-ms",
                                 "50",
                                 "--probe-interval-ms",
                                 "50"};
    return std::make_unique<Process>("calicodrift", overridden(std::move(all), std::move(flags)),
                                     2);
  }

  /// Puts a back end into the machine list at another address than its own (a proxy's).
  void listMachine(const std::string& id, const std::string& kind, const std::string& serves,
                   const Endpoint& endpoint, bool terminating = false) const {
    http::Request request;
    request.method = "PUT";
    request.target = "/machines/" + id;
    request.body = R"({"name":")" + id + R"(","kind":")" + kind + R"(","serves":")" + serves +
                   R"(","zone":"z1","address":")" + endpoint.toString() +
                   R"(","conditions":{"ready":true,"serving":true,"terminating":)" +
                   (terminating ? "true" : "false") + "}}";
    exchange(machineList(), request).value();
  }

  /// The text of a bundle with one tenant, the model "m" and the service "registry".
  static std::string bundleText(std::uint64_t version, const std::string& policy = "RoundRobin",
                                std::uint64_t weights = 1) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"tenants":[{"id":"t","api_key_sha256":[")" + sha256Hex(kTestApiKey) +
           R"("]}],"models":[{"id":"m","weights_version":)" + std::to_string(weights) +
           R"(,"block_bytes":64}],"services":[{"name":"registry","path_prefix":"/registry/"}],)" +
           R"("policies":[{"arms":[{"policy":")" + policy + R"(","share":100}]}]})";
  }

  bundle::SignedBundle signBoth(const std::string& text) const {
    bundle::SignedBundle signedBundle{text, {}};
    signedBundle.signatures.push_back(bundle::sign("alice", alice.privateKeyHex, text).value());
    signedBundle.signatures.push_back(bundle::sign("bob", bob.privateKeyHex, text).value());
    return signedBundle;
  }

  /// Stores a bundle whatever version the store holds.
  void submitBundle(const std::string& text) const {
    const std::string spec = bundle::toJson(signBoth(text));
    runBlocking<Result<object_api::StoredObject>>(
        [&](http::Client& client) -> boost::asio::awaitable<Result<object_api::StoredObject>> {
          object_api::ObjectApiClient api(client, store());
          Result<object_api::StoredObject> current = co_await api.get("bundles", "current");
          object_api::StoredObject object{"bundles", "current", {}, spec};
          if (current) {
            object.version = current.value().version;
          }
          co_return co_await api.put(object);
        })
        .value();
  }

  std::unique_ptr<Process> platform;
  bundle::KeyPair alice;
  bundle::KeyPair bob;

 private:
  std::unique_ptr<Process> startBackend(std::vector<std::string> arguments,
                                        std::vector<std::string> flags, bool enterList) const {
    if (enterList) {
      arguments.insert(arguments.end(), {"--machine-list", machineList().toString()});
    }
    return std::make_unique<Process>("calicodrift-sim",
                                     overridden(std::move(arguments), std::move(flags)), 1);
  }

  /// `defaults` (pairs of flag and value, maybe after a role) with `flags` in their place; a flag
  /// given twice is refused by the programs.
  static std::vector<std::string> overridden(std::vector<std::string> defaults,
                                             std::vector<std::string> flags) {
    for (std::size_t index = 0; index < flags.size(); index += 2) {
      const auto found = std::find(defaults.begin(), defaults.end(), flags[index]);
      if (found != defaults.end()) {
        defaults.erase(found, found + 2);
      }
    }
    std::move(flags.begin(), flags.end(), std::back_inserter(defaults));
    return defaults;
  }
};

/// A proxy in front of `target`, controlled over HTTP.
class Proxy {
 public:
  explicit Proxy(const Endpoint& target)
      : process_("calicodrift-sim", {"proxy", "--target", target.toString()}, 2) {}
  Endpoint endpoint() const { return process_.endpoint("proxy"); }
  void setFaults(const std::string& json) const {
    post(process_.endpoint("control"), "/faults", json).value();
  }
  /// JSON counts of the faults that struck.
  std::string stats() const { return get(process_.endpoint("control"), "/stats").value().body; }

 private:
  Process process_;
};

/// A request with the test tenant's key.
inline http::Request authorized(const std::string& method, const std::string& target,
                                const std::string& body) {
  http::Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.headers.set("Authorization", "Bearer " + kTestApiKey);
  return request;
}

inline std::string completionBody(const std::string& prompt, int maxTokens, bool stream) {
  return R"({"model":"m","prompt":")" + prompt + R"(","max_tokens":)" + std::to_string(maxTokens) +
         R"(,"stream":)" + (stream ? "true" : "false") + "}";
}

/// Waits until the router answers a completion, so that it has a bundle and a probed engine.
inline bool waitUntilServing(const Endpoint& router) {
  return eventually([&] {
    const auto response =
        exchange(router, authorized("POST", "/v1/completions", completionBody("ready?", 1, false)));
    return response && response.value().status == 200;
  });
}

}  // namespace calicodrift::testing
