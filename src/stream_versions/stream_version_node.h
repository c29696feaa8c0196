#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "peer/udp_transport.h"
#include "relay/tree_position.h"
#include "store/object_store.h"
#include "stream_versions/stream_archive.h"
#include "stream_versions/version_core.h"

namespace calicodrift::stream_versions {

/// Dependencies of StreamVersionNode; they outlive it and run on its thread.
struct StreamVersionContext {
  boost::asio::io_context& io;
  http::Client& client;
  StreamVersionMetrics& metrics;
  /// Its endpoint is where other nodes reach this one, over TCP and UDP; port 0: it has no others.
  relay::TreePosition tree;
  /// The listed servers' versions, and until when the list is known to have been the newest.
  std::function<VersionListing()> listing;
  std::function<MonotonicTime()> listingProvenAt;
  /// Reads what has changed of the list from the store, whatever this node's usual source is.
  std::function<boost::asio::awaitable<Result<void>>()> proveListing;
  /// Where records are kept that must outlive all nodes, and the kind of their objects.
  store::ObjectStore& store;
  std::string archiveKind;
};

/// Carries out what VersionCore decides: messages over UDP, and the list of the nodes that keep
/// records.
///
/// Roots keep records in the store, too, and read them when they have started: a node that finds a
/// record nowhere else asks them.
///
/// The roots of the relay tree and their children keep the records of all nodes of the tree, so
/// that the number of nodes that one has to know does not grow with the fleet. The list goes down
/// the tree: each node asks its parent.
class StreamVersionNode {
 public:
  StreamVersionNode(StreamVersionContext context, VersionCoreSettings settings);

  /// Fails with kSettingsInvalid where the address can't be bound.
  Result<void> start();
  /// The list of servers has changed.
  void onServersChanged();
  /// See VersionCore::noteListed() and noteMissedChanges(); followed by onServersChanged().
  void onServerEntry(const std::string& service, const SoftwareVersion& version) {
    core_.noteListed(service, version);
  }
  void onServersMissed();
  /// The list was proven to be the newest again.
  void onServersProven();
  /// See VersionCore::begin() and end().
  void begin(StreamKey stream, const std::string& service, const SoftwareVersion& version);
  void end(StreamKey stream, bool whole) { core_.end(stream, whole); }
  /// Takes one round trip to the nearest keeper, or a bounded time.
  /// See VersionCore::resolve().
  boost::asio::awaitable<Resolution> resolve(StreamKey stream, std::string service,
                                             bool attemptNamed);
  /// Whether servers of this version are listed.
  bool isListed(const std::string& service, const SoftwareVersion& version) const;
  /// Answers KeepersQuery.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  void showMetrics();

  static constexpr Milliseconds kKeepersInterval{2000};
  /// Until the first list has come.
  static constexpr Milliseconds kFirstKeepersInterval{100};
  /// A root that cannot read the archive tries again after this time.
  static constexpr Milliseconds kArchiveRetryInterval{500};
  /// A node that has just started asks again for a version that others could not tell yet, within
  /// this time of its start, and for so long.
  static constexpr Milliseconds kStartupTime{3000};
  static constexpr Milliseconds kStartupPatience{500};
  /// Least time between two reads for proofs, so that many returns share one.
  static constexpr Milliseconds kProofInterval{20};
  /// Before the first of them: proofs are told in whole milliseconds, rounded down.
  static constexpr Milliseconds kProofDelay{2};
  static constexpr Milliseconds kProofRetryInterval{50};

 private:
  boost::asio::awaitable<Resolution> resolveOnce(StreamKey stream, const std::string& service,
                                                 bool attemptNamed);
  boost::asio::awaitable<void> learnKeepers();
  /// Whether this node writes records to the store: a root, or a node without others.
  bool archives() const;
  boost::asio::awaitable<void> readArchiveAlone();
  /// Reads the archive if this node writes it and has not read it.
  boost::asio::awaitable<void> readArchive();
  /// Archives which versions services have had lately, if this node is a root and that has changed.
  void archiveHistory();
  /// The roots of the tree, including this node if it is one.
  std::vector<Endpoint> allRoots() const;
  /// Number of this node among the roots.
  std::size_t archiveWriter() const;
  boost::asio::awaitable<void> learnOnce();
  boost::asio::awaitable<std::vector<Endpoint>> askForKeepers(Endpoint node);
  /// This node and its children, if it is a root.
  std::vector<Endpoint> ownKeepers() const;
  void adopt(std::vector<Endpoint> keepers);
  void scheduleTick();
  /// Starts readProofs() unless it runs.
  void requestProof();
  /// Reads the list from the store until no question waits for a proof.
  boost::asio::awaitable<void> readProofs();

  StreamVersionContext context_;
  peer::UdpTransport transport_;
  VersionCore core_;
  StreamArchive archive_;
  MonotonicTime startedAt_ = monotonicNow();
  MonotonicTime archiveTriedAt_{};
  ArchivedHistory archivedHistory_;
  bool readingProofs_ = false;
  boost::asio::steady_timer tickTimer_;
};

}  // namespace calicodrift::stream_versions
