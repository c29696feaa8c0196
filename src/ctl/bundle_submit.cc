#include "ctl/bundle_submit.h"

#include <optional>

#include "ctl/bundle_status.h"
#include "ctl/command_support.h"
#include "object_api/object_api.h"

namespace calicodrift::ctl {
namespace {

using boost::asio::awaitable;
constexpr int kAttempts = 8;
constexpr Milliseconds kFirstPause{50};

/// Whether the store's content settles the matter: accepted, or lost to another bundle. Nothing
/// where ours may still be written.
std::optional<Result<std::string>> settle(const object_api::StoredObject& stored,
                                          const bundle::SignedBundle& ours, BundleVersion version,
                                          bool answerLost) {
  const Result<bundle::SignedBundle> current = bundle::signedBundleFromJson(stored.spec);
  if (!current) {
    return std::nullopt;
  }
  if (current.value().text == ours.text) {
    return Result<std::string>("accepted version " + std::to_string(version.value()) + "\n");
  }
  const Result<bundle::Bundle> parsed = bundle::parseBundle(current.value().text);
  if (!parsed || parsed.value().version < version) {
    return std::nullopt;
  }
  const std::string winner = std::to_string(parsed.value().version.value());
  if (answerLost && parsed.value().version > version) {
    return Result<std::string>(fail(
        ErrorKind::kOutcomeUnknown,
        "the answer to the write was lost, and version " + winner +
            " was stored meanwhile, maybe on top of this one; see 'bundle diff' between them"));
  }
  return Result<std::string>(
      fail(ErrorKind::kVersionConflict,
           "another bundle of version " + winner + " is stored already; base the change on it, " +
               "set \"version\" to " + std::to_string(parsed.value().version.value() + 1) +
               ", have it signed and submit again"));
}

/// Fails with kVersionConflict where a router has this version or a later one in force although the
/// store holds an earlier one: it was restored to an older state, and routers never go back.
awaitable<Result<void>> checkRouters(http::Client& client, const CtlSettings& settings,
                                     const object_api::StoredObject& stored,
                                     BundleVersion version) {
  const Result<bundle::SignedBundle> current = bundle::signedBundleFromJson(stored.spec);
  const Result<bundle::Bundle> parsed =
      current ? bundle::parseBundle(current.value().text) : current.error();
  const std::uint64_t storedVersion = parsed ? parsed.value().version.value() : 0;
  const std::vector<RouterStatus> rows = co_await readStatus(client, settings.routers);
  for (const RouterStatus& row : rows) {
    if (row.version > storedVersion && row.version >= version.value()) {
      co_return fail(ErrorKind::kVersionConflict,
                     "router " + row.router.toString() + " has version " +
                         std::to_string(row.version) + " in force, but the store holds only " +
                         std::to_string(storedVersion) + "; set \"version\" to " +
                         std::to_string(row.version + 1) + ", have it signed and submit again");
    }
  }
  co_return boost::outcome_v2::success();
}

}  // namespace

awaitable<Result<std::string>> submit(http::Client& client, CtlSettings settings,
                                      bundle::SignedBundle signedBundle, BundleVersion version) {
  object_api::ObjectApiClient store(client, settings.objectApi.front());
  const std::string kind(bundle::kStoreKind);
  const std::string name(bundle::kStoreName);
  object_api::StoredObject object{kind, name, {}, bundle::toJson(signedBundle)};
  bool answerLost = false;
  Error lastError;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    if (attempt > 0) {
      co_await pauseFor(kFirstPause * (1 << (attempt - 1)));
    }
    Result<object_api::StoredObject> current = co_await store.get(kind, name);
    const bool absent = !current && current.error().kind == ErrorKind::kNotFound;
    if (!current && !absent) {
      lastError = current.error();
      continue;
    }
    object.version = absent ? object_api::ResourceVersion() : current.value().version;
    if (!absent) {
      const auto settled = settle(current.value(), signedBundle, version, answerLost);
      if (settled) {
        co_return *settled;
      }
      const Result<void> routersAgree =
          co_await checkRouters(client, settings, current.value(), version);
      if (!routersAgree) {
        co_return routersAgree.error();
      }
    }
    Result<object_api::StoredObject> written = co_await store.put(object);
    if (written) {
      co_return "accepted version " + std::to_string(version.value()) + "\n";
    }
    lastError = written.error();
    answerLost = answerLost || lastError.kind == ErrorKind::kOutcomeUnknown;
  }
  co_return fail(answerLost ? ErrorKind::kOutcomeUnknown : lastError.kind,
                 lastError.detail + (answerLost ? "; it can't be told whether the bundle was "
                                                  "accepted: submit the same file again"
                                                : ""));
}

}  // namespace calicodrift::ctl
