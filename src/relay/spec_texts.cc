#include "relay/spec_texts.h"

#include <algorithm>

#include "common/hashing.h"
#include "peer/codec.h"
#include "peer/text_patch.h"
#include "relay/compression.h"

namespace calicodrift::relay {
namespace {

/// A follower reads at intervals, and may miss some texts between two readings.
constexpr std::size_t kKeptTexts = 4;

Result<std::string> readPatch(const SpecUpdate& update) {
  // Steps of a patch have a few bytes each besides the text.
  constexpr std::uint64_t kMaxPatchBytes = 2 * peer::kMaxTextBytes;
  if (update.patchBytes > kMaxPatchBytes) {
    return fail(ErrorKind::kProtocolViolation, "the patch of a relayed spec is too long");
  }
  return decompress(update.compressedPatch, update.patchBytes);
}

SpecUpdate makeUpdate(const std::string& name, std::uint64_t base, std::string_view baseText,
                      std::uint64_t result, std::string_view text) {
  const std::string patch = peer::encode(peer::makePatch(baseText, text));
  return {name, base, result, patch.size(), compress(patch)};
}

}  // namespace

Result<std::string> applyUpdate(std::string_view base, const SpecUpdate& update) {
  BOOST_OUTCOME_TRY(const std::string bytes, readPatch(update));
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
