#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.h"

namespace calicodrift::sim {

/// The stand-in's answer is a function of the prompt, so that a checker can tell whose answer it
/// got, whether it is whole, whether a resumed one continues it, and which weights gave it.
/// @return the text of token `index` of the answer to `prompt`.
std::string answerToken(std::uint64_t promptHash, std::size_t index);
std::uint64_t answerPromptHash(std::string_view prompt, WeightsVersion weights);
/// Tokens `from` up to, not including, `to`.
std::string answerText(std::string_view prompt, std::size_t from, std::size_t to,
                       WeightsVersion weights = WeightsVersion(1));

}  // namespace calicodrift::sim
