// Compares the decisions of the real policies with those of baselines, in
// virtual time.

#include "scenarios.hpp"

#include <cstdio>
#include <string>

using namespace almondgate::bench;

namespace {

struct Scenario {
  const char *Name;
  std::vector<Figure> (*Run)(const std::vector<uint64_t> &);
};

constexpr Scenario Scenarios[] = {
    {"shares", benchShares},        {"urgent", benchUrgent},
    {"bad-worker", benchBadWorker}, {"detectors", benchDetectors},
    {"overload", benchOverload},    {"retries", benchRetries},
    {"waves", benchWaves}};

} // namespace

// Usage: almondgate-bench [FOLDER [SCENARIO]]
int main(int argc, char **argv) {
  const std::string folder = argc > 1 ? argv[1] : "docs";
  const std::vector<uint64_t> seeds = {1, 2, 3, 4, 5};
  std::vector<Figure> all;
  for (const auto &scenario : Scenarios) {
    if (argc > 2 && std::string(argv[2]) != scenario.Name)
      continue;
    const auto figures = scenario.Run(seeds);
    all.insert(all.end(), figures.begin(), figures.end());
  }
  if (report(all, folder + "/bench.csv", folder + "/bench.svg"))
    return 0;
  std::fprintf(stderr, "can't write bench.csv or bench.svg to folder %s\n",
               folder.c_str());
  return 1;
}
