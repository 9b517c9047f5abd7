// Bar charts as SVG text.
#ifndef MARIGOLDQUAY_BENCH_LOAD_SVG_PLOT_H_
#define MARIGOLDQUAY_BENCH_LOAD_SVG_PLOT_H_

#include <string>
#include <vector>

namespace marigoldquay::bench {

struct Bar {
  std::string label;
  double value = 0;
  /// Ends of the line that shows the spread; equal to the value for a single run.
  double low = 0;
  double high = 0;
};

struct Panel {
  std::string title;
  std::vector<Bar> bars;
  /// Drawn as a dashed line; none when negative.
  double target = -1;
};

/// Two panels per row under one title.
std::string RenderSvg(const std::string& title, const std::vector<Panel>& panels);

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_SVG_PLOT_H_
