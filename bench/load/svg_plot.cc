#include "svg_plot.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"

namespace marigoldquay::bench {
namespace {

constexpr int kColumns = 2;
constexpr double kPanelWidth = 420;
constexpr double kBarHeight = 22;
constexpr double kPanelHead = 34;
constexpr double kTitleHeight = 36;
constexpr double kLabelWidth = 180;
constexpr double kBarWidth = 160;

std::string Escape(const std::string& text) {
  return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}});
}

std::string Text(double x, double y, const std::string& text, const char* attributes = "") {
  return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" %s>%s</text>\n", x, y, attributes,
                         Escape(text));
}

std::string Line(double x1, double y1, double x2, double y2, const char* attributes) {
  return absl::StrFormat("<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" %s/>\n", x1, y1, x2,
                         y2, attributes);
}

double Height(const Panel& panel) {
  return kPanelHead + kBarHeight * static_cast<double>(panel.bars.size()) + 14;
}

std::string Render(const Panel& panel, double left, double top) {
  std::string svg = Text(left, top + 16, panel.title, "font-weight=\"bold\"");
  double largest = std::max(panel.target, 1e-9);
  for (const Bar& bar : panel.bars) largest = std::max(largest, bar.high);
  const double origin = left + kLabelWidth;
  const auto x = [&](double value) { return origin + std::max(0.0, value) / largest * kBarWidth; };
  double y = top + kPanelHead;
  for (const Bar& bar : panel.bars) {
    svg += Text(left, y + 12, bar.label);
    absl::StrAppendFormat(
        &svg, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"14\" fill=\"#4878a8\"/>\n",
        origin, y, x(bar.value) - origin);
    svg += Line(x(bar.low), y + 7, x(bar.high), y + 7, "stroke=\"#202020\"");
    svg += Text(x(bar.high) + 5, y + 12, absl::StrFormat("%.4g", bar.value));
    y += kBarHeight;
  }
  if (panel.target >= 0) {
    svg += Line(x(panel.target), top + kPanelHead - 4, x(panel.target), y,
                "stroke=\"#c04020\" stroke-dasharray=\"4 3\"");
  }
  return svg;
}

}  // namespace

std::string RenderSvg(const std::string& title, const std::vector<Panel>& panels) {
  std::string body = Text(10, 22, title, "font-size=\"15\" font-weight=\"bold\"");
  double top = kTitleHeight;
  for (std::size_t i = 0; i < panels.size(); i += kColumns) {
    double row_height = 0;
    for (std::size_t j = i; j < std::min(panels.size(), i + kColumns); ++j) {
      body += Render(panels[j], 10 + kPanelWidth * static_cast<double>(j - i), top);
      row_height = std::max(row_height, Height(panels[j]));
    }
    top += row_height;
  }
  return absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n%s</svg>\n",
      10 + kPanelWidth * kColumns, top + 10, body);
}

}  // namespace marigoldquay::bench
