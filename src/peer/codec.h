#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>
#include <string_view>

#include "common/error.h"

namespace calicodrift::peer {

/// The cereal portable binary form of a message. A message is a struct with `serialize(Archive&)`;
/// a module with several kinds of message sends one std::variant of them.
template <typename Message>
std::string encode(const Message& message) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  return std::move(stream).str();
}

/// Fails with kProtocolViolation where the bytes are no such message.
template <typename Message>
Result<Message> decode(std::string_view payload) {
  try {
    std::istringstream stream{std::string(payload)};
    cereal::PortableBinaryInputArchive archive(stream);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception& exception) {
    return fail(ErrorKind::kProtocolViolation,
                std::string("malformed peer message: ") + exception.what());
  }
}

}  // namespace calicodrift::peer
