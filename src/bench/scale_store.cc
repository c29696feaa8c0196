#include "bench/scale_store.h"

#include <boost/asio.hpp>
#include <future>

#include "common/hashing.h"

namespace calicodrift::bench {
namespace {

namespace asio = boost::asio;
constexpr std::size_t kHistoryBound = 1000;
constexpr std::string_view kFirstSigner = "first";
constexpr std::string_view kSecondSigner = "second";

}  // namespace

ScaleStore::ScaleStore(ScaleBundle size)
    : size_(size),
      server_(context_.get_executor(), http::ServerLimits{}, kHistoryBound),
      client_(context_.get_executor()) {}

ScaleStore::~ScaleStore() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

Result<Endpoint> ScaleStore::start() {
  const Result<bundle::KeyPair> first = bundle::generateKeyPair();
  const Result<bundle::KeyPair> second = bundle::generateKeyPair();
  if (!first || !second) {
    return fail(ErrorKind::kSettingsInvalid, "cannot make signing keys");
  }
  first_ = first.value();
  second_ = second.value();
  Result<Endpoint> endpoint = server_.listen({"127.0.0.1", 0});
  if (endpoint) {
    endpoint_ = endpoint.value();
    thread_ = std::thread([this] {
      const auto guard = asio::make_work_guard(context_);
      context_.run();
    });
  }
  return endpoint;
}

bundle::SigningRule ScaleStore::signingRule() const {
  return {{{std::string(kFirstSigner), first_.publicKeyHex},
           {std::string(kSecondSigner), second_.publicKeyHex}},
          2};
}

std::string ScaleStore::bundleText() const {
  std::string text = R"({"version":)" + std::to_string(version_.value()) + R"(,"tenants":[)";
  for (std::size_t index = 0; index < size_.tenants; ++index) {
    const std::string id = "tenant-" + std::to_string(index);
    // One tenant's limit changes with each version, as an ordinary change would.
    const std::uint64_t limit = index == 0 ? version_.value() : 0;
    text += index == 0 ? "" : ",";
    text += R"({"id":")" + id + R"(","api_key_sha256":[")" + sha256Hex(id) +
            R"("],"requests_per_second":)" + std::to_string(limit) + "}";
  }
  text += R"(],"models":[)";
  for (std::size_t index = 0; index < size_.models; ++index) {
    text += index == 0 ? "" : ",";
    text += R"({"id":"model-)" + std::to_string(index) + R"("})";
  }
  return text + R"(],"services":[],"policies":[{"arms":[{"policy":"RoundRobin","share":100}]}]})";
}

Result<MonotonicTime> ScaleStore::publishNext() {
  version_ = BundleVersion(version_.value() + 1);
  bundle::SignedBundle signedBundle{bundleText(), {}};
  bundleBytes_ = signedBundle.text.size();
  for (const auto& [name, key] : {std::pair(kFirstSigner, &first_), {kSecondSigner, &second_}}) {
    const Result<bundle::Signature> signature =
        bundle::sign(std::string(name), key->privateKeyHex, signedBundle.text);
    if (!signature) {
      return signature.error();
    }
    signedBundle.signatures.push_back(signature.value());
  }
  object_api::StoredObject object{std::string(bundle::kStoreKind), std::string(bundle::kStoreName),
                                  stored_, bundle::toJson(signedBundle)};
  const MonotonicTime begin = monotonicNow();
  const Result<object_api::StoredObject> stored = write(std::move(object));
  if (!stored) {
    return stored.error();
  }
  stored_ = stored.value().version;
  return begin;
}

Result<object_api::StoredObject> ScaleStore::write(object_api::StoredObject object) {
  object_api::ObjectApiClient api(client_, endpoint_);
  std::promise<Result<object_api::StoredObject>> answer;
  asio::co_spawn(
      context_,
      [&]() -> asio::awaitable<void> { answer.set_value(co_await api.put(std::move(object))); },
      asio::detached);
  return answer.get_future().get();
}

}  // namespace calicodrift::bench
