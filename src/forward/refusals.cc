#include "forward/refusals.h"

namespace calicodrift::forward {

RefusalFacts refusalFacts(const ConfigurationView& view, const Request& request) {
  RefusalFacts facts;
  facts.requestId = request.id.value();
  if (view.table) {
    facts.config = view.table->version();
    facts.proofAge = std::chrono::duration_cast<Milliseconds>(monotonicNow() - view.provenAt);
  }
  return facts;
}

boost::asio::awaitable<void> Refusals::answer(http::ResponseWriter& writer, Error error,
                                              RefusalFacts facts) const {
  if (errorRow(error.kind).retry == RetryAdvice::kAfterDelay && !error.retryAfter) {
    error.retryAfter = retryAfter_;
  }
  metrics_.countError(errorRow(error.kind).name);
  logRefused(facts, error);
  http::Response response = callers_.refuse(error);
  if (!facts.requestId.empty()) {
    response.headers.set(http::kRequestIdHeader, facts.requestId);
  }
  co_await http::respond(writer, std::move(response));
}

}  // namespace calicodrift::forward
