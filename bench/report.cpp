#include "report.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <numeric>
#include <sstream>

namespace almondgate::bench {

namespace {

constexpr int BarWidth = 300;
constexpr int RowHeight = 18;
constexpr int LabelWidth = 520;

std::string formatNumber(double value) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%.3g", value);
  return buf;
}

bool writeCsv(const std::vector<Figure> &figures, const std::string &path) {
  std::ofstream out(path);
  out << "scenario,policy,figure,unit,aim,mean,least,most,seeds\n";
  for (const auto &figure : figures) {
    const auto summary = summarize(figure.Values);
    out << figure.Scenario << ',' << figure.Policy << ',' << figure.Name << ','
        << figure.Unit << ',' << figure.Target << ','
        << formatNumber(summary.Mean) << ',' << formatNumber(summary.Min) << ','
        << formatNumber(summary.Max) << ',' << figure.Values.size() << '\n';
  }
  return bool(out);
}

// The bars of one figure of a scenario share a scale.
bool writeSvg(const std::vector<Figure> &figures, const std::string &path) {
  std::map<std::string, double> max_means;
  for (const auto &figure : figures) {
    auto &max = max_means[figure.Scenario + figure.Name];
    max = std::max(max, summarize(figure.Values).Mean);
  }
  const auto height = int(figures.size() + 1) * RowHeight;
  std::ofstream out(path);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << LabelWidth + BarWidth + 100 << "\" height=\"" << height
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n";
  int y = RowHeight;
  for (const auto &figure : figures) {
    const double mean = summarize(figure.Values).Mean;
    const double max = max_means[figure.Scenario + figure.Name];
    const int width = max > 0 ? int(BarWidth * mean / max) : 0;
    out << "<text x=\"4\" y=\"" << y << "\">" << figure.Scenario << " / "
        << figure.Policy << " / " << figure.Name << "</text>"
        << "<rect x=\"" << LabelWidth << "\" y=\"" << y - 10 << "\" width=\""
        << width << "\" height=\"12\" fill=\"#4477aa\"/>"
        << "<text x=\"" << LabelWidth + width + 6 << "\" y=\"" << y << "\">"
        << formatNumber(mean) << ' ' << figure.Unit << "</text>\n";
    y += RowHeight;
  }
  out << "</svg>\n";
  return bool(out);
}

} // namespace

Summary summarize(const std::vector<double> &values) {
  if (values.empty())
    return {};
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  const auto [min, max] = std::minmax_element(values.begin(), values.end());
  return {sum / double(values.size()), *min, *max};
}

double percentile(std::vector<double> values, double p) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto index = size_t(p * double(values.size()));
  return values[std::min(index, values.size() - 1)];
}

bool report(const std::vector<Figure> &figures, const std::string &csv_path,
            const std::string &svg_path) {
  std::printf("%-12s %-22s %-34s %9s %9s %9s  %-8s %s\n", "scenario", "policy",
              "figure", "mean", "least", "most", "unit", "aim");
  for (const auto &figure : figures) {
    const auto summary = summarize(figure.Values);
    std::printf("%-12s %-22s %-34s %9s %9s %9s  %-8s %s\n",
                figure.Scenario.c_str(), figure.Policy.c_str(),
                figure.Name.c_str(), formatNumber(summary.Mean).c_str(),
                formatNumber(summary.Min).c_str(),
                formatNumber(summary.Max).c_str(), figure.Unit.c_str(),
                figure.Target.c_str());
  }
  return writeCsv(figures, csv_path) && writeSvg(figures, svg_path);
}

} // namespace almondgate::bench
