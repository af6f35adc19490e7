#ifndef ALMONDGATE_SRC_DISPATCH_LOST_WORK_CHECK_HPP
#define ALMONDGATE_SRC_DISPATCH_LOST_WORK_CHECK_HPP

#include "test_fleet.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace almondgate::dispatch {

/// Finds accepted work that stands still although nothing disturbs the fleet
/// and there is room for it twice over: rule LOST. A job with nothing running
/// may wait for MaxIdleMs, and a long-running task until SettleMs after its
/// last run. Both count only while the fleet has been calm for CalmMs before.
///
/// The fleet is calm while no endpoint restarts or is unreachable, a leader
/// leads and may act, commits are quick, no order waits in a queue and no call
/// meets a fault. Moves of VMs that were ordered leave it calm.
class LostWorkCheck {
public:
  static constexpr int64_t MaxIdleMs = 3000;
  static constexpr int64_t CalmMs = 4000;
  static constexpr int64_t SettleMs = 6000;
  /// Slower commits count as a disruption.
  static constexpr int64_t QuickCommitMs = 5;

  /// Looks at the fleet as it is now. Call it every few milliseconds.
  void sample(const TestFleet &fleet, const std::vector<core::VmId> &vms);
  /// What stood still for too long, each job or task once.
  const std::vector<std::string> &violations() const { return Violations; }
  /// The time for which the check applied, because the fleet was calm.
  int64_t calmMs() const { return CheckedMs; }
  /// The longest time that a job or task has stood still so far, of the times
  /// that count.
  int64_t longestIdleMs() const { return LongestMs; }

private:
  /// A job, and one of its tasks if that is judged by itself.
  using Subject = std::pair<jobs::JobId, int64_t>;
  static constexpr int64_t WholeJob = -1;

  bool isDisturbed(const TestFleet &fleet, const std::vector<core::VmId> &vms);
  void sampleJob(const jobs::JobRecord &job, const TestFleet &fleet);
  void count(const Subject &subject, bool idle, int64_t now);
  void reportIdle(const Subject &subject, int64_t now, int64_t since);

  int64_t LastSample = 0;
  int64_t LastDisruption = 0;
  int64_t CheckedMs = 0;
  int64_t LongestMs = 0;
  std::map<jobs::EndpointId, int64_t> Incarnations;
  std::map<jobs::TaskRef, int64_t> LastRun;
  std::map<Subject, int64_t> IdleSince;
  std::set<Subject> Reported;
  std::vector<std::string> Violations;
};

} // namespace almondgate::dispatch

#endif
