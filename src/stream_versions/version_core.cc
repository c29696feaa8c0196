#include "stream_versions/version_core.h"

#include <algorithm>

#include "peer/codec.h"
#include "stream_versions/keeper_ranking.h"

namespace calicodrift::stream_versions {
namespace {

bool contains(const std::vector<Endpoint>& endpoints, const Endpoint& endpoint) {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
}

}  // namespace

std::string_view toString(VersionSource source) {
  switch (source) {
    case VersionSource::kOwnRecord:
      return "own_record";
    case VersionSource::kKeeper:
      return "keeper";
    case VersionSource::kOnlyVersion:
      return "only_version";
    case VersionSource::kOnlySeenVersion:
      return "only_seen_version";
    case VersionSource::kUnknown:
      return "unknown";
  }
  return "unknown";
}

VersionCore::VersionCore(VersionCoreSettings settings, peer::Transport& transport,
                         StreamVersionMetrics& metrics, std::function<MonotonicTime()> clock)
    : settings_(std::move(settings)),
      transport_(transport),
      metrics_(metrics),
      clock_(std::move(clock)),
      records_(settings_.streamLife),
      history_(settings_.streamLife) {
  transport_.setReceiver(
      peer::Channel::kStreamVersions,
      [this](const Endpoint& from, std::string_view payload) { receive(from, payload); });
}

void VersionCore::setKeepers(std::vector<Endpoint> keepers) {
  keepers_ = std::move(keepers);
}

void VersionCore::applyListing(const VersionListing& listing, MonotonicTime provenAt) {
  listingProvenAt_ = std::max(listingProvenAt_, provenAt);
  history_.apply(listing, clock_());
  forgetBrokenStreams();
  for (auto& [stream, open] : open_) {
    if (!open.recordedAt) {
      record(stream, open);
    }
  }
  answerProven();
}

void VersionCore::setListingProvenAt(MonotonicTime provenAt) {
  if (provenAt > listingProvenAt_) {
    listingProvenAt_ = provenAt;
    answerProven();
  }
}

void VersionCore::answerProven() {
  std::erase_if(proofQuestions_, [this](const ProofQuestion& question) {
    const bool proven = question.arrivedAt <= listingProvenAt_;
    if (proven) {
      send(question.from, provenReply(question));
    }
    return proven;
  });
  for (auto next = questions_.begin(); next != questions_.end();) {
    advance(next++);
  }
}

bool VersionCore::isListCurrent() const {
  return clock_() - listingProvenAt_ <= settings_.maxListAge;
}

std::optional<SoftwareVersion> VersionCore::onlyVersion(const std::string& service) const {
  return isListCurrent() ? history_.onlyVersion(service, clock_()) : std::nullopt;
}

std::optional<SoftwareVersion> VersionCore::provenOnlyVersion(const std::string& service) const {
  return isListCurrent() ? history_.provenOnlyVersion(service, clock_()) : std::nullopt;
}

std::vector<Endpoint> VersionCore::othersFor(StreamKey stream, std::size_t count) const {
  std::vector<Endpoint> ranked = rankedKeepers(keepers_, stream, count + 1);
  std::erase(ranked, settings_.endpoint);
  ranked.resize(std::min(ranked.size(), count));
  return ranked;
}

void VersionCore::begin(StreamKey stream, const std::string& service,
                        const SoftwareVersion& version) {
  OpenStream& open = open_[stream];
  open = {service, version, std::nullopt, std::nullopt};
  record(stream, open);
}

void VersionCore::end(StreamKey stream, bool whole) {
  const auto found = open_.find(stream);
  if (found == open_.end()) {
    return;
  }
  if (whole) {
    open_.erase(found);
    return;
  }
  found->second.brokeOffAt = clock_();
  brokenOff_.push_back(stream);
  forgetBrokenStreams();
}

void VersionCore::forgetBrokenStreams() {
  const MonotonicTime now = clock_();
  while (!brokenOff_.empty()) {
    const auto found = open_.find(brokenOff_.front());
    const bool goesOn = found == open_.end() || !found->second.brokeOffAt;
    const bool kept = !goesOn && now - *found->second.brokeOffAt <= settings_.streamLife;
    if (kept && brokenOff_.size() <= kMaxBrokenStreams) {
      return;
    }
    if (!goesOn) {
      open_.erase(found);
    }
    brokenOff_.pop_front();
  }
}

void VersionCore::record(StreamKey stream, OpenStream& open) {
  if (onlyVersion(open.service) == open.version) {
    return;
  }
  const MonotonicTime now = clock_();
  if (!open.recordedAt) {
    metrics_.countRecorded();
  }
  open.recordedAt = now;
  if (records_.put(stream, open.version, now)) {
    metrics_.countShed();
  }
  std::vector<Endpoint> receivers = othersFor(stream, kCopies);
  const bool archives = history_.hasSeveral(open.service, now);
  const std::optional<Endpoint> archivist = archives ? archivistOf(stream) : std::nullopt;
  if (archivist && *archivist != settings_.endpoint && !contains(receivers, *archivist)) {
    receivers.push_back(*archivist);
  }
  for (const Endpoint& receiver : receivers) {
    send(receiver, VersionRecord{stream, open.version.value()});
  }
  archive(stream, open.version);
}

bool VersionCore::isRoot() const {
  return contains(roots_, settings_.endpoint);
}

std::optional<Endpoint> VersionCore::archivistOf(StreamKey stream) const {
  const std::vector<Endpoint> first = rankedKeepers(roots_, stream, 1);
  return first.empty() ? std::nullopt : std::optional(first.front());
}

void VersionCore::archive(StreamKey stream, const SoftwareVersion& version) {
  // While all services have one version, the archived history tells enough.
  const bool needed = history_.anyHasSeveral(clock_());
  if (archive_ && needed && archivistOf(stream) == settings_.endpoint) {
    archive_(stream, version);
  }
}

void VersionCore::applyArchive(const Archived& archived, WallTime wallNow) {
  const MonotonicTime now = clock_();
  history_.applyArchived(archived.history, now, wallNow);
  for (const ArchivedRecord& record : archived.records) {
    if (!records_.find(record.stream, now)) {
      static_cast<void>(records_.put(record.stream, record.version, now));
    }
  }
  hasArchive_ = true;
}

std::vector<Endpoint> VersionCore::askedFor(StreamKey stream) const {
  std::vector<Endpoint> asked = othersFor(stream, kAskedKeepers);
  for (const Endpoint& root : roots_) {
    if (root != settings_.endpoint && !contains(asked, root)) {
      asked.push_back(root);
    }
  }
  return asked;
}

void VersionCore::renewRecords() {
  const MonotonicTime now = clock_();
  forgetBrokenStreams();
  for (auto& [stream, open] : open_) {
    const bool due = !open.recordedAt || now - *open.recordedAt >= kRenewInterval;
    if (due) {
      record(stream, open);
    }
  }
}

std::optional<RecordTable::Found> VersionCore::findOwn(StreamKey stream, MonotonicTime now) {
  if (const auto served = open_.find(stream); served != open_.end()) {
    return RecordTable::Found{served->second.version, Milliseconds(0)};
  }
  return records_.find(stream, now);
}

VersionCore::Question VersionCore::makeQuestion(StreamKey stream, const std::string& service,
                                                Listener listener, bool attemptNamed) const {
  const MonotonicTime now = clock_();
  Question question;
  question.stream = stream;
  question.service = service;
  question.attemptNamed = attemptNamed;
  question.listener = std::move(listener);
  question.askedAt = now;
  question.resendAt = now + settings_.resendAfter;
  const bool rootsProve = !roots_.empty() && !isRoot();
  question.proofDueAt = rootsProve ? now + settings_.ownProofAfter : now;
  question.answersEnd = now + settings_.giveUpAfter;
  question.end = now + settings_.proofTimeout;
  question.unanswered = askedFor(stream);
  question.dueAt = question.nextDue(now);
  return question;
}

void VersionCore::resolve(StreamKey stream, const std::string& service, Listener listener,
                          bool attemptNamed) {
  if (const auto own = findOwn(stream, clock_())) {
    metrics_.countResolved(toString(VersionSource::kOwnRecord));
    listener({VersionSource::kOwnRecord, own->version, own->age});
    return;
  }
  const std::uint64_t id = nextQuestion_++;
  const auto place =
      questions_.emplace(id, makeQuestion(stream, service, std::move(listener), attemptNamed))
          .first;
  ask(id, place->second);
  advance(place);
}

void VersionCore::ask(std::uint64_t id, const Question& question) {
  for (const Endpoint& keeper : question.unanswered) {
    send(keeper, VersionQuery{id, question.stream, question.service, question.attemptNamed});
  }
}

void VersionCore::tick() {
  const MonotonicTime now = clock_();
  for (auto next = questions_.begin(); next != questions_.end();) {
    const auto place = next++;
    postponeIfLate(place->first, place->second, now);
    advance(place);
  }
}

void VersionCore::postponeIfLate(std::uint64_t id, Question& question, MonotonicTime now) {
  if (question.postponed || now - question.dueAt < settings_.giveUpAfter) {
    return;
  }
  // The process stood still, and what has arrived since may not have been read yet.
  question.postponed = true;
  question.resendAt = now + settings_.resendAfter;
  question.answersEnd = now + settings_.giveUpAfter;
  question.end = now + settings_.proofTimeout;
  ask(id, question);
}

void VersionCore::advance(Questions::iterator place) {
  Question& question = place->second;
  const MonotonicTime now = clock_();
  if (now >= question.resendAt && now < question.answersEnd) {
    question.resendAt = now + settings_.resendAfter;
    ask(place->first, question);
  }
  const bool allAnswered = question.unanswered.empty() || now >= question.answersEnd;
  const bool proofDue = now >= question.proofDueAt || (allAnswered && question.unproven.empty());
  if (proofDue && !question.proofRequested && couldProve(question)) {
    question.proofRequested = true;
    requestProof_();
  }
  const Resolution resolution = withoutRecord(question);
  if (allAnswered && (resolution.known() || !awaitsProof(question) || now >= question.end)) {
    finish(place, resolution);
    return;
  }
  question.dueAt = question.nextDue(now);
}

MonotonicTime VersionCore::Question::nextDue(MonotonicTime now) const {
  MonotonicTime due = end;
  const bool awaitsAnswers = !unanswered.empty() && now < answersEnd;
  if (awaitsAnswers) {
    due = std::min({due, resendAt, answersEnd});
  }
  if (!proofRequested && proofDueAt > now) {
    due = std::min(due, proofDueAt);
  }
  return due;
}

std::optional<MonotonicTime> VersionCore::nextTick() const {
  std::optional<MonotonicTime> next;
  for (const auto& [id, question] : questions_) {
    next = std::min(next.value_or(question.dueAt), question.dueAt);
  }
  return next;
}

bool VersionCore::needsProof() {
  forgetProofQuestions();
  const auto waits = [this](const auto& item) {
    return item.second.proofRequested && item.second.askedAt > listingProvenAt_;
  };
  return !proofQuestions_.empty() || std::any_of(questions_.begin(), questions_.end(), waits);
}

bool VersionCore::couldProve(const Question& question) const {
  return requestProof_ && question.attemptNamed && listingProvenAt_ < question.askedAt &&
         !anySawSeveral(question) &&
         history_.provenOnlyVersion(question.service, clock_()).has_value();
}

bool VersionCore::awaitsProof(const Question& question) const {
  return question.attemptNamed && !anySawSeveral(question) &&
         (!question.unproven.empty() || couldProve(question));
}

void VersionCore::promiseProof(const Endpoint& from, const VersionQuery& query) {
  forgetProofQuestions();
  if (requestProof_ && isRoot() && proofQuestions_.size() < kMaxProofQuestions) {
    proofQuestions_.push_back({from, query.id, query.service, clock_()});
    requestProof_();
  }
}

void VersionCore::forgetProofQuestions() {
  std::erase_if(proofQuestions_, [now = clock_(), this](const ProofQuestion& question) {
    return now - question.arrivedAt > settings_.proofTimeout;
  });
}

VersionReply VersionCore::provenReply(const ProofQuestion& question) const {
  const MonotonicTime now = clock_();
  VersionReply reply;
  reply.id = question.id;
  if (const auto only = history_.provenOnlyVersion(question.service, now)) {
    reply.knowledge = Knowledge::kProvenOnlyVersion;
    reply.version = only->value();
  } else if (history_.hasSeveral(question.service, now)) {
    reply.knowledge = Knowledge::kSeveralVersions;
  }
  return reply;
}

void VersionCore::receive(const Endpoint& from, std::string_view payload) {
  const Result<Message> message = peer::decode<Message>(payload);
  if (!message) {
    metrics_.countUnreadable();
    return;
  }
  std::visit([&](const auto& content) { handle(from, content); }, message.value());
}

void VersionCore::handle(const Endpoint& /*from*/, const VersionRecord& record) {
  metrics_.countKept();
  const SoftwareVersion version(record.version);
  if (records_.put(record.stream, version, clock_())) {
    metrics_.countShed();
  }
  archive(record.stream, version);
}

void VersionCore::handle(const Endpoint& from, const VersionQuery& query) {
  const MonotonicTime now = clock_();
  VersionReply reply;
  reply.id = query.id;
  if (const auto found = findOwn(query.stream, now)) {
    reply.knowledge = Knowledge::kRecord;
    reply.version = found->version.value();
  } else if (awaitsArchive()) {
    // The question comes again.
    return;
  } else if (const auto only = provenOnlyVersion(query.service)) {
    reply.knowledge = Knowledge::kOnlyVersion;
    reply.version = only->value();
    if (query.wantsProof) {
      promiseProof(from, query);
    }
  } else if (history_.hasSeveral(query.service, now)) {
    reply.knowledge = Knowledge::kSeveralVersions;
  }
  send(from, reply);
}

void VersionCore::handle(const Endpoint& from, const VersionReply& reply) {
  const auto place = questions_.find(reply.id);
  if (place == questions_.end()) {
    return;
  }
  Question& question = place->second;
  const bool wasAwaited =
      std::erase(question.unanswered, from) + std::erase(question.unproven, from) > 0;
  if (!wasAwaited) {
    return;
  }
  if (reply.knowledge == Knowledge::kRecord) {
    finish(place, {VersionSource::kKeeper, SoftwareVersion(reply.version), std::nullopt});
    return;
  }
  if (reply.knowledge == Knowledge::kOnlyVersion && contains(roots_, from)) {
    question.unproven.push_back(from);
  }
  question.replies.push_back(reply);
  advance(place);
}

Resolution VersionCore::withoutRecord(const Question& question) const {
  Resolution resolution = withoutRecordNow(question);
  const bool asksOthers = settings_.endpoint.port != 0;
  const bool allAnswered = question.unanswered.empty() && !keepers_.empty();
  resolution.final = (allAnswered || !asksOthers) && !awaitsArchive() && !awaitsProof(question);
  return resolution;
}

Resolution VersionCore::withoutRecordNow(const Question& question) const {
  if (anySawSeveral(question)) {
    return {};
  }
  if (!question.attemptNamed) {
    return unprovenResolution(question);
  }
  const std::set<SoftwareVersion> only = provenVersions(question);
  if (only.size() != 1) {
    return {};
  }
  return {VersionSource::kOnlyVersion, *only.begin(), std::nullopt};
}

bool VersionCore::anySawSeveral(const Question& question) const {
  return history_.hasSeveral(question.service, clock_()) ||
         std::any_of(question.replies.begin(), question.replies.end(),
                     [](const VersionReply& reply) {
                       return reply.knowledge == Knowledge::kSeveralVersions;
                     });
}

std::set<SoftwareVersion> VersionCore::provenVersions(const Question& question) const {
  std::set<SoftwareVersion> only;
  if (listingProvenAt_ >= question.askedAt) {
    if (const auto own = history_.provenOnlyVersion(question.service, clock_())) {
      only.insert(*own);
    }
  }
  for (const VersionReply& reply : question.replies) {
    if (reply.knowledge == Knowledge::kProvenOnlyVersion) {
      only.insert(SoftwareVersion(reply.version));
    }
  }
  return only;
}

Resolution VersionCore::unprovenResolution(const Question& question) const {
  std::set<SoftwareVersion> only;
  if (const auto own = provenOnlyVersion(question.service)) {
    only.insert(*own);
  }
  for (const VersionReply& reply : question.replies) {
    const bool tells = reply.knowledge == Knowledge::kOnlyVersion ||
                       reply.knowledge == Knowledge::kProvenOnlyVersion;
    if (tells) {
      only.insert(SoftwareVersion(reply.version));
    }
  }
  const auto seen = history_.onlySeenVersion(question.service, clock_());
  if (only.empty() && seen) {
    only.insert(*seen);
  }
  if (only.size() != 1) {
    return {};
  }
  return {VersionSource::kOnlySeenVersion, *only.begin(), std::nullopt};
}

void VersionCore::finish(Questions::iterator question, const Resolution& resolution) {
  const Listener listener = std::move(question->second.listener);
  questions_.erase(question);
  metrics_.countResolved(toString(resolution.source));
  listener(resolution);
}

void VersionCore::send(const Endpoint& to, const Message& message) {
  transport_.send(to, peer::Channel::kStreamVersions, peer::encode(message));
}

}  // namespace calicodrift::stream_versions
