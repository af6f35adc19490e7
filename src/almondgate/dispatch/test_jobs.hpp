#ifndef ALMONDGATE_SRC_DISPATCH_TEST_JOBS_HPP
#define ALMONDGATE_SRC_DISPATCH_TEST_JOBS_HPP

#include "test_fleet.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace almondgate::dispatch {

/// The id of the n-th job of a test.
inline std::string jobId(int64_t n) {
  std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

/// A job of one step.
inline jobs::JobSpec oneStep(int64_t count, int64_t cores, int64_t ms) {
  jobs::JobSpec spec;
  spec.Steps = {testStep(count, cores, ms)};
  return spec;
}

/// A job of long-running tasks with an availability budget.
inline jobs::JobSpec longRunning(int64_t count, int64_t may_miss) {
  jobs::JobSpec spec = oneStep(count, 2, 0);
  spec.Steps[0].LongRunning = true;
  spec.Steps[0].HasMayMiss = true;
  spec.Steps[0].MayMiss = may_miss;
  return spec;
}

/// A fleet with a leader and `vms` VMs in one pool, four to a rack; the racks
/// are in the zones "z0" and "z1" in turn.
struct Fleet : TestFleet {
  std::vector<core::VmId> VmIds;

  explicit Fleet(int vms, DispatchPolicies policies = {})
      : TestFleet(std::move(policies)) {
    for (int i = 0; i < vms; ++i)
      VmIds.push_back(addVm("p", "r" + std::to_string(i / 4),
                            "z" + std::to_string(i / 4 % 2)));
    lead();
    advance(200);
  }

  /// Submits a job without waiting for the answer.
  void submitAsync(const std::string &id, const jobs::JobSpec &spec,
                   const std::string &queue = "q") {
    auto call = testCall(jobs::JobVerb::Submit, id, queue);
    call.Spec = spec;
    dispatcher().handleCall(call, [](const auto &) {});
  }

  /// Sends a heartbeat of the VM's endpoint, newer than all others of its
  /// incarnation.
  void sendHeartbeat(const core::VmId &vm) {
    constexpr int64_t LateSequence = 1 << 30;
    dispatcher().handleHeartbeat(endpointOf(vm).Facts, LateSequence,
                                 [](const core::Status &) {});
  }

  /// Leaves the fleet without a leader for a while.
  void changeLeader(int64_t without_ms = 300) {
    stopLeading();
    advance(without_ms);
    lead();
  }

  /// Reports each violation as a failed check.
  void checkViolations() const {
    for (const auto &violation : Violations)
      FAIL_CHECK(violation);
  }
};

} // namespace almondgate::dispatch

#endif
