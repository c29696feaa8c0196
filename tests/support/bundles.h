#pragma once

#include <cstdint>
#include <string>

#include "bundle/signature.h"
#include "common/hashing.h"

namespace calicodrift::testing {

/// Two signers and bundles of the target's size that they signed.
struct Signers {
  bundle::KeyPair alice = bundle::generateKeyPair().value();
  bundle::KeyPair bob = bundle::generateKeyPair().value();

  bundle::SigningRule rule() const {
    return {{{"alice", alice.publicKeyHex}, {"bob", bob.publicKeyHex}}, 2};
  }
  bundle::SignedBundle sign(const std::string& text) const {
    return {text,
            {bundle::sign("alice", alice.privateKeyHex, text).value(),
             bundle::sign("bob", bob.privateKeyHex, text).value()}};
  }
};

/// A bundle of `tenants` tenants and 34 models whose tenant `version % tenants` changes with the
/// version, as one operator's change does.
inline std::string largeBundleText(std::uint64_t version, std::size_t tenants = 340) {
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"tenants":[)";
  for (std::size_t index = 0; index < tenants; ++index) {
    const std::uint64_t weight = 1 + (version + tenants - 1 - index) / tenants;
    text += (index == 0 ? "" : ",");
    text += R"({"id":"tenant-)" + std::to_string(index) + R"(","api_key_sha256":[")" +
            sha256Hex(std::to_string(index)) + R"("],"weight":)" + std::to_string(weight) +
            R"(,"requests_per_second":1000})";
  }
  text += R"(],"models":[)";
  constexpr std::size_t kModels = 34;
  for (std::size_t index = 0; index < kModels; ++index) {
    text += (index == 0 ? "" : ",");
    text += R"({"id":"model-)" + std::to_string(index) +
            R"(","weights_version":1,"block_bytes":2048,"max_prompt_bytes":4194304})";
  }
  return text + R"(],"services":[],"policies":[{"arms":[{"policy":"RoundRobin","share":100}]}]})";
}

}  // namespace calicodrift::testing
