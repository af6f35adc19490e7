#ifndef ALMONDGATE_POLICY_JOB_DOOR_HPP
#define ALMONDGATE_POLICY_JOB_DOOR_HPP

#include <cstdint>
#include <string>

namespace almondgate::policy {

/// What the door looks at when a job comes.
struct DoorInput {
  /// Processor time that the pool can give, in thousandths of a core.
  int64_t CapacityMilliCpus = 0;
  /// The same on VMs that are on their way, and when they are there.
  int64_t IncomingMilliCpus = 0;
  int64_t IncomingInMs = 0;
  /// Work accepted before and not yet done, in milliCPU milliseconds.
  int64_t Backlog = 0;
  /// Work of the job itself, in milliCPU milliseconds.
  int64_t Work = 0;
  /// Time between the job's chain of work and its objective, in milliseconds.
  int64_t SlackMs = 0;
  bool LongRunning = false;

  bool operator==(const DoorInput &) const = default;
};

/// Whether a job is accepted, and if not, when to come back.
struct DoorVerdict {
  bool Accept = true;
  int64_t RetryAfterMs = 0;
  std::string Why;

  bool operator==(const DoorVerdict &) const = default;
};

/// Refuses a job that would wait past its objective behind what was accepted
/// before: it would earn little and make later jobs late as well. Answers the
/// load where a queue asks for several times what its pool holds.
DoorVerdict judgeAtDoor(const DoorInput &input);

/// How long work that comes now waits for what was accepted before, in ms.
int64_t expectedWaitMs(const DoorInput &input);

} // namespace almondgate::policy

#endif
