#pragma once

#include <string>
#include <utility>
#include <vector>

/// Plots as inline SVG for the report page.
namespace calicodrift::replay {

/// One bar of a bar plot.
struct Bar {
  std::string label;
  double value = 0;
  /// Written at the right edge.
  std::string text;
  std::string color;
};

/// Horizontal bars on one scale from 0 to `maximum`. @param reference draws a dashed line there
/// with this label, unless the label is empty.
std::string barPlot(const std::vector<Bar>& bars, double maximum,
                    const std::pair<std::string, double>& reference);

/// One curve of a line plot, x rising.
struct Curve {
  std::string label;
  std::string color;
  std::vector<std::pair<double, double>> points;
};

/// Curves over a logarithmic x axis in milliseconds; y from 0 to 100 percent.
std::string percentileCurves(const std::vector<Curve>& curves);

/// The color of the policy at this place of the list; places beyond the palette share its last.
std::string plotColor(std::size_t place);
std::string escapeHtml(const std::string& text);

}  // namespace calicodrift::replay
