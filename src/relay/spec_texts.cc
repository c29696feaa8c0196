#include "relay/spec_texts.h"

#include <zlib.h>

#include <algorithm>

#include "common/hashing.h"
#include "peer/codec.h"
#include "peer/text_patch.h"

namespace calicodrift::relay {
namespace {

/// A follower reads at intervals, and may miss some texts between two readings.
constexpr std::size_t kKeptTexts = 4;

std::string compress(std::string_view bytes) {
  uLongf length = ::compressBound(static_cast<uLong>(bytes.size()));
  std::string compressed(length, '\0');
  ::compress2(reinterpret_cast<Bytef*>(compressed.data()), &length,
              reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uLong>(bytes.size()),
              Z_BEST_SPEED);
  compressed.resize(length);
  return compressed;
}

Result<std::string> decompress(std::string_view compressed, std::uint64_t length) {
  // Steps of a patch have a few bytes each besides the text.
  constexpr std::uint64_t kMaxPatchBytes = 2 * peer::kMaxTextBytes;
  if (length > kMaxPatchBytes) {
    return fail(ErrorKind::kProtocolViolation, "the patch of a relayed spec is too long");
  }
  std::string bytes(length, '\0');
  uLongf written = static_cast<uLongf>(length);
  const int outcome = ::uncompress(reinterpret_cast<Bytef*>(bytes.data()), &written,
                                   reinterpret_cast<const Bytef*>(compressed.data()),
                                   static_cast<uLong>(compressed.size()));
  if (outcome != Z_OK || written != length) {
    return fail(ErrorKind::kProtocolViolation, "the patch of a relayed spec is malformed");
  }
  return bytes;
}

SpecUpdate makeUpdate(const std::string& name, std::uint64_t base, std::string_view baseText,
                      std::uint64_t result, std::string_view text) {
  const std::string patch = peer::encode(peer::makePatch(baseText, text));
  return {name, base, result, patch.size(), compress(patch)};
}

}  // namespace

Result<std::string> applyUpdate(std::string_view base, const SpecUpdate& update) {
  BOOST_OUTCOME_TRY(const std::string bytes, decompress(update.compressedPatch, update.patchBytes));
  BOOST_OUTCOME_TRY(const peer::TextPatch patch, peer::decode<peer::TextPatch>(bytes));
  BOOST_OUTCOME_TRY(std::string text, peer::applyPatch(base, patch));
  if (hashBytes(text) != update.result) {
    return fail(ErrorKind::kProtocolViolation,
                "the patched spec of '" + update.name + "' is not the sender's");
  }
  return text;
}

void SpecTexts::set(const std::string& name, SharedText text) {
  const std::uint64_t hash = hashBytes(*text);
  Entry& entry = entries_[name];
  if (!entry.texts.empty() && entry.texts.front().hash == hash) {
    return;
  }
  entry.updates.clear();
  entry.texts.push_front({hash, std::move(text)});
  if (entry.texts.size() > kKeptTexts) {
    entry.texts.pop_back();
  }
}

HeldTexts SpecTexts::held() const {
  HeldTexts held;
  for (const auto& [name, entry] : entries_) {
    held[name] = entry.texts.front().text;
  }
  return held;
}

SharedText SpecTexts::newest(const std::string& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : found->second.texts.front().text;
}

const SpecUpdate& SpecTexts::updateFrom(const std::string& name, std::uint64_t base) {
  Entry& entry = entries_.at(name);
  const auto kept = std::find_if(entry.texts.begin(), entry.texts.end(),
                                 [base](const Text& text) { return text.hash == base; });
  const bool known = kept != entry.texts.end();
  const std::uint64_t from = known ? base : 0;
  const auto made = entry.updates.find(from);
  if (made != entry.updates.end()) {
    return made->second;
  }
  const Text& newest = entry.texts.front();
  const std::string_view baseText = known ? std::string_view(*kept->text) : std::string_view();
  return entry.updates.emplace(from, makeUpdate(name, from, baseText, newest.hash, *newest.text))
      .first->second;
}

}  // namespace calicodrift::relay
