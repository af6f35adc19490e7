#ifndef ALMONDGATE_BENCH_REPORT_HPP
#define ALMONDGATE_BENCH_REPORT_HPP

#include <string>
#include <vector>

namespace almondgate::bench {

/// A figure of one policy over several seeds.
struct Figure {
  std::string Scenario;
  std::string Policy;
  std::string Name;
  std::string Unit;
  /// The required bound as stated in the issue, or empty.
  std::string Target;
  /// One value per seed.
  std::vector<double> Values;
};

/// Mean, minimum and maximum of a figure's values.
struct Summary {
  double Mean = 0;
  double Min = 0;
  double Max = 0;
};

/// Summarizes values; all fields are 0 for no values.
Summary summarize(const std::vector<double> &values);

/// Returns the value below which the fraction `p` (0 to 1) of the values lie,
/// or 0 for no values.
double percentile(std::vector<double> values, double p);

/// Prints the figures as a table and writes them as CSV and as an SVG bar
/// chart. Returns false if a file can't be written.
bool report(const std::vector<Figure> &figures, const std::string &csv_path,
            const std::string &svg_path);

} // namespace almondgate::bench

#endif
