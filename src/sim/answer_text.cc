#include "sim/answer_text.h"

#include "common/hashing.h"

namespace calicodrift::sim {

std::string answerToken(std::uint64_t promptHash, std::size_t index) {
  constexpr std::uint64_t kVocabulary = 100'000;
  return "w" + std::to_string(hashPair(promptHash, index) % kVocabulary) + " ";
}

std::uint64_t answerPromptHash(std::string_view prompt, WeightsVersion weights) {
  return hashBytes(prompt, weights.value());
}

std::string answerText(std::string_view prompt, std::size_t from, std::size_t to,
                       WeightsVersion weights) {
  const std::uint64_t promptHash = answerPromptHash(prompt, weights);
  std::string text;
  for (std::size_t index = from; index < to; ++index) {
    text += answerToken(promptHash, index);
  }
  return text;
}

}  // namespace calicodrift::sim
