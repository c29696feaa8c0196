#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "../platform/gateway_fixture.h"
#include "../quota/simulated_fleet.h"
#include "draws.h"
#include "fault_spans.h"
#include "http/client.h"
#include "names.h"
#include "rollout_check.h"
#include "run_record.h"
#include "server_stand_in.h"
#include "silences_check.h"
#include "sim/fault_proxy.h"
#include "stoppable_server.h"
#include "store_stand_in.h"
#include "support/process.h"
#include "support/reserved_ports.h"
#include "weights_check.h"

namespace calicodrift::testing {

/// The bound that the nodes are given. Short, so that many namings fit in a run; its term is half
/// of it.
constexpr Milliseconds kWeightsBound{4000};
/// Where nodes restart: long enough that what a node does after it has settled can break it.
constexpr Milliseconds kLongWeightsBound{8000};
/// After a fault on the path to the store, or at a node, until it counts as in touch.
constexpr Milliseconds kSettle{3000};
/// Faults that are under way end by themselves within a planned stop's time.
constexpr Milliseconds kLongestFault{9500};

/// The users' bound for a withdrawn key, with what a request may take on its way.
constexpr Milliseconds kKeyRevocation{5500};

/// A request whose caller waits no longer than so may be given up by its node.
constexpr Milliseconds kRunsInTime{2500};

/// What the soak found; all counts of violations must be 0.
struct SoakFindings {
  std::size_t requests = 0;
  std::size_t served = 0;
  std::map<std::string, std::size_t> faults;
  std::vector<std::string> violations;
  /// How often the check of the begun weights could bite.
  std::size_t judgedBeginnings = 0;
  std::size_t judgedNamings = 0;
  std::string weights;
  /// Orders of versions, where they were part of the run.
  std::size_t judgedOrders = 0;
  std::size_t judgedNotices = 0;
  /// Servers that ended under the request that ends its servers.
  std::size_t judgedCrashes = 0;
  /// First tries of streams whose callers come back, and how many of them brought events.
  std::size_t begins = 0;
  std::size_t beginsThatBegan = 0;
  /// The same of tries to take a stream up.
  std::size_t returns = 0;
  std::size_t returnsThatWentOn = 0;
  std::string rollouts;
  /// How the calls beside silent servers ended.
  std::string silences;
  /// Requests that reached servers after their callers had left, within the time that nodes aim at
  /// and later; and runs during which callers left.
  std::size_t promptArrivals = 0;
  std::size_t lateArrivals = 0;
  std::size_t judgedDepartures = 0;
  /// Times in which servers bore few refusals.
  std::size_t judgedSpells = 0;
};

/// What a run holds beside the faults.
enum class SoakPlot {
  /// Calm spells in which weights are named in series.
  kWeights,
  /// Orders in series that move services to other versions.
  kRollouts,
  /// Weights named in a row beside restarts in series.
  kRestarts,
  /// As kWeights, with servers that name limits.
  kLimits,
  /// As kWeights, with servers that say that they leave, or ask for rest.
  kNotices,
  /// As kWeights, with a request that ends its servers.
  kCrashes,
  /// As kWeights, with new requests that share a part of their prompts which ends their servers.
  kCrashingParts,
  /// As kWeights, with a large configuration and a store that returns from copies.
  kReturns,
  /// As kWeights, with nodes that lose the paths to servers.
  kPartitions,
  /// As kWeights, with servers of several software versions that are replaced one by one.
  kVersions,
  /// Servers that stand still, beside changes of the configuration and signals to nodes.
  kSilences,
  /// Callers that leave, beside servers that name limits and herds of nodes that are killed.
  kDepartures,
  /// Nodes that stand still or lose the store while servers of a new software version join.
  kOutOfStep,
  /// Servers that bear few refusals, beside herds of nodes that are killed.
  kBrittleServers,
};

std::string_view nameOf(SoakPlot plot);

/// Real gateway processes of one zone before stand-ins of the platform, under seeded faults from
/// outside: signals to processes, and proxies on each node's path to the store and on each
/// server. Judges what callers and servers see. Everything but the processes runs on one thread.
class GatewaySoak {
 public:
  GatewaySoak(std::uint64_t seed, Milliseconds length, std::size_t nodes,
              SoakPlot plot = SoakPlot::kWeights)
      : random_(seed),
        schedule_(seed),
        length_(length),
        plot_(plot),
        record_("gateway-soak-" + std::string(nameOf(plot)) + "-" + std::to_string(seed)),
        store_(context_) {
    log::silence();
    store_.put("config", "main", configuration());
    store_.put("versions", "m", boost::json::object{{"model", "m"}, {"version", 1}});
    for (int number = 1; number <= 3; ++number) {
      addServer("app-" + std::to_string(number), "app", "", "v1", Behaviour());
      addServer("llm-" + std::to_string(number), "llm", "m", "v1", Behaviour());
    }
    // More, so that they hold several versions at once.
    for (int number = 4; plot == SoakPlot::kRestarts && number <= 6; ++number) {
      addServer("llm-" + std::to_string(number), "llm", "m", "v1", Behaviour());
    }
    for (int number = 4; plot == SoakPlot::kBrittleServers && number <= 7; ++number) {
      addServer("app-" + std::to_string(number), "app", "", "v1", Behaviour());
    }
    for (int number = 1; plot == SoakPlot::kSilences && number <= 2; ++number) {
      addServer("app2-" + std::to_string(number), "app2", "", "v1", Behaviour());
    }
    for (std::size_t number = 0; number < nodes; ++number) {
      addNode("n" + std::to_string(number));
    }
  }
  ~GatewaySoak() = default;
  GatewaySoak(const GatewaySoak&) = delete;
  GatewaySoak& operator=(const GatewaySoak&) = delete;

  SoakFindings run();
  /// Kept if a promise was broken.
  const std::filesystem::path& recordFolder() const { return record_.folder(); }

 private:
  using Body = boost::asio::awaitable<void>;
  struct Proxy {
    std::unique_ptr<sim::FaultProxy> proxy;
    Endpoint endpoint;
    Endpoint control;
  };
  struct Node {
    std::string name;
    std::string settings;
    /// Address that its connections leave from.
    std::string source;
    Endpoint listen;
    Endpoint ready;
    Proxy store;
    std::unique_ptr<Process> process;
    MonotonicTime startedAt;
    /// The soak has told its process to end, or killed it.
    bool told = false;
    bool stopping = false;
    /// Kills, pauses and stops, each until the node runs again.
    FaultSpans faults{kSettle};
  };
  struct Sending {
    const Node* node = nullptr;
    MonotonicTime at;
  };
  struct Arrival {
    MonotonicTime at;
    bool sentCalmly = false;
  };
  /// How the runs of a version's servers go wrong, if they do.
  struct Behaviour {
    double badShare = 0;
    /// They are slow; else they fail.
    bool slow = false;
    /// From the server's start.
    Milliseconds badAfter{0};
    bool onlyUnderLoad = false;
    bool onOneRoute = false;
  };
  /// Of a prompt, by the scope under which it is kept.
  using Part = std::pair<std::string, std::string>;
  struct Server {
    std::unique_ptr<ServerStandIn> server;
    std::string service;
    std::string version = "v1";
    std::string state = "ready";
    Behaviour behaviour;
    MonotonicTime startedAt = monotonicNow();
    /// Ids of the runs under way.
    std::multiset<std::string> running;
    bool stopped = false;
    Proxy proxy;
    /// In place of the stand-in's own listener and the proxy.
    std::unique_ptr<StoppableServer> stoppable;
    /// Of the last time that it stood still.
    MonotonicTime stopBegin{};
    MonotonicTime stopEnd{};
    bool hasModel = false;
    /// Requests that come wait for some seconds before they begin.
    bool letsWait = false;
    FaultSpans pathFaults{Milliseconds(0)};
    /// What it keeps, with the weights that made it.
    std::map<Part, std::uint64_t> memory;
    /// Parts that were sent to it since it was last empty.
    std::set<Part> asked;
    /// When its entry told of what had emptied it.
    MonotonicTime emptyToldAt = monotonicNow();
    /// Its process has ended and has not told of its new start yet.
    bool down = false;
    MonotonicTime upSince = monotonicNow();
    /// Since when its entry has been bad.
    std::optional<MonotonicTime> badSince;
    MonotonicTime lastArrival;
    /// From when on the limit that it names is kept by all nodes; nothing where it names none.
    std::optional<MonotonicTime> sparedSince;
    /// Since then, requests of nodes that were free of faults.
    std::vector<MonotonicTime> calmArrivals;
  };

  /// The tenant's limit, as the platform writes it.
  static boost::json::object limit();
  Proxy makeProxy(const Endpoint& target);
  void addServer(const std::string& id, const std::string& service, const std::string& model,
                 const std::string& version, const Behaviour& behaviour);
  boost::json::value entryOf(const Server& server) const;
  void publish(const Server& server);
  void addNode(const std::string& name);
  void startNode(Node& node);
  Body runServerRequest(Server& server, const http::Request& request, http::ResponseWriter& writer);
  boost::asio::awaitable<bool> waitsToBegin(Server& server, const http::Request& request,
                                            http::ResponseWriter& writer);
  void recordBeginning(const Server& server, const std::string& request);
  /// The platform's configuration, with routes whose requests stay with a silent server.
  boost::json::value configuration();
  Behaviour drawBehaviour();
  bool runsBadly(const Server& server, const http::Request& request);
  /// Whether the node that got the request, and the store, have been free of faults for long.
  bool sentCalmly(const std::string& request) const;
  std::vector<Server*> serversOf(const std::string& service, const std::string& version);
  Body stopServer(Server& server);
  Body stopAll(std::string service, std::string version, bool drains);
  Body rollOutInSeries(std::string service, MonotonicTime end);
  boost::asio::awaitable<std::string> rollOut(std::string service, std::string target);
  Body stormWithRollouts();
  std::string exposureShare() const;
  Milliseconds streamLife() const;
  Body callers();
  Body call(std::string kind, std::string key);
  void judge(const std::string& kind, const std::string& id, const Result<http::Response>& answer);
  Body stormAndCalm();
  Body stormWithLimits();
  Body limitServers(std::string service, MonotonicTime end, Draws draws);
  void noteSpared(Server& server, const std::string& request);
  static bool crashes(const http::Request& request);
  /// The request has come to a server, which ends under it.
  void crashUnder(Server& server, const std::string& request, MonotonicTime arrival);
  Body sendCrashing();
  Body crashingRequests(MonotonicTime end);
  void checkBar();
  Body loseAllMachines();
  Body stormWithCrashes();
  Body stormWithReturns();
  Body returnsInSeries(MonotonicTime end, Draws draws);
  Body returnFromCopy(Draws draws);
  Body publishLate(const Server& server, Milliseconds delay);
  static void addIdleRoutes(boost::json::array& routes);
  Body setCut(std::vector<const Node*> cutNodes, std::vector<Server*> servers,
              boost::json::object kind);
  Body cutSome(Draws draws);
  Body partitionsInSeries(MonotonicTime end, Draws draws);
  boost::asio::awaitable<std::size_t> countUnserved(const Node& node);
  Body judgePartition(boost::json::object kind);
  Body stormWithPartitions();
  static bool showsVersion(const http::Request& request);
  Body streamWithVersion(const Server& server, const http::Request& request,
                         http::ResponseWriter& writer);
  Body callWithReturns();
  Body streamsWithReturns();
  void addVersion(const std::string& version);
  Body releaseInSeries(MonotonicTime end, Draws draws);
  Body stormWithVersions();
  Body stormOutOfStep();
  Body releaseBesideNodesOutOfStep(MonotonicTime end, Draws draws);
  Body leaveAll(std::vector<Server*> leaving, bool drains);
  Body putOutOfStep(Node& node, Draws draws);
  Body killSomeBesideReleases(MonotonicTime end, Draws draws);
  Body stormWithNotices();
  Body noticesInSeries(std::string service, MonotonicTime end, Draws draws);
  Body leaveAndReturn(Server& server, Draws draws);
  Body restAWhile(Server& server, Draws draws);
  const Node* judgedSender(const std::string& request, MonotonicTime since) const;
  void judgeLeaving(const Server& server, MonotonicTime begin);
  void judgeRests(const Server& server, MonotonicTime begin, Milliseconds rest);
  void addStoppable(Server& server);
  bool standStill(Server& server, Milliseconds time);
  Body standStillInSeries(Server& server, MonotonicTime end, Draws draws);
  MonotonicTime soonestSend(const Server& server, const std::string& request) const;
  Body runWithSilences(Server& server, const http::Request& request, http::ResponseWriter& writer);
  Body endServersInSeries(MonotonicTime end, Draws draws);
  void changeForSilences(boost::json::value& configuration) const;
  Body changeInSeries(MonotonicTime end, Draws draws);
  Body strikeNodesInSeries(MonotonicTime end, Draws draws);
  Body callBesideSilences(std::string kind);
  static Body readAnswer(http::ResponseStream& answer, SilencesCall& call);
  void judgeBesideSilences(const SilencesCall& call);
  Body callersBesideSilences();
  Body stormWithSilences();
  Body runForLeavingCaller(Server& server, const http::Request& request,
                           http::ResponseWriter& writer);
  Body callAndLeave(std::string kind, bool leaves);
  boost::asio::awaitable<bool> awaitSuccess(boost::asio::ip::tcp::socket& socket);
  Body callersThatLeave();
  Body watchTurns();
  Body killHerds(MonotonicTime end, Draws draws);
  Body killOne(Node& node, Milliseconds away);
  Body pauseNodes(MonotonicTime end, Draws draws);
  Body runForFixedTime(Server& server, const http::Request& request, http::ResponseWriter& writer);
  Body callOnce();
  Body callersBesideBrittleServers();
  Body fallWhenRefusing(Server& server, std::size_t bears, Draws draws);
  Body brittleSpell(Draws draws);
  Body killAllNodes(MonotonicTime end, Draws draws);
  Body stormWithBrittleServers();
  Body stormWithDepartures();
  Body faults(MonotonicTime end, MonotonicTime withdrawal);
  Body calmStore(MonotonicTime end);
  Body injectOne();
  Body injectOneButStore();
  Body nameInSeries(MonotonicTime end);
  Milliseconds weightsBound() const;
  Body restartsBesideNamings();
  Body nameInARow(Draws draws);
  Body restartNear(Milliseconds naming, Draws draws);
  Body killOneByOne(Draws draws);
  Body killAllAtOnce(Draws draws);
  Body startAfter(Node& node, Milliseconds time);
  Body rollOverAll(Draws draws);
  Body stopAndStart(Node& node);
  Body changesMeanwhile(MonotonicTime end, Draws draws);
  void drawPrompt(http::Request& request);
  static std::vector<Part> sharedPartsOf(const http::Request& request);
  Body fetchMemory(Server& server, const http::Request& request);
  void judgeMiss(const Server& source, const http::Request& request, const Part& part);
  void useMemory(Server& server, const http::Request& request);
  static void emptyMemory(Server& server);
  Body restartServers(MonotonicTime end, Draws draws);
  Body restartServer(Server& server, Draws draws);
  std::uint64_t weightsAtStart(const Server& server, Draws& draws) const;
  Body watchOrders();
  static boost::json::value spoil(boost::json::object entry, Draws& draws);
  void putSpoiled(const std::string& name, boost::json::object entry, Draws& draws);
  Body writeForeignEntries(MonotonicTime end, Draws draws);
  Body writeBeside(Draws draws);
  Body spoilNamings(MonotonicTime end, Draws draws);
  void putNaming();
  Body spoilServer(Server& server, Draws draws);
  bool usable(const Server& server, MonotonicTime since) const;
  void judgeOthers(const Server& bad);
  void judgeArrival(Server& server, const std::string& request);
  void judgeCut(const Server& server, const std::string& request, MonotonicTime begun);
  void nameWeights();
  void troubleModelServers();
  Body troubleOrders(Server& server, Milliseconds length, Draws draws);
  Body letWait(Server& server, Milliseconds after, Milliseconds length);
  Body strikeNode(Node& node);
  void killNode(Node& node);
  Body killInSeries(Node& node, Draws draws);
  Body stopInTime(Node& node);
  Body reloadInSeries(Node& node);
  Body changeConfigurationInSeries();
  Body setFaults(Endpoint control, boost::json::object faults);
  Body strikeProxy(std::string name, std::string target, Endpoint control, FaultSpans& faults);
  Body strikeStore();
  Body withdrawKeyUnheard();
  Body recover();
  Body pause(Milliseconds time);
  void checkOrders();
  void checkLimit();
  void checkRuns();
  std::size_t pick(std::size_t count) { return random_.pick(count); }
  Milliseconds between(int least, int most) { return random_.between(least, most); }
  /// Counts and records a fault. `target` names what it strikes.
  void countFault(const std::string& kind, const std::string& target = "") {
    ++findings_.faults[kind];
    record_.note(kind + (target.empty() ? "" : ": " + target));
  }
  void violate(const std::string& what) {
    findings_.violations.push_back(what);
    record_.note("violation: " + what);
    record_.keep();
  }

  boost::asio::io_context context_;
  Draws random_;
  /// Of what only some runs hold.
  Draws schedule_;
  Milliseconds length_;
  SoakPlot plot_;
  /// Outlives the processes, which write to it.
  RunRecord record_;
  StoreStandIn store_;
  http::Client client_{context_.get_executor()};
  /// Only bad entries name it.
  ServerStandIn foreign_{context_, "foreign", "app"};
  std::vector<std::unique_ptr<Server>> servers_;
  ReservedPorts ports_{context_.get_executor(), kSoakPorts};
  std::vector<std::unique_ptr<Node>> nodes_;
  SoakFindings findings_;
  bool ended_ = false;
  std::size_t outstanding_ = 0;
  std::uint64_t nextRequest_ = 0;
  std::size_t nextServer_ = 0;
  std::uint64_t configVersion_ = 1;
  /// The configuration holds a public route /last/, from the end of all machines on.
  bool hasLastRoute_ = false;
  /// The tenant's key by the configuration.
  std::string key_ = "k1";
  std::uint64_t weights_ = 1;
  /// Runs of each request id at servers.
  std::map<std::string, std::size_t> runs_;
  std::set<std::string> once_;
  std::set<std::string> promisedNotRun_;
  std::set<std::string> withdrawnSent_;
  std::vector<Arrival> crashingArrivals_;
  std::vector<MonotonicTime> serverEnds_;
  /// Tokens of the tenant that servers ran, by the time at which their requests came.
  std::multimap<MonotonicTime, double> tokensRun_;
  /// The key's withdrawal has begun; see withdrawnAt_.
  bool withdrawing_ = false;
  /// No node hears from the store.
  bool unheard_ = false;
  /// When the key was withdrawn.
  std::optional<MonotonicTime> withdrawnAt_;
  /// Faults of the store and of any path to it.
  FaultSpans storeFaults_{kSettle};
  WeightsCheck weightsCheck_{weightsBound()};
  RolloutBounds rolloutBounds_;
  RolloutCheck rolloutCheck_{rolloutBounds_};
  /// The weights of the runs under each scope of cache.
  std::map<std::string, std::uint64_t> scopeWeights_;
  SilencesCheck silences_;
  /// When callers left, by the ids of their requests.
  std::map<std::string, MonotonicTime> departures_;
  Milliseconds longestTurn_{0};
  /// Number of times in which servers bore few refusals began or ended, and falls in the last one.
  unsigned spell_ = 0;
  std::size_t falls_ = 0;
  Milliseconds routeTimeout_{5000};
  std::uint64_t appWeight_ = 5;
  bool hasFleetingRoute_ = true;
  MonotonicTime fleetingChangedAt_ = monotonicNow();
  bool limitIsLow_ = false;
  /// Where and when the soak sent each request.
  std::map<std::string, Sending> sendings_;
};

}  // namespace calicodrift::testing
