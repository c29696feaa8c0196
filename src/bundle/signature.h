#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "bundle/bundle.h"
#include "common/error.h"

namespace calicodrift::bundle {

/// Kind and name of the object in the platform's store that holds the accepted bundle.
inline constexpr std::string_view kStoreKind = "bundles";
inline constexpr std::string_view kStoreName = "current";

/// One signer's Ed25519 signature over the bundle's exact text.
struct Signature {
  std::string signer;
  /// 64 bytes in hexadecimal.
  std::string signatureHex;
};

/// A bundle's text with its signatures: the form in which it is stored and sent.
struct SignedBundle {
  std::string text;
  std::vector<Signature> signatures;
};

/// A person whose signature counts.
struct TrustedSigner {
  std::string name;
  /// 32 bytes in hexadecimal.
  std::string publicKeyHex;
};

struct KeyPair {
  std::string privateKeyHex;
  std::string publicKeyHex;
};

/// Who must have signed before a node adopts a bundle.
struct SigningRule {
  std::vector<TrustedSigner> signers;
  /// How many different trusted signers are required.
  std::size_t required = 2;
};

/// Makes a new Ed25519 key pair.
Result<KeyPair> generateKeyPair();
/// Signs `text`. Fails with kSignatureInvalid where the key is malformed.
Result<Signature> sign(const std::string& signer, std::string_view privateKeyHex,
                       std::string_view text);

/// Reads "name=PUBLIC_KEY_HEX" items of the setting `trusted-signers`.
Result<std::vector<TrustedSigner>> parseTrustedSigners(const std::vector<std::string>& items);

/// Parses the bundle and checks that enough different trusted signers signed exactly this text.
/// Fails with kSignatureInvalid or kBundleInvalid.
Result<Bundle> verify(const SignedBundle& signedBundle, const SigningRule& rule);

std::string toJson(const SignedBundle& signedBundle);
/// Fails with kBundleInvalid.
Result<SignedBundle> signedBundleFromJson(std::string_view text);

}  // namespace calicodrift::bundle
