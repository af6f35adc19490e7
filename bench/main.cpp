// The decision bench: the real policies in virtual time, beside baselines.

#include "scenarios.hpp"

#include <cstdio>

using namespace almondgate::bench;

int main(int argc, char **argv) {
  const std::string folder = argc > 1 ? argv[1] : "docs";
  const std::vector<uint64_t> seeds = {1, 2, 3, 4, 5};
  std::vector<Figure> all;
  for (const auto scenario :
       {benchShares, benchUrgent, benchBadWorker, benchDetectors, benchOverload,
        benchRetries, benchWaves}) {
    const auto figures = scenario(seeds);
    all.insert(all.end(), figures.begin(), figures.end());
  }
  if (report(all, folder + "/bench.csv", folder + "/bench.svg"))
    return 0;
  std::fprintf(stderr, "can't write to %s\n", folder.c_str());
  return 1;
}
