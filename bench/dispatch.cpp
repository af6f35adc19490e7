// Measures the dispatcher's processor time in virtual time at growing fleet
// sizes under the same load: an order including its completion, a heartbeat
// without changes, and an idle second. Processor time is that of the process,
// so that other load on the machine counts only through shared caches.

#include "lean_fleet.hpp"

#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace almondgate;

namespace {

// VMs of each pool that short tasks run on: with 16 tasks on each of them,
// about 340 orders a second.
constexpr int64_t OpenVmsPerPool = 5;
// Jobs of short tasks that are kept open: about 1,000 tasks wait.
constexpr int64_t OpenJobs = 135;
constexpr int64_t WarmUpMs = 3000;
constexpr int64_t IdleMs = 3000;
constexpr int64_t LoadMs = 30000;
constexpr int HeartbeatRounds = 20;
constexpr double MsPerSecond = 1000;

double processorMicroseconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return double(now.tv_sec) * 1e6 + double(now.tv_nsec) / 1e3;
}

void measure(int64_t vms) {
  bench::LeanFleet fleet(vms, OpenVmsPerPool);
  fleet.advance(IdleMs);
  double began = processorMicroseconds();
  fleet.advance(IdleMs);
  const double idle =
      (processorMicroseconds() - began) * MsPerSecond / double(IdleMs);
  began = processorMicroseconds();
  for (int i = 0; i < HeartbeatRounds; ++i)
    fleet.sendHeartbeats();
  const double heartbeat =
      (processorMicroseconds() - began) / double(HeartbeatRounds * vms);
  fleet.setOpenJobs(OpenJobs);
  fleet.advance(WarmUpMs);
  const int64_t ended = fleet.ended();
  int64_t waiting = 0;
  constexpr int64_t SampleMs = 100;
  double load = 0;
  for (int64_t ms = 0; ms < LoadMs; ms += SampleMs) {
    began = processorMicroseconds();
    fleet.advance(SampleMs);
    load += processorMicroseconds() - began;
    waiting += fleet.waiting();
  }
  const double seconds = double(LoadMs) / MsPerSecond;
  const double orders = double(fleet.ended() - ended);
  const double all = load / orders;
  const double own = (load - idle * seconds) / orders;
  std::printf("%6lld %10.1f %10.1f %10.2f %10.2f %8.0f %8.0f %6lld\n",
              static_cast<long long>(vms), all, own, heartbeat,
              idle / MsPerSecond, orders / seconds,
              double(waiting) * double(SampleMs) / double(LoadMs),
              static_cast<long long>(fleet.openJobs()));
  std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv) {
  std::printf("   VMs  us/order  less idle us/heartb.  idle ms/s orders/s "
              " waiting   jobs\n");
  if (argc > 1)
    measure(std::atoll(argv[1]));
  else
    for (const int64_t vms : {50, 350, 1000, 3000})
      measure(vms);
  return 0;
}
