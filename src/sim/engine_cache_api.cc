#include "sim/engine_cache_api.h"

#include <boost/json.hpp>
#include <charconv>

namespace calicodrift::sim {
namespace {

namespace json = boost::json;

std::vector<std::uint64_t> numbersIn(std::string_view text) {
  std::vector<std::uint64_t> numbers;
  const char* position = text.data();
  const char* const end = position + text.size();
  while (position < end) {
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(position, end, number);
    if (parsed.ec != std::errc{}) {
      break;
    }
    numbers.push_back(number);
    position = parsed.ptr == end ? end : parsed.ptr + 1;
  }
  return numbers;
}

Result<std::vector<BlockHash>> parseImport(const std::string& body, WeightsVersion weights) {
  try {
    const json::value document = json::parse(body);
    const auto version = document.at("weights_version").to_number<std::uint64_t>();
    if (WeightsVersion(version) != weights) {
      return fail(ErrorKind::kFenced, "the blocks are of other weights");
    }
    std::vector<BlockHash> blocks;
    for (const json::value& block : document.at("blocks").as_array()) {
      blocks.emplace_back(block.to_number<std::uint64_t>());
    }
    return blocks;
  } catch (const std::exception& exception) {
    return fail(ErrorKind::kMalformedRequest, exception.what());
  }
}

}  // namespace

http::Response cacheEventsResponse(const http::Request& request, const EngineCacheFeed& feed,
                                   Incarnation incarnation, WeightsVersion weights,
                                   MonotonicTime now) {
  const std::vector<std::uint64_t> after = numbersIn(request.queryValue("after"));
  json::array events;
  for (const CacheEvent& event : feed.readAfter(after.empty() ? 0 : after.front(), now)) {
    events.push_back(json::object{{"sequence", event.sequence},
                                  {"type", event.stored ? "stored" : "removed"},
                                  {"block", event.block.value()}});
  }
  const json::object body{{"incarnation", incarnation.value()},
                          {"weights_version", weights.value()},
                          {"events", events}};
  return http::jsonResponse(200, json::serialize(body));
}

http::Response kvExportResponse(const http::Request& request, const EngineModel& model,
                                WeightsVersion weights) {
  json::array held;
  for (const std::uint64_t block : numbersIn(request.queryValue("blocks"))) {
    if (model.holds(BlockHash(block))) {
      held.push_back(json::value(block));
    }
  }
  const json::object body{{"weights_version", weights.value()}, {"blocks", held}};
  return http::jsonResponse(200, json::serialize(body));
}

http::Response kvImportResponse(const http::Request& request, EngineModel& model,
                                WeightsVersion weights) {
  Result<std::vector<BlockHash>> blocks = parseImport(request.body, weights);
  if (!blocks) {
    return http::errorResponse(blocks.error());
  }
  model.importBlocks(blocks.value());
  const json::object body{{"imported", blocks.value().size()}};
  return http::jsonResponse(200, json::serialize(body));
}

}  // namespace calicodrift::sim
