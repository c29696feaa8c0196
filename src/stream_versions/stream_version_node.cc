#include "stream_versions/stream_version_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <memory>
#include <utility>

#include "log/log.h"
#include "peer/http_call.h"

namespace calicodrift::stream_versions {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr Milliseconds kCallTimeout{200};
/// Beyond it a list of keepers is cut, so that a message that no node sends stays harmless.
constexpr std::size_t kMaxKeepers = 256;

/// Whether messages can be sent to the endpoint, which another node has named.
bool isAddress(const Endpoint& endpoint) {
  boost::system::error_code code;
  const auto address = asio::ip::make_address(endpoint.address, code);
  return !code && !address.is_unspecified() && endpoint.port != 0;
}

/// Whether the same versions are listed and have left; when they left is told once.
bool isSameHistory(const ArchivedHistory& left, const ArchivedHistory& right) {
  const auto sameVersion = [](const auto& one, const auto& other) {
    return one.first == other.first && one.second.has_value() == other.second.has_value();
  };
  const auto sameService = [&](const auto& one, const auto& other) {
    return one.first == other.first &&
           std::equal(one.second.begin(), one.second.end(), other.second.begin(),
                      other.second.end(), sameVersion);
  };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), sameService);
}

/// A question that a coroutine waits for.
struct Waiter {
  explicit Waiter(const asio::any_io_executor& executor) : answered(executor) {
    answered.expires_at(MonotonicTime::max());
  }

  std::optional<Resolution> resolution;
  asio::steady_timer answered;
};

}  // namespace

StreamVersionNode::StreamVersionNode(StreamVersionContext context, VersionCoreSettings settings)
    : context_(std::move(context)),
      transport_(context_.io),
      core_(std::move(settings), transport_, context_.metrics, [] { return monotonicNow(); }),
      archive_({context_.io.get_executor(), context_.store, context_.archiveKind, context_.metrics,
                [this] { return archiveWriter(); }}),
      tickTimer_(context_.io) {
  core_.setArchive(
      [this](StreamKey stream, const SoftwareVersion& version) { archive_.add(stream, version); });
  core_.setProofRequest([this] { requestProof(); });
}

Result<void> StreamVersionNode::start() {
  if (context_.tree.endpoint.port == 0) {
    asio::co_spawn(context_.io, readArchiveAlone(), asio::detached);
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(transport_.listen(context_.tree.endpoint));
  asio::co_spawn(context_.io, learnKeepers(), asio::detached);
  return boost::outcome_v2::success();
}

void StreamVersionNode::onServersChanged() {
  core_.applyListing(context_.listing(), context_.listingProvenAt());
  archiveHistory();
}

void StreamVersionNode::onServersMissed() {
  context_.metrics.countMissedChanges();
  core_.noteMissedChanges();
}

void StreamVersionNode::onServersProven() {
  core_.setListingProvenAt(context_.listingProvenAt());
}

void StreamVersionNode::requestProof() {
  if (!std::exchange(readingProofs_, true)) {
    asio::co_spawn(context_.io, readProofs(), asio::detached);
  }
}

awaitable<void> StreamVersionNode::readProofs() {
  asio::steady_timer timer(context_.io);
  Milliseconds pause = kProofDelay;
  for (;;) {
    timer.expires_after(pause);
    co_await timer.async_wait(asio::use_awaitable);
    if (!core_.needsProof()) {
      break;
    }
    const Result<void> read = co_await context_.proveListing();
    context_.metrics.countProof(read.has_value());
    // The list's reader takes the result in after this call.
    pause = read ? kProofInterval : kProofRetryInterval;
  }
  readingProofs_ = false;
}

void StreamVersionNode::begin(StreamKey stream, const std::string& service,
                              const SoftwareVersion& version) {
  core_.setListingProvenAt(context_.listingProvenAt());
  core_.begin(stream, service, version);
}

awaitable<Resolution> StreamVersionNode::resolve(StreamKey stream, std::string service,
                                                 bool attemptNamed) {
  constexpr Milliseconds kPause{50};
  const MonotonicTime begun = monotonicNow();
  asio::steady_timer timer(context_.io);
  for (;;) {
    const Resolution found = co_await resolveOnce(stream, service, attemptNamed);
    const MonotonicTime now = monotonicNow();
    const bool starting = now - startedAt_ < kStartupTime && now - begun < kStartupPatience;
    if (found.known() || found.final || !starting) {
      co_return found;
    }
    timer.expires_after(kPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<Resolution> StreamVersionNode::resolveOnce(StreamKey stream, const std::string& service,
                                                     bool attemptNamed) {
  core_.setListingProvenAt(context_.listingProvenAt());
  auto waiter = std::make_shared<Waiter>(context_.io.get_executor());
  const auto answer = [waiter](const Resolution& resolution) {
    waiter->resolution = resolution;
    waiter->answered.cancel();
  };
  core_.resolve(stream, service, answer, attemptNamed);
  scheduleTick();
  if (!waiter->resolution) {
    co_await waiter->answered.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return waiter->resolution.value_or(Resolution{});
}

bool StreamVersionNode::isListed(const std::string& service, const SoftwareVersion& version) const {
  return core_.history().isListed(service, version);
}

void StreamVersionNode::scheduleTick() {
  const std::optional<MonotonicTime> next = core_.nextTick();
  if (!next) {
    return;
  }
  tickTimer_.expires_at(*next);
  tickTimer_.async_wait([this](boost::system::error_code code) {
    if (!code) {
      core_.tick();
      scheduleTick();
    }
  });
}

awaitable<void> StreamVersionNode::learnKeepers() {
  asio::steady_timer timer(context_.io);
  for (;;) {
    co_await learnOnce();
    core_.setRoots(allRoots());
    co_await readArchive();
    core_.renewRecords();
    timer.expires_after(core_.keepers().empty() ? kFirstKeepersInterval : kKeepersInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::vector<Endpoint> StreamVersionNode::allRoots() const {
  std::vector<Endpoint> roots = context_.tree.roots();
  if (context_.tree.isRoot()) {
    roots.push_back(context_.tree.endpoint);
  }
  std::sort(roots.begin(), roots.end());
  roots.erase(std::unique(roots.begin(), roots.end()), roots.end());
  return roots;
}

std::size_t StreamVersionNode::archiveWriter() const {
  const std::vector<Endpoint> roots = allRoots();
  const auto own = std::find(roots.begin(), roots.end(), context_.tree.endpoint);
  return static_cast<std::size_t>(own - roots.begin()) % kArchiveWriters;
}

bool StreamVersionNode::archives() const {
  return context_.tree.isRoot() || context_.tree.endpoint.port == 0;
}

awaitable<void> StreamVersionNode::readArchiveAlone() {
  core_.setRoots({context_.tree.endpoint});
  asio::steady_timer timer(context_.io);
  while (!archive_.hasRead()) {
    co_await readArchive();
    timer.expires_after(kArchiveRetryInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> StreamVersionNode::readArchive() {
  const MonotonicTime now = monotonicNow();
  const bool due = now - archiveTriedAt_ >= kArchiveRetryInterval;
  // What came and went before the first listing is in the archive only if that is read after it.
  const bool hasListing = context_.listingProvenAt() != MonotonicTime{};
  if (!archives() || archive_.hasRead() || !due || !hasListing) {
    co_return;
  }
  archiveTriedAt_ = now;
  const Result<Archived> archived = co_await archive_.read();
  if (!archived) {
    log::write(log::Level::kWarning, "stream_versions_not_read",
               {{"cause", archived.error().detail}});
    co_return;
  }
  core_.applyArchive(archived.value(), wallNow());
  archiveHistory();
}

void StreamVersionNode::archiveHistory() {
  if (!archives() || !archive_.hasRead()) {
    return;
  }
  ArchivedHistory history = core_.history().archived(monotonicNow(), wallNow());
  if (!isSameHistory(history, archivedHistory_)) {
    archivedHistory_ = history;
    archive_.setHistory(std::move(history));
  }
}

awaitable<void> StreamVersionNode::learnOnce() {
  core_.setListingProvenAt(context_.listingProvenAt());
  std::vector<Endpoint> keepers = ownKeepers();
  std::vector<Endpoint> asked;
  if (context_.tree.isRoot()) {
    asked = context_.tree.roots();
  } else if (const std::optional<Endpoint> parent = context_.tree.parent()) {
    asked.push_back(*parent);
  }
  for (const Endpoint& node : asked) {
    const std::vector<Endpoint> told = co_await askForKeepers(node);
    keepers.insert(keepers.end(), told.begin(), told.end());
  }
  // A node that has lost its parent goes on with the list that it has.
  if (!keepers.empty()) {
    adopt(std::move(keepers));
  }
}

awaitable<std::vector<Endpoint>> StreamVersionNode::askForKeepers(Endpoint node) {
  KeepersQuery query;
  query.node = context_.tree.endpoint;
  query.root = context_.tree.isRoot();
  Result<Keepers> answer = co_await peer::callPeer<Keepers>(
      context_.client, std::move(node), kKeepersPath, std::move(query), kCallTimeout, kCallTimeout);
  co_return answer ? std::move(answer.value().nodes) : std::vector<Endpoint>();
}

std::vector<Endpoint> StreamVersionNode::ownKeepers() const {
  std::vector<Endpoint> keepers;
  if (context_.tree.isRoot()) {
    keepers = context_.tree.children();
    keepers.push_back(context_.tree.endpoint);
  }
  return keepers;
}

void StreamVersionNode::adopt(std::vector<Endpoint> keepers) {
  std::erase_if(keepers, [](const Endpoint& keeper) { return !isAddress(keeper); });
  std::sort(keepers.begin(), keepers.end());
  keepers.erase(std::unique(keepers.begin(), keepers.end()), keepers.end());
  keepers.resize(std::min(keepers.size(), kMaxKeepers));
  if (core_.keepers().empty()) {
    log::write(log::Level::kInfo, "stream_version_keepers",
               {{"count", std::to_string(keepers.size())}});
  }
  core_.setKeepers(std::move(keepers));
}

awaitable<void> StreamVersionNode::handle(http::Request& request, http::ResponseWriter& writer) {
  co_await peer::answerPeer<KeepersQuery, Keepers>(
      request, writer, [this](const KeepersQuery& query) -> awaitable<Keepers> {
        // Roots tell each other only what is theirs, so that what has gone does not go round.
        co_return Keepers{query.root ? ownKeepers() : core_.keepers()};
      });
}

void StreamVersionNode::showMetrics() {
  context_.metrics.setRecords(core_.recordCount());
  context_.metrics.setKeepers(core_.keepers().size());
}

}  // namespace calicodrift::stream_versions
