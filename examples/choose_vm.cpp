// Chooses one of three VMs for a request: the one that is least loaded with it.

#include "almondgate/policy/vm_choice.hpp"

#include <cstdio>

using namespace almondgate;

int main() {
  const core::Size capacity{8, 64000, 262144, 0};
  const std::vector<policy::VmLoad> vms = {
      {core::VmId("busy"), capacity, {1, 8000, 32768, 0}},
      {core::VmId("calm"), capacity, {6, 48000, 196608, 0}},
      {core::VmId("full"), capacity, {0, 0, 0, 0}}};
  const auto chosen = policy::leastLoaded(vms, {1, 1000, 1024, 0});
  std::printf("%s\n", chosen ? chosen->str().c_str() : "none fits");
}
