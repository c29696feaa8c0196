#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/clock.h"
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
  std::vector<std::string> trustedSigners;
  std::int64_t requiredSignatures = 0;
  /// 0: don't wait.
  std::int64_t waitVersion = 0;
  Milliseconds timeout{0};
  bool json = false;
};

/// Each command returns the text to print. Errors carry the remedy.

/// Names everything wrong with a bundle by its JSON path.
Result<std::string> checkBundle(const std::string& file);
/// What changes from one bundle to the other.
Result<std::string> diffBundles(const CtlSettings& settings, const std::string& before,
                                const std::string& after);
/// Makes a key pair: the private key goes into `settings.keyFile`, the public one is printed.
Result<std::string> makeKey(const CtlSettings& settings);
/// Adds a signature by `settings.signer`; `file` holds a bundle or a signed bundle.
Result<std::string> signBundle(const CtlSettings& settings, const std::string& file);
/// Stores a signed bundle by a conditional write; a lost answer is settled by reading back.
Result<std::string> submitBundle(const CtlSettings& settings, const std::string& file);
/// The version in force on each router.
Result<std::string> bundleStatus(const CtlSettings& settings);

}  // namespace calicodrift::ctl
