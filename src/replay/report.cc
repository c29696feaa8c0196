#include "replay/report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

#include "replay/svg_plot.h"

namespace calicodrift::replay {
namespace {

constexpr double kPercent = 100;
constexpr double kMedian = 50;
constexpr double kTail = 95;
constexpr double kFarTail = 99;
constexpr double kMillion = 1e6;

constexpr std::string_view kStyle = R"(<style>
body{font:16px/1.5 system-ui,sans-serif;max-width:820px;margin:2rem auto;padding:0 1rem;color:#1d2329;background:#fff}
h1{font-size:1.6rem;margin-bottom:.2rem}h2{font-size:1.15rem;margin-top:2.2rem;margin-bottom:.2rem}
p{margin:.3rem 0 .8rem}.note{color:#59636e}
svg{width:100%;height:auto;font:13px system-ui,sans-serif}svg text{fill:#1d2329}
.grid{stroke:#d8dee4;stroke-width:1}.reference{stroke:#1d2329;stroke-width:1.5;stroke-dasharray:5 4}
table{border-collapse:collapse;width:100%;font-size:.86rem}
td,th{padding:.3rem .45rem;border-bottom:1px solid #d8dee4;text-align:right}
td:first-child,th:first-child{text-align:left}
</style>)";

std::string format(const char* pattern, double value) {
  constexpr std::size_t kBytes = 48;
  std::array<char, kBytes> text{};
  std::snprintf(text.data(), text.size(), pattern, value);
  return text.data();
}

std::string millisecondsText(double value) {
  constexpr double kSecond = 1000;
  return value < kSecond ? format("%.0f ms", value) : format("%.2f s", value / kSecond);
}

std::string hitRatePlot(const PolicyResults& results) {
  std::vector<Bar> bars;
  for (const auto& [name, measures] : results) {
    const double percent = measures.prefixHitRate() * kPercent;
    bars.push_back({name, percent, format("%.1f%%", percent), plotColor(bars.size())});
  }
  const double oracle = results.empty() ? 0 : results.front().second.oracleHitRate * kPercent;
  return barPlot(bars, kPercent, {format("oracle %.1f%%", oracle), oracle});
}

std::string firstTokenPlot(const PolicyResults& results) {
  std::vector<Curve> curves;
  for (const auto& [name, measures] : results) {
    constexpr double kStep = 1;
    constexpr double kLast = 99.9;
    Curve curve{name + ": p50 " + millisecondsText(measures.firstToken.percentile(kMedian)) +
                    ", p95 " + millisecondsText(measures.firstToken.percentile(kTail)) + ", p99 " +
                    millisecondsText(measures.firstToken.percentile(kFarTail)),
                plotColor(curves.size()),
                {}};
    for (double percent = kStep; percent < kPercent; percent += kStep) {
      curve.points.emplace_back(measures.firstToken.percentile(percent), percent);
    }
    curve.points.emplace_back(measures.firstToken.percentile(kLast), kLast);
    curves.push_back(std::move(curve));
  }
  return percentileCurves(curves);
}

std::string wastePlot(const PolicyResults& results) {
  std::vector<Bar> bars;
  double most = 0;
  for (const auto& [name, measures] : results) {
    const double millions = static_cast<double>(measures.wastedTokens) / kMillion;
    most = std::max(most, millions);
    bars.push_back({name, millions, format("%.2f M", millions), plotColor(bars.size())});
  }
  return barPlot(bars, most, {"", 0});
}

void writeRow(std::ostringstream& page, const std::string& name, const Measures& measures) {
  page << "<tr><td>" << escapeHtml(name) << "</td><td>"
       << format("%.2f%%", measures.prefixHitRate() * kPercent) << "</td><td>"
       << millisecondsText(measures.firstToken.percentile(kMedian)) << "</td><td>"
       << millisecondsText(measures.firstToken.percentile(kTail)) << "</td><td>"
       << millisecondsText(measures.firstToken.percentile(kFarTail)) << "</td><td>"
       << measures.wastedTokens << "</td><td>" << measures.completed << "</td><td>"
       << measures.refused << "</td><td>" << format("%.1f%%", measures.engineLoad * kPercent)
       << "</td></tr>\n";
}

void writeTable(std::ostringstream& page, const PolicyResults& results) {
  page << "<table><tr><th>policy</th><th>hit rate</th><th>p50</th><th>p95</th><th>p99</th>"
          "<th>wasted tokens</th><th>completed</th><th>refused</th><th>engine load</th></tr>\n";
  for (const auto& [name, measures] : results) {
    writeRow(page, name, measures);
  }
  page << "</table>\n";
}

void writeRun(std::ostringstream& page, const ReplaySettings& settings,
              const std::string& traceName) {
  page << "<p class=\"note\">Trace " << escapeHtml(traceName) << ", site "
       << escapeHtml(settings.deployment.name) << " (" << settings.deployment.engines
       << " engines), " << settings.routers << " routers, seed " << settings.seed
       << ", arrivals at " << format("%.0f%%", settings.loadFactor * kPercent)
       << " of the trace's speed. Cache events: " << toString(settings.index) << ", "
       << settings.eventDelay.count() << " ms late, "
       << format("%.0f%%", settings.eventLoss * kPercent)
       << " lost. Engine crashes: " << settings.crashes << ".</p>\n";
}

}  // namespace

std::string reportPage(const ReplaySettings& settings, const std::string& traceName,
                       const PolicyResults& results) {
  std::ostringstream page;
  page << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
          "<meta name=\"viewport\" content=\"width=device-width\">"
          "<title>Routing policies compared</title>"
       << kStyle << "</head><body>\n<h1>Routing policies compared</h1>\n";
  writeRun(page, settings, traceName);
  page << "<h2>Prefix hit rate</h2>\n<p>Prompt tokens that came from an engine's cache. More is "
          "better; the oracle is one cache as large as all engines together that knows every event "
          "at once.</p>\n"
       << hitRatePlot(results)
       << "\n<h2>Time to first token</h2>\n<p>Share of the requests whose first token came within "
          "the time below. Curves further left are better; refusals are not in them.</p>\n"
       << firstTokenPlot(results)
       << "\n<h2>Wasted recomputation</h2>\n<p>Million prompt tokens that an engine computed "
          "although another one held their block when the request was sent. Less is better.</p>\n"
       << wastePlot(results) << "\n<h2>All figures</h2>\n";
  writeTable(page, results);
  page << "<p class=\"note\">Engine load is the share of the engines' throughput with full batches "
          "that the work took: prefill of tokens that were not cached, and decoding.</p>\n"
          "</body></html>\n";
  return page.str();
}

}  // namespace calicodrift::replay
