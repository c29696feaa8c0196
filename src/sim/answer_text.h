#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace calicodrift::sim {

/// The stand-in's answer is a function of the prompt, so that a checker can tell whose answer it
/// got, whether it is whole, and whether a resumed one continues it.
/// @return the text of token `index` of the answer to `prompt`.
std::string answerToken(std::uint64_t promptHash, std::size_t index);
std::uint64_t answerPromptHash(std::string_view prompt);
/// Tokens `from` up to, not including, `to`.
std::string answerText(std::string_view prompt, std::size_t from, std::size_t to);

}  // namespace calicodrift::sim
