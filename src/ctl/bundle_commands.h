#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/endpoint.h"
#include "common/error.h"

namespace calicodrift::ctl {

struct CtlSettings {
  std::vector<Endpoint> objectApi;
  std::vector<Endpoint> routers;
  std::string signer;
  std::string keyFile;
  std::string output;
  std::string model;
  std::int64_t weightsVersion = 0;
  bool json = false;
};

/// Each command returns the text to print. Errors carry the remedy.
Result<std::string> checkBundle(const std::string& file);
/// Makes a key pair: the private key goes into `settings.keyFile`, the public one is printed.
Result<std::string> makeKey(const CtlSettings& settings);
/// Adds a signature by `settings.signer`; `file` holds a bundle or a signed bundle.
Result<std::string> signBundle(const CtlSettings& settings, const std::string& file);
/// Stores a signed bundle by a conditional write; a lost answer is settled by reading back.
Result<std::string> submitBundle(const CtlSettings& settings, const std::string& file);
/// The version in force on each router.
Result<std::string> bundleStatus(const CtlSettings& settings);

}  // namespace calicodrift::ctl
