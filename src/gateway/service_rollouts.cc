#include "gateway/service_rollouts.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "common/hashing.h"
#include "log/log.h"

namespace calicodrift::gateway {

namespace asio = boost::asio;
using asio::awaitable;
using service_rollout::ObservationTable;
using service_rollout::Order;
using service_rollout::OrderKey;
using service_rollout::Phase;
using service_rollout::ServiceRecord;
using service_rollout::Track;
using service_rollout::TrafficRule;
using service_rollout::Verdict;

namespace {

constexpr std::string_view kLeaseName = "service-rollouts";
/// Rules and verdicts are looked at so often; as often as other nodes tell what they saw.
constexpr Milliseconds kPulse{100};
/// Watch and proof while an order is under way: a permit of 1.5 s outlasts two lost watches.
constexpr Milliseconds kActiveWatch{500};
/// The share of the exposure that the canary takes until enough was seen, and afterwards: what is
/// saved pays for shifting before the deadline.
constexpr double kEarlyCanaryPart = 0.7;
constexpr double kLateCanaryPart = 0.2;
/// Over which a service's request rate is taken.
constexpr Milliseconds kRateSpan{2000};

/// Adds what the table has of the order.
void addObservations(OrderKey order, const ObservationTable& table,
                     service_rollout::OrderObservations& sum) {
  if (const auto found = table.find(order); found != table.end()) {
    sum += found->second;
  }
}

std::string textOf(std::uint64_t number) {
  return std::to_string(number);
}

}  // namespace

ServiceRollouts::ServiceRollouts(ServiceRolloutsContext context, const GatewaySettings& settings,
                                 lease::LeaseSettings lease,
                                 service_rollout::RolloutMetrics& metrics, std::uint64_t seed)
    : context_(std::move(context)),
      enabled_(settings.rolloutExposureShare > 0),
      plan_({settings.rolloutExposureShare, settings.rolloutExposureSlack}),
      nodeId_(settings.nodeId),
      metrics_(metrics),
      rules_({settings.rolloutPermitTerm}),
      budget_(settings.rolloutExposureShare * kEarlyCanaryPart, seed),
      idleWatch_(settings.rolloutIdleWatch),
      orderWatcher_(context_.executor, context_.views,
                    watcherSettings(context_.schema.rolloutKind()), orderListener()),
      recordWatcher_(context_.executor, context_.views,
                     watcherSettings(std::string(service_rollout::kRecordKind)), recordListener()),
      lease_(context_.executor, context_.leases, std::string(kLeaseName), std::move(lease),
             [this] { return context_.mayDecide() && anyUnfinished(); }),
      controller_(context_.executor, ports(), controllerSettings(seed)),
      timer_(context_.executor) {}

void ServiceRollouts::start() {
  if (!enabled_) {
    return;
  }
  context_.views.excludeFromProvenAt(context_.schema.rolloutKind());
  context_.views.excludeFromProvenAt(std::string(service_rollout::kRecordKind));
  orderWatcher_.start();
  recordWatcher_.start();
  lease_.start();
  controller_.start();
  asio::co_spawn(context_.executor, pulse(), asio::detached);
}

void ServiceRollouts::retryNow() {
  if (enabled_) {
    orderWatcher_.retryNow();
    recordWatcher_.retryNow();
  }
}

service_rollout::RolloutControllerSettings ServiceRollouts::controllerSettings(
    std::uint64_t seed) const {
  service_rollout::RolloutControllerSettings settings;
  settings.plan = plan_;
  settings.seed = seed;
  return settings;
}

store::KindWatcherSettings ServiceRollouts::watcherSettings(std::string kind) const {
  store::KindWatcherSettings watcher;
  watcher.seed = hashBytes(nodeId_ + kind);
  watcher.kind = std::move(kind);
  watcher.wait = idleWatch_;
  watcher.proofAge = idleWatch_;
  return watcher;
}

store::KindListener ServiceRollouts::orderListener() {
  store::KindListener listener;
  listener.onListing = [this](const store::Listing& listing) {
    context_.unreadable.keepListed(context_.schema.rolloutKind(), listing);
    rules_.setOrders({});
    std::erase_if(firstSights_, [&listing](const auto& sight) {
      return std::none_of(
          listing.objects.begin(), listing.objects.end(),
          [&sight](const store::Object& object) { return object.name == sight.first; });
    });
    for (const store::Object& object : listing.objects) {
      applyOrder(object);
    }
    refreshRules();
  };
  listener.onChanges = [this](const store::ChangeBatch& batch) {
    for (const store::Change& change : batch.changes) {
      if (change.removed) {
        rules_.removeOrder(change.object.name);
        firstSights_.erase(change.object.name);
        context_.unreadable.clear(context_.schema.rolloutKind(), change.object.name);
        log::write(log::Level::kInfo, "rollout_order_removed", {{"order", change.object.name}});
      } else {
        applyOrder(change.object);
      }
    }
    refreshRules();
  };
  return listener;
}

store::KindListener ServiceRollouts::recordListener() {
  store::KindListener listener;
  listener.onListing = [this](const store::Listing& listing) {
    context_.unreadable.keepListed(std::string(service_rollout::kRecordKind), listing);
    unreadableRecords_.clear();
    std::vector<ServiceRecord> unreadable;
    for (const store::Object& object : listing.objects) {
      const ServiceRecord* known = rules_.recordOf(object.name);
      if (!readRecord(object) && known != nullptr) {
        unreadable.push_back(*known);
      }
    }
    rules_.setRecords(unreadable);
    for (const store::Object& object : listing.objects) {
      applyRecord(object);
    }
    refreshRules();
  };
  listener.onChanges = [this](const store::ChangeBatch& batch) {
    for (const store::Change& change : batch.changes) {
      if (!change.removed) {
        applyRecord(change.object);
      }
    }
    refreshRules();
  };
  return listener;
}

void ServiceRollouts::applyOrder(const store::Object& object) {
  const Result<Order> order = context_.schema.readRollout(object);
  if (!order) {
    // What can't be read is no order: the service goes on as it is.
    context_.unreadable.note(context_.schema.rolloutKind(), object, order.error());
    rules_.removeOrder(object.name);
    return;
  }
  context_.unreadable.clear(context_.schema.rolloutKind(), object.name);
  rules_.applyOrder(order.value());
  FirstSight& sight = firstSights_[object.name];
  // One that had a state and has none any more was made anew.
  const bool madeAnew = sight.hadState && !order.value().hasState();
  if (sight.target != order.value().target || madeAnew) {
    sight = {order.value().target, monotonicNow(), false};
  }
  sight.hadState = order.value().hasState();
  log::write(log::Level::kInfo, "rollout_order",
             {{"service", order.value().service},
              {"target", order.value().target.value()},
              {"duration_ms", std::to_string(order.value().duration.count())},
              {"state", std::string(toString(order.value().state))},
              {"withdrawn", order.value().withdrawn ? "true" : "false"},
              {"revision", textOf(order.value().revision.value())}});
}

std::optional<ServiceRecord> ServiceRollouts::readRecord(const store::Object& object) {
  const std::string kind(service_rollout::kRecordKind);
  const Result<ServiceRecord> record = service_rollout::toRecord(object);
  if (!record) {
    context_.unreadable.note(kind, object, record.error());
    unreadableRecords_[object.name] = object.revision;
    return std::nullopt;
  }
  context_.unreadable.clear(kind, object.name);
  unreadableRecords_.erase(object.name);
  return record.value();
}

void ServiceRollouts::applyRecord(const store::Object& object) {
  const std::optional<ServiceRecord> record = readRecord(object);
  if (!record) {
    return;
  }
  rules_.applyRecord(*record);
  log::write(log::Level::kInfo, "rollout_record",
             {{"service", record->service},
              {"stable", record->stable.value()},
              {"candidate", record->candidate.value()},
              {"phase", std::string(toString(record->phase))},
              {"revision", textOf(record->revision.value())}});
}

awaitable<void> ServiceRollouts::pulse() {
  for (;;) {
    adjustWatches();
    if (anyUnfinished()) {
      // Permits end by time alone. Without an order the rules follow the views.
      refreshRules();
    }
    judgeAll();
    timer_.expires_after(kPulse);
    co_await timer_.async_wait(asio::use_awaitable);
  }
}

void ServiceRollouts::adjustWatches() {
  const Milliseconds wait = anyUnfinished() ? std::min(kActiveWatch, idleWatch_) : idleWatch_;
  orderWatcher_.setWait(wait);
  recordWatcher_.setWait(wait);
}

void ServiceRollouts::refreshRules() {
  if (!enabled_) {
    return;
  }
  const MonotonicTime now = monotonicNow();
  for (const auto& [service, listed] : context_.pool.listedVersions()) {
    // Before the orders were read, several versions can't be told from each other.
    if (synchronized() || listed.size() == 1) {
      rules_.setListed(service, listed);
    } else {
      rules_.blockTraffic(service);
    }
  }
  for (const std::string& service : rules_.services()) {
    const TrafficRule rule = ruleFor(service);
    context_.pool.setVersions(service, rule.stable, rule.candidate, now);
    logRule(service, rule);
  }
}

void ServiceRollouts::logRule(const std::string& service, const TrafficRule& rule) {
  TrafficRule& logged = loggedRules_[service];
  if (logged == rule) {
    return;
  }
  logged = rule;
  const auto age = std::chrono::duration_cast<Milliseconds>(monotonicNow() - provenAt());
  log::write(log::Level::kInfo, "rollout_rule",
             {{"service", service},
              {"stable", rule.stable.value()},
              {"candidate", rule.candidate.value()},
              {"use", std::string(toString(rule.use))},
              {"order", textOf(rule.order.value())},
              {"rejected", rules_.rejected(rule.order) ? "true" : "false"},
              {"view_age_ms", std::to_string(age.count())}});
}

TrafficRule ServiceRollouts::ruleFor(const std::string& service) const {
  return rules_.ruleFor(service, provenAt(), monotonicNow());
}

MonotonicTime ServiceRollouts::provenAt() const {
  return std::min(orderWatcher_.provenAt(), recordWatcher_.provenAt());
}

std::set<OrderKey> ServiceRollouts::underWay() const {
  std::set<OrderKey> keys;
  for (const std::string& service : rules_.services()) {
    const ServiceRecord* record = rules_.recordOf(service);
    if (record != nullptr && record->phase != Phase::kSteady) {
      keys.insert(keyOf(*record));
    }
  }
  return keys;
}

bool ServiceRollouts::anyUnfinished() const {
  const std::set<std::string> services = rules_.services();
  return std::any_of(services.begin(), services.end(), [this](const std::string& service) {
    const Order* order = rules_.orderOf(service);
    const ServiceRecord* record = rules_.recordOf(service);
    const bool orderOpen = order != nullptr && !order->withdrawn && !order->ended();
    const bool lost = record != nullptr && unreadableRecords_.contains(service);
    return orderOpen || lost || (record != nullptr && record->phase != Phase::kSteady);
  });
}

void ServiceRollouts::judgeAll() {
  const std::set<OrderKey> keys = underWay();
  observer_.retainOnly(keys);
  std::erase_if(progress_, [&keys](const auto& entry) { return !keys.contains(entry.first); });
  const MonotonicTime now = monotonicNow();
  for (const std::string& service : rules_.services()) {
    const TrafficRule rule = ruleFor(service);
    if (rule.order != OrderKey()) {
      judgeOne(service, rule, now);
    }
  }
}

void ServiceRollouts::judgeOne(const std::string& service, const TrafficRule& rule,
                               MonotonicTime now) {
  Progress& progress =
      progress_.try_emplace(rule.order, service_rollout::CanaryAnalyzerSettings{}).first->second;
  noteAge(service, rule.order, now);
  const ObservationTable own = observer_.snapshot(now);
  progress.sum = {};
  progress.sum.order = rule.order;
  addObservations(rule.order, own, progress.sum);
  addObservations(rule.order, others_, progress.sum);
  progress.reached.push_back({now, progress.sum.reached});
  while (now - progress.reached.front().at > kRateSpan) {
    progress.reached.pop_front();
  }
  const Verdict verdict = progress.analyzer.update(progress.sum, now);
  if (verdict != progress.verdict) {
    progress.verdict = verdict;
    log::write(log::Level::kInfo, "rollout_verdict",
               {{"service", service},
                {"candidate", rule.candidate.value()},
                {"verdict", std::string(toString(verdict))},
                {"reached", textOf(progress.sum.reached)},
                {"exposed", textOf(progress.sum.exposed)},
                {"facts", progress.analyzer.explain()}});
  }
  if ((verdict == Verdict::kBad || progress.sum.rejected) && !rules_.rejected(rule.order)) {
    reject(service, rule.order, verdict == Verdict::kBad ? "judged here" : "heard");
  }
  budget_.setShare(plan_.exposureShare *
                   (verdict == Verdict::kSound ? kLateCanaryPart : kEarlyCanaryPart));
}

void ServiceRollouts::noteAge(const std::string& service, OrderKey key, MonotonicTime now) {
  const Order* order = rules_.orderOf(service);
  if (order == nullptr) {
    return;
  }
  const auto seen = firstSights_.find(order->name);
  if (seen != firstSights_.end()) {
    observer_.updateAge(key, std::chrono::duration_cast<Milliseconds>(now - seen->second.at), now);
  }
}

void ServiceRollouts::reject(const std::string& service, OrderKey order, std::string_view source) {
  rules_.reject(order);
  observer_.reject(order);
  metrics_.countRejection(service);
  log::write(
      log::Level::kWarning, "rollout_rejected",
      {{"service", service}, {"order", textOf(order.value())}, {"source", std::string(source)}});
  refreshRules();
}

ObservationTable ServiceRollouts::own() const {
  return enabled_ ? observer_.snapshot(monotonicNow()) : ObservationTable{};
}

void ServiceRollouts::onOthers(const ObservationTable& others) {
  others_ = others;
  const MonotonicTime now = monotonicNow();
  const std::set<OrderKey> keys = underWay();
  for (const auto& [key, seen] : others) {
    // Observations of an order that has ended are not passed on.
    if (keys.contains(key)) {
      observer_.updateAge(key, seen.age, now);
    }
  }
}

forward::RolloutHooks ServiceRollouts::hooks() {
  forward::RolloutHooks hooks;
  if (!enabled_) {
    return hooks;
  }
  hooks.canaryServerShare = plan_.exposureShare * kEarlyCanaryPart;
  hooks.rule = [this](const std::string& service) { return ruleFor(service); };
  hooks.takeCanary = [this](OrderKey order, service_rollout::RouteKey route) {
    return budget_.assignToCandidate(order, route);
  };
  hooks.onRefused = [this](OrderKey order, service_rollout::RouteKey route) {
    budget_.refund(order, route);
  };
  hooks.onSent = [this](const std::string& service, OrderKey order, Track track) {
    observer_.onSent(order, track);
    metrics_.countSent(service, track);
  };
  hooks.onAnswer = [this](OrderKey order, const service_rollout::AnswerObservation& answer) {
    observer_.onAnswer(order, answer);
  };
  return hooks;
}

}  // namespace calicodrift::gateway
