// Prints the order in which three teams get the next slot of a full pool.

#include "almondgate/policy/fair_share.hpp"

#include <cstdio>

using namespace almondgate;

int main() {
  const std::vector<policy::TeamLoad> waiting = {
      {core::TeamId("ledgers"), 1, 0.5, 40, 80, false, 10},
      {core::TeamId("checks"), 3, 0.4, 32, 80, true, 30},
      {core::TeamId("at-limit"), 3, 0.1, 8, 8, true, 20}};
  for (const auto &team : policy::teamOrder(waiting))
    std::printf("%s\n", team.str().c_str());
}
