#include "ctl/bundle_commands.h"

#include <boost/json.hpp>
#include <set>

#include "bundle/difference.h"
#include "bundle/review.h"
#include "bundle/signature.h"
#include "ctl/bundle_status.h"
#include "ctl/bundle_submit.h"
#include "ctl/command_support.h"
#include "routing/policy.h"

namespace calicodrift::ctl {
namespace {

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

/// The bundle of a text that has no problem, neither for a node nor for a reviewer.
Result<bundle::Bundle> checkText(const std::string& text) {
  const bundle::BundleReading reading = bundle::readBundle(text);
  std::vector<std::string> problems = reading.problems;
  const std::vector<std::string> review =
      bundle::reviewBundle(reading.bundle, routing::policyNames());
  problems.insert(problems.end(), review.begin(), review.end());
  if (problems.empty()) {
    return reading.bundle;
  }
  std::string detail;
  for (const std::string& problem : problems) {
    detail += (detail.empty() ? "" : "\n") + problem;
  }
  return fail(ErrorKind::kBundleInvalid, detail);
}

/// Checks the signatures against the trusted signers, or only counts them where none are given.
Result<void> checkSignatures(const CtlSettings& settings,
                             const bundle::SignedBundle& signedBundle) {
  const auto required = static_cast<std::size_t>(settings.requiredSignatures);
  if (!settings.trustedSigners.empty()) {
    Result<std::vector<bundle::TrustedSigner>> signers =
        bundle::parseTrustedSigners(settings.trustedSigners);
    if (!signers) {
      return signers.error();
    }
    const Result<bundle::Bundle> verified =
        bundle::verify(signedBundle, {signers.value(), required});
    return verified ? Result<void>(boost::outcome_v2::success()) : verified.error();
  }
  std::set<std::string> names;
  for (const bundle::Signature& signature : signedBundle.signatures) {
    names.insert(signature.signer);
  }
  if (names.size() < required) {
    return fail(ErrorKind::kSignatureInvalid,
                std::to_string(names.size()) + " of " + std::to_string(required) +
                    " required signatures are there; use 'bundle sign'");
  }
  return boost::outcome_v2::success();
}

}  // namespace

Result<std::string> checkBundle(const std::string& file) {
  Result<bundle::SignedBundle> signedBundle = readBundleFile(file);
  if (!signedBundle) {
    return signedBundle.error();
  }
  Result<bundle::Bundle> parsed = checkText(signedBundle.value().text);
  if (!parsed) {
    return parsed.error();
  }
  return "version " + std::to_string(parsed.value().version.value()) + " is valid\n";
}

Result<std::string> diffBundles(const CtlSettings& settings, const std::string& before,
                                const std::string& after) {
  Result<bundle::SignedBundle> first = readBundleFile(before);
  Result<bundle::SignedBundle> second = readBundleFile(after);
  if (!first || !second) {
    return first ? second.error() : first.error();
  }
  const auto differences = bundle::findDifferences(first.value().text, second.value().text);
  if (!differences) {
    return differences.error();
  }
  boost::json::array items;
  std::string lines;
  for (const bundle::Difference& difference : differences.value()) {
    const bool added = difference.before.empty();
    const bool removed = difference.after.empty();
    const std::string sign = added ? "+ " : (removed ? "- " : "~ ");
    const std::string change = added || removed ? difference.before + difference.after
                                                : difference.before + " -> " + difference.after;
    lines += sign;
    lines += difference.path + ": ";
    lines += change + "\n";
    items.push_back(boost::json::object{
        {"path", difference.path}, {"before", difference.before}, {"after", difference.after}});
  }
  return settings.json ? boost::json::serialize(items) + "\n" : lines;
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
  Result<bundle::Bundle> parsed = checkText(signedBundle.value().text);
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
  Result<bundle::SignedBundle> signedBundle = readBundleFile(file);
  if (settings.objectApi.empty() || !signedBundle) {
    return signedBundle ? fail(ErrorKind::kSettingsInvalid, "give --object-api ADDRESS:PORT")
                        : signedBundle.error();
  }
  Result<bundle::Bundle> parsed = checkText(signedBundle.value().text);
  if (!parsed) {
    return parsed.error();
  }
  const Result<void> signedWell = checkSignatures(settings, signedBundle.value());
  if (!signedWell) {
    return signedWell.error();
  }
  return runToEnd([&](http::Client& client) {
    return submit(client, settings, signedBundle.value(), parsed.value().version);
  });
}

Result<std::string> bundleStatus(const CtlSettings& settings) {
  if (settings.routers.empty()) {
    return fail(ErrorKind::kSettingsInvalid, "give --routers ADDRESS:PORT,...");
  }
  return runToEnd([&](http::Client& client) { return status(client, settings); });
}

}  // namespace calicodrift::ctl
