#include "config/download.h"

#include <algorithm>
#include <numeric>

namespace calicodrift::config {

Download::Download(BundleVersion version, BundleDigest target, BundleDigest base,
                   const Endpoint& source)
    : version_(version), target_(target), base_(base), sources_{source} {}

void Download::addSource(const Endpoint& source) {
  const bool known = std::find(sources_.begin(), sources_.end(), source) != sources_.end();
  if (known) {
    return;
  }
  sources_.push_front(source);
  if (sources_.size() > kMaxSources) {
    sources_.pop_back();
  }
}

void Download::dropSource() {
  sources_.pop_front();
  attempts_ = 0;
}

void Download::addPiece(const Piece& piece) {
  const bool usable = piece.target == target_ && piece.index < piece.count &&
                      piece.count <= kMaxPieces && (piece.base == base_ || piece.base.value() == 0);
  if (!usable) {
    return;
  }
  if (piece.base != base_) {
    restartWithFullText();
  }
  if (pieces_.empty()) {
    pieces_.resize(piece.count);
  }
  if (pieces_.size() != piece.count || pieces_[piece.index]) {
    return;
  }
  pieces_[piece.index] = piece.bytes;
  attempts_ = 0;
}

bool Download::complete() const {
  return !pieces_.empty() && missing().empty();
}

std::string Download::bytes() const {
  std::string all;
  for (const std::optional<std::string>& piece : pieces_) {
    all += *piece;
  }
  return all;
}

void Download::restartWithFullText() {
  base_ = BundleDigest();
  pieces_.clear();
  requestedPieces_.clear();
}

std::vector<std::uint16_t> Download::missing() const {
  std::vector<std::uint16_t> indexes;
  if (pieces_.empty()) {
    indexes.resize(kWindow);
    std::iota(indexes.begin(), indexes.end(), std::uint16_t{0});
    return indexes;
  }
  for (std::size_t index = 0; index < pieces_.size() && indexes.size() < kWindow; ++index) {
    if (!pieces_[index]) {
      indexes.push_back(static_cast<std::uint16_t>(index));
    }
  }
  return indexes;
}

bool Download::windowArrived() const {
  return std::all_of(requestedPieces_.begin(), requestedPieces_.end(), [this](std::uint16_t index) {
    return !pieces_.empty() && (index >= pieces_.size() || pieces_[index]);
  });
}

std::optional<Download::Request> Download::nextRequest(MonotonicTime now) {
  const bool waiting = !requestedPieces_.empty() && !windowArrived();
  if (waiting) {
    if (now - requestedAt_ < kAnswerTimeout * (1 << attempts_)) {
      return std::nullopt;
    }
    ++attempts_;
    if (sources_.size() > 1 || attempts_ >= kLastSourceAttempts) {
      dropSource();
    }
  }
  if (sources_.empty()) {
    return std::nullopt;
  }
  requestedPieces_ = missing();
  requestedAt_ = now;
  return Request{sources_.front(), PieceRequest{target_, base_, requestedPieces_}};
}

}  // namespace calicodrift::config
