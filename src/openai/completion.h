#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "common/ids.h"

/// The OpenAI-compatible completion protocol, as the router and the engine stand-in both speak it.
namespace calicodrift::openai {

enum class CompletionKind { kChat, kText };

/// The fields of a completion request that routing and the stand-in need.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kChat;
  ModelId model;
  /// All messages in order (or the prompt) as one text; the input of the prefix hash.
  std::string prompt;
  std::size_t maxTokens = 0;
  bool stream = false;
  /// Name of a fine-tuned adapter; empty for none.
  std::string adapter;
  /// Extension: tokens that the caller already holds; the answer starts with the next one.
  std::size_t resumeFrom = 0;
};

inline constexpr std::size_t kDefaultMaxTokens = 64;
inline constexpr std::size_t kMaxTokensBound = 100000;

/// Parses a request body. Fails with kMalformedRequest; the detail names the JSON path and what
/// belongs there.
Result<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view body);

/// The body to send to an engine: the caller's, always streamed, starting at token `resumeFrom`.
/// @param body a body that parseCompletion() accepted.
std::string engineBody(std::string_view body, std::size_t resumeFrom);

/// Token counts of one answer.
struct Usage {
  std::size_t promptTokens = 0;
  std::size_t cachedTokens = 0;
  std::size_t completionTokens = 0;
};

/// Data of one stream event that carries `text`; `finished` marks the last token.
std::string chunkBody(CompletionKind kind, const RequestId& id, const ModelId& model,
                      std::string_view text, bool finished);
/// Data of the event after the last token, with the counts.
std::string usageBody(const RequestId& id, const ModelId& model, const Usage& usage);
/// Body of an answer that is not streamed.
std::string completionBody(CompletionKind kind, const RequestId& id, const ModelId& model,
                           std::string_view text, const Usage& usage);

/// What a stream event's data holds.
struct ChunkContent {
  std::string text;
  bool hasUsage = false;
  Usage usage;
};
/// Parses the data of a stream event. Fails with kProtocolViolation.
Result<ChunkContent> parseChunk(std::string_view data);

/// Text of an answer that is not streamed, with its counts. Fails with kProtocolViolation.
Result<ChunkContent> parseCompletionBody(std::string_view body);

}  // namespace calicodrift::openai
