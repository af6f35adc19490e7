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
  /// The bound that the issue states, or empty.
  std::string Aim;
  std::vector<double> Values;
};

/// Mean, least and most of a figure's values.
struct Spread {
  double Mean = 0;
  double Least = 0;
  double Most = 0;
};

Spread spreadOf(const std::vector<double> &values);

/// The value below which the part `p` of the sorted values lie.
double percentile(std::vector<double> values, double p);

/// Prints the figures as a table and writes them as CSV and as an SVG of bars.
/// False where a file can't be written.
bool report(const std::vector<Figure> &figures, const std::string &csv_path,
            const std::string &svg_path);

} // namespace almondgate::bench

#endif
