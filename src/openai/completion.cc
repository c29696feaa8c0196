#include "openai/completion.h"

#include <boost/json.hpp>

namespace calicodrift::openai {
namespace {

namespace json = boost::json;

Error malformed(const std::string& path, const std::string& expected) {
  return fail(ErrorKind::kMalformedRequest, "at $" + path + ": expected " + expected);
}

/// A content is a text, or a list of parts whose texts are joined.
Result<std::string> contentText(const json::value& content, const std::string& path) {
  if (content.is_string()) {
    return std::string(content.get_string());
  }
  if (!content.is_array()) {
    return malformed(path, "a string or a list of text parts");
  }
  std::string joined;
  for (const json::value& part : content.get_array()) {
    const json::value* text = part.is_object() ? part.get_object().if_contains("text") : nullptr;
    if (text == nullptr || !text->is_string()) {
      return malformed(path, "parts of the form {\"type\":\"text\",\"text\":string}");
    }
    joined += std::string_view(text->get_string());
  }
  return joined;
}

Result<std::string> chatPrompt(const json::object& body) {
  const json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
    return malformed(".messages", "a list with at least one message");
  }
  std::string prompt;
  std::size_t index = 0;
  for (const json::value& message : messages->get_array()) {
    const std::string path = ".messages[" + std::to_string(index++) + "]";
    if (!message.is_object()) {
      return malformed(path, "an object with role and content");
    }
    const json::value* role = message.get_object().if_contains("role");
    const json::value* content = message.get_object().if_contains("content");
    if (role == nullptr || !role->is_string()) {
      return malformed(path + ".role", "a string");
    }
    if (content == nullptr) {
      return malformed(path + ".content", "a string");
    }
    Result<std::string> text = contentText(*content, path + ".content");
    if (!text) {
      return text.error();
    }
    prompt += std::string_view(role->get_string());
    prompt += "\n" + text.value() + "\n";
  }
  return prompt;
}

Result<std::string> textPrompt(const json::object& body) {
  const json::value* prompt = body.if_contains("prompt");
  if (prompt == nullptr || !prompt->is_string()) {
    return malformed(".prompt", "a string");
  }
  return std::string(prompt->get_string());
}

Result<std::size_t> optionalCount(const json::object& body, std::string_view name,
                                  std::size_t absent) {
  const json::value* value = body.if_contains(name);
  if (value == nullptr || value->is_null()) {
    return absent;
  }
  const bool inBounds = value->is_int64() && value->get_int64() >= 0 &&
                        value->get_int64() <= static_cast<std::int64_t>(kMaxTokensBound);
  if (!inBounds) {
    return malformed("." + std::string(name),
                     "a whole number from 0 to " + std::to_string(kMaxTokensBound));
  }
  return static_cast<std::size_t>(value->get_int64());
}

Result<bool> optionalFlag(const json::object& body, std::string_view name) {
  const json::value* value = body.if_contains(name);
  if (value == nullptr || value->is_null()) {
    return false;
  }
  if (!value->is_bool()) {
    return malformed("." + std::string(name), "true or false");
  }
  return value->get_bool();
}

json::object usageObject(const Usage& usage) {
  json::object object;
  object["prompt_tokens"] = usage.promptTokens;
  object["completion_tokens"] = usage.completionTokens;
  object["total_tokens"] = usage.promptTokens + usage.completionTokens;
  object["prompt_tokens_details"] = json::object{{"cached_tokens", usage.cachedTokens}};
  return object;
}

json::object envelope(const RequestId& id, const ModelId& model, std::string_view object) {
  json::object body;
  body["id"] = id.value();
  body["object"] = object;
  body["model"] = model.value();
  return body;
}

std::size_t countAt(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_int64() ? static_cast<std::size_t>(value->get_int64()) : 0;
}

Usage readUsage(const json::object& object) {
  Usage usage;
  usage.promptTokens = countAt(object, "prompt_tokens");
  usage.completionTokens = countAt(object, "completion_tokens");
  const json::value* details = object.if_contains("prompt_tokens_details");
  if (details != nullptr && details->is_object()) {
    usage.cachedTokens = countAt(details->get_object(), "cached_tokens");
  }
  return usage;
}

/// `choices[0].<part>.content` or `choices[0].text`, whichever is there.
std::string choiceText(const json::object& body, std::string_view part) {
  const json::value* choices = body.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
    return "";
  }
  const json::value& choice = choices->get_array().front();
  if (!choice.is_object()) {
    return "";
  }
  const json::value* text = choice.get_object().if_contains("text");
  const json::value* nested = choice.get_object().if_contains(part);
  if (nested != nullptr && nested->is_object()) {
    text = nested->get_object().if_contains("content");
  }
  return text != nullptr && text->is_string() ? std::string(text->get_string()) : "";
}

Result<ChunkContent> parseContent(std::string_view data, std::string_view part) {
  json::error_code code;
  const json::value document = json::parse(data, code);
  if (code || !document.is_object()) {
    return fail(ErrorKind::kProtocolViolation, "the engine sent a body that is no JSON object");
  }
  ChunkContent content;
  content.text = choiceText(document.get_object(), part);
  const json::value* usage = document.get_object().if_contains("usage");
  if (usage != nullptr && usage->is_object()) {
    content.hasUsage = true;
    content.usage = readUsage(usage->get_object());
  }
  return content;
}

}  // namespace

Result<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view body) {
  json::error_code code;
  const json::value document = json::parse(body, code);
  if (code) {
    return fail(ErrorKind::kMalformedRequest, "the body is not JSON: " + code.message());
  }
  if (!document.is_object()) {
    return malformed("", "an object");
  }
  const json::object& object = document.get_object();
  CompletionRequest request;
  request.kind = kind;
  const json::value* model = object.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return malformed(".model", "a string");
  }
  request.model = ModelId(std::string(model->get_string()));
  Result<std::string> prompt =
      kind == CompletionKind::kChat ? chatPrompt(object) : textPrompt(object);
  BOOST_OUTCOME_TRY(request.prompt, std::move(prompt));
  BOOST_OUTCOME_TRY(request.maxTokens, optionalCount(object, "max_tokens", kDefaultMaxTokens));
  BOOST_OUTCOME_TRY(request.resumeFrom, optionalCount(object, "resume_from", 0));
  BOOST_OUTCOME_TRY(request.stream, optionalFlag(object, "stream"));
  const json::value* adapter = object.if_contains("adapter");
  if (adapter != nullptr && !adapter->is_string()) {
    return malformed(".adapter", "a string");
  }
  if (adapter != nullptr) {
    request.adapter = std::string(adapter->get_string());
  }
  return request;
}

std::string engineBody(std::string_view body, std::size_t resumeFrom) {
  json::value document = json::parse(body);
  document.as_object()["stream"] = true;
  document.as_object()["resume_from"] = resumeFrom;
  return json::serialize(document);
}

std::string chunkBody(CompletionKind kind, const RequestId& id, const ModelId& model,
                      std::string_view text, bool finished) {
  const bool chat = kind == CompletionKind::kChat;
  json::object body = envelope(id, model, chat ? "chat.completion.chunk" : "text_completion");
  json::object choice;
  choice["index"] = 0;
  if (chat) {
    choice["delta"] = json::object{{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = finished ? json::value("stop") : json::value(nullptr);
  body["choices"] = json::array{choice};
  return json::serialize(body);
}

std::string usageBody(const RequestId& id, const ModelId& model, const Usage& usage) {
  json::object body = envelope(id, model, "chat.completion.chunk");
  body["choices"] = json::array{};
  body["usage"] = usageObject(usage);
  return json::serialize(body);
}

std::string completionBody(CompletionKind kind, const RequestId& id, const ModelId& model,
                           std::string_view text, const Usage& usage) {
  const bool chat = kind == CompletionKind::kChat;
  json::object body = envelope(id, model, chat ? "chat.completion" : "text_completion");
  json::object choice;
  choice["index"] = 0;
  if (chat) {
    choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = "stop";
  body["choices"] = json::array{choice};
  body["usage"] = usageObject(usage);
  return json::serialize(body);
}

Result<ChunkContent> parseChunk(std::string_view data) {
  return parseContent(data, "delta");
}

Result<ChunkContent> parseCompletionBody(std::string_view body) {
  return parseContent(body, "message");
}

}  // namespace calicodrift::openai
