#include "bundle/signature.h"

#include <openssl/evp.h>

#include <boost/algorithm/hex.hpp>
#include <boost/json.hpp>
#include <iterator>
#include <memory>
#include <set>

namespace calicodrift::bundle {
namespace {

using KeyPointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using ContextPointer = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;
constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kSignatureBytes = 64;

std::string toHex(const std::string& bytes) {
  std::string text;
  boost::algorithm::hex_lower(bytes, std::back_inserter(text));
  return text;
}

/// The bytes, or an empty text where `hex` is malformed or of another length.
std::string fromHex(std::string_view hex, std::size_t length) {
  std::string bytes;
  try {
    boost::algorithm::unhex(hex, std::back_inserter(bytes));
  } catch (const boost::algorithm::hex_decode_error&) {
    return "";
  }
  return bytes.size() == length ? bytes : "";
}

const unsigned char* asBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

bool verifyOne(const Signature& signature, const TrustedSigner& signer, std::string_view text) {
  const std::string key = fromHex(signer.publicKeyHex, kKeyBytes);
  const std::string bytes = fromHex(signature.signatureHex, kSignatureBytes);
  if (key.empty() || bytes.empty()) {
    return false;
  }
  const KeyPointer publicKey(
      EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, asBytes(key), key.size()),
      EVP_PKEY_free);
  const ContextPointer context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  if (!publicKey ||
      EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, publicKey.get()) != 1) {
    return false;
  }
  return EVP_DigestVerify(context.get(), asBytes(bytes), bytes.size(), asBytes(text),
                          text.size()) == 1;
}

}  // namespace

Result<KeyPair> generateKeyPair() {
  const KeyPointer key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"), EVP_PKEY_free);
  if (!key) {
    return fail(ErrorKind::kInternal, "OpenSSL made no Ed25519 key");
  }
  std::string privateKey(kKeyBytes, '\0');
  std::string publicKey(kKeyBytes, '\0');
  std::size_t length = kKeyBytes;
  EVP_PKEY_get_raw_private_key(key.get(), reinterpret_cast<unsigned char*>(privateKey.data()),
                               &length);
  EVP_PKEY_get_raw_public_key(key.get(), reinterpret_cast<unsigned char*>(publicKey.data()),
                              &length);
  return KeyPair{toHex(privateKey), toHex(publicKey)};
}

Result<Signature> sign(const std::string& signer, std::string_view privateKeyHex,
                       std::string_view text) {
  const std::string bytes = fromHex(privateKeyHex, kKeyBytes);
  const KeyPointer key(
      EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, asBytes(bytes), bytes.size()),
      EVP_PKEY_free);
  const ContextPointer context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  std::string signature(kSignatureBytes, '\0');
  std::size_t length = signature.size();
  const bool signedWell =
      key && EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
      EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(signature.data()), &length,
                     asBytes(text), text.size()) == 1;
  if (!signedWell) {
    return fail(ErrorKind::kSignatureInvalid,
                "the private key of '" + signer + "' must be 64 hexadecimal digits");
  }
  return Signature{signer, toHex(signature)};
}

Result<std::vector<TrustedSigner>> parseTrustedSigners(const std::vector<std::string>& items) {
  std::vector<TrustedSigner> signers;
  for (const std::string& item : items) {
    const std::size_t equals = item.find('=');
    if (equals == std::string::npos || fromHex(item.substr(equals + 1), kKeyBytes).empty()) {
      return fail(ErrorKind::kSettingsInvalid,
                  "trusted-signers: '" + item + "' is not NAME=64_HEXADECIMAL_DIGITS");
    }
    signers.push_back({item.substr(0, equals), item.substr(equals + 1)});
  }
  return signers;
}

Result<Bundle> verify(const SignedBundle& signedBundle, const SigningRule& rule) {
  std::set<std::string> signedBy;
  for (const Signature& signature : signedBundle.signatures) {
    for (const TrustedSigner& signer : rule.signers) {
      if (signer.name == signature.signer && verifyOne(signature, signer, signedBundle.text)) {
        signedBy.insert(signer.name);
      }
    }
  }
  if (signedBy.size() < rule.required) {
    return fail(ErrorKind::kSignatureInvalid, std::to_string(signedBy.size()) + " of " +
                                                  std::to_string(rule.required) +
                                                  " required signatures are valid");
  }
  return parseBundle(signedBundle.text);
}

std::string toJson(const SignedBundle& signedBundle) {
  boost::json::array signatures;
  for (const Signature& signature : signedBundle.signatures) {
    signatures.push_back(
        boost::json::object{{"signer", signature.signer}, {"signature", signature.signatureHex}});
  }
  boost::json::object document{{"bundle", signedBundle.text}, {"signatures", signatures}};
  return boost::json::serialize(document);
}

Result<SignedBundle> signedBundleFromJson(std::string_view text) {
  boost::json::error_code code;
  const boost::json::value document = boost::json::parse(text, code);
  const Error malformed =
      fail(ErrorKind::kBundleInvalid,
           "expected {\"bundle\": TEXT, \"signatures\": [{\"signer\": NAME, \"signature\": HEX}]}");
  if (code || !document.is_object()) {
    return malformed;
  }
  const boost::json::value* bundle = document.get_object().if_contains("bundle");
  const boost::json::value* signatures = document.get_object().if_contains("signatures");
  if (bundle == nullptr || !bundle->is_string() || signatures == nullptr ||
      !signatures->is_array()) {
    return malformed;
  }
  SignedBundle signedBundle{std::string(bundle->get_string()), {}};
  for (const boost::json::value& item : signatures->get_array()) {
    const auto* entry = item.if_object();
    const auto* signer = entry == nullptr ? nullptr : entry->if_contains("signer");
    const auto* hex = entry == nullptr ? nullptr : entry->if_contains("signature");
    if (signer == nullptr || hex == nullptr || !signer->is_string() || !hex->is_string()) {
      return malformed;
    }
    signedBundle.signatures.push_back(
        {std::string(signer->get_string()), std::string(hex->get_string())});
  }
  return signedBundle;
}

}  // namespace calicodrift::bundle
