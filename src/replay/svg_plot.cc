#include "replay/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace calicodrift::replay {
namespace {

constexpr double kWidth = 760;
constexpr double kLabelWidth = 190;
constexpr double kTextWidth = 110;
constexpr double kRowHeight = 30;
constexpr double kBarHeight = 18;

std::string number(double value) {
  constexpr std::size_t kBytes = 32;
  std::array<char, kBytes> text{};
  std::snprintf(text.data(), text.size(), "%.1f", value);
  return text.data();
}

void textAt(std::ostringstream& svg, double x, double y, const std::string& anchor,
            const std::string& text) {
  svg << "<text x=\"" << number(x) << "\" y=\"" << number(y) << "\" text-anchor=\"" << anchor
      << "\">" << escapeHtml(text) << "</text>";
}

void openSvg(std::ostringstream& svg, double height) {
  svg << "<svg viewBox=\"0 0 " << number(kWidth) << " " << number(height) << "\" role=\"img\">";
}

void verticalLine(std::ostringstream& svg, double x, double top, double bottom,
                  const std::string& style) {
  svg << "<line class=\"" << style << "\" x1=\"" << number(x) << "\" x2=\"" << number(x)
      << "\" y1=\"" << number(top) << "\" y2=\"" << number(bottom) << "\"/>";
}

/// Maps milliseconds to the x axis of the curves.
class LogScale {
 public:
  explicit LogScale(const std::vector<Curve>& curves) {
    for (const Curve& curve : curves) {
      for (const auto& point : curve.points) {
        most_ = std::max(most_, point.first);
      }
    }
    decades_ = std::ceil(std::log10(most_ / kLeast));
  }
  double operator()(double milliseconds) const {
    const double decade = std::log10(std::max(milliseconds, kLeast) / kLeast);
    return kLeft + decade / decades_ * (kWidth - kLeft - kRight);
  }
  double decades() const { return decades_; }

  static constexpr double kLeast = 10;
  static constexpr double kLeft = 50;
  static constexpr double kRight = 20;

 private:
  double most_ = kLeast * 10;
  double decades_ = 1;
};

constexpr double kPlotTop = 10;
constexpr double kPlotBottom = 290;
constexpr double kWholePercent = 100;

double percentToY(double percent) {
  return kPlotBottom - percent / kWholePercent * (kPlotBottom - kPlotTop);
}

void drawAxes(std::ostringstream& svg, const LogScale& scale) {
  constexpr double kPercentStep = 25;
  constexpr double kTextDrop = 18;
  for (double percent = 0; percent <= kWholePercent; percent += kPercentStep) {
    const std::string y = number(percentToY(percent));
    svg << "<line class=\"grid\" x1=\"" << number(LogScale::kLeft) << "\" x2=\""
        << number(kWidth - LogScale::kRight) << "\" y1=\"" << y << "\" y2=\"" << y << "\"/>";
    textAt(svg, LogScale::kLeft - 6, percentToY(percent) + 4, "end",
           std::to_string(static_cast<int>(percent)) + "%");
  }
  double tick = LogScale::kLeast;
  for (int decade = 0; decade <= static_cast<int>(scale.decades()); ++decade) {
    constexpr double kSecond = 1000;
    verticalLine(svg, scale(tick), kPlotTop, kPlotBottom, "grid");
    const std::string label = tick < kSecond
                                  ? std::to_string(static_cast<int>(tick)) + " ms"
                                  : std::to_string(static_cast<int>(tick / kSecond)) + " s";
    textAt(svg, scale(tick), kPlotBottom + kTextDrop, "middle", label);
    tick *= 10;
  }
}

}  // namespace

std::string barPlot(const std::vector<Bar>& bars, double maximum,
                    const std::pair<std::string, double>& reference) {
  constexpr double kReferenceHeight = 20;
  const double plotWidth = kWidth - kLabelWidth - kTextWidth;
  const double scale = maximum > 0 ? plotWidth / maximum : 0;
  const double bottom = kRowHeight * static_cast<double>(bars.size());
  std::ostringstream svg;
  openSvg(svg, bottom + kReferenceHeight);
  double y = 0;
  for (const Bar& bar : bars) {
    const double width = bar.value * scale;
    const double middle = y + kRowHeight / 2;
    textAt(svg, kLabelWidth - 8, middle + 4, "end", bar.label);
    svg << "<rect x=\"" << number(kLabelWidth) << "\" y=\"" << number(middle - kBarHeight / 2)
        << "\" width=\"" << number(std::max(width, 1.0)) << "\" height=\"" << number(kBarHeight)
        << "\" rx=\"2\" fill=\"" << bar.color << "\"/>";
    textAt(svg, kWidth - 4, middle + 4, "end", bar.text);
    y += kRowHeight;
  }
  if (!reference.first.empty()) {
    const double x = kLabelWidth + reference.second * scale;
    verticalLine(svg, x, 0, bottom, "reference");
    textAt(svg, x, bottom + kReferenceHeight - 4, "middle", reference.first);
  }
  svg << "</svg>";
  return svg.str();
}

std::string percentileCurves(const std::vector<Curve>& curves) {
  constexpr double kLegendRow = 20;
  constexpr double kLegendTop = kPlotBottom + 40;
  const LogScale scale(curves);
  std::ostringstream svg;
  openSvg(svg, kLegendTop + kLegendRow * static_cast<double>(curves.size()));
  drawAxes(svg, scale);
  double legendY = kLegendTop;
  for (const Curve& curve : curves) {
    svg << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << curve.color << "\" points=\"";
    for (const auto& [milliseconds, percent] : curve.points) {
      svg << number(scale(milliseconds)) << "," << number(percentToY(percent)) << " ";
    }
    svg << "\"/><rect x=\"" << number(LogScale::kLeft) << "\" y=\"" << number(legendY - 9)
        << "\" width=\"14\" height=\"10\" fill=\"" << curve.color << "\"/>";
    textAt(svg, LogScale::kLeft + 20, legendY, "start", curve.label);
    legendY += kLegendRow;
  }
  svg << "</svg>";
  return svg.str();
}

std::string plotColor(std::size_t place) {
  static const std::array<std::string, 7> kPalette{"#7f7f7f", "#bc8b2c", "#4c78a8", "#b279a2",
                                                   "#2f8f5b", "#d1495b", "#5b6770"};
  return kPalette[std::min(place, kPalette.size() - 1)];
}

std::string escapeHtml(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

}  // namespace calicodrift::replay
