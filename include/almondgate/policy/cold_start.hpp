#ifndef ALMONDGATE_POLICY_COLD_START_HPP
#define ALMONDGATE_POLICY_COLD_START_HPP

#include <cstdint>

namespace almondgate::policy {

/// What is known of an endpoint that reported that it is slow for a while after
/// its start.
struct ColdStartInput {
  /// The reported time in milliseconds, and the time since the report.
  int64_t ReportedMs = 0;
  int64_t ElapsedMs = 0;
  /// Runs that ended there since the report, within the learned run time and
  /// not.
  int64_t OnTimeRuns = 0;
  int64_t LateRuns = 0;

  bool operator==(const ColdStartInput &) const = default;
};

/// The part of an endpoint's processor time that may be used.
struct ColdStartDecision {
  bool Cold = false;
  int64_t CapacityPercent = 100;

  bool operator==(const ColdStartDecision &) const = default;
};

/// A cold endpoint begins with a quarter of its capacity, which grows linearly
/// to all of it until the reported time is over; runs on time add to it.
ColdStartDecision decideColdStart(const ColdStartInput &input);

/// Tells whether a run was about as fast as expected. Times are in
/// milliseconds.
bool isOnTime(int64_t ran_ms, int64_t expected_ms);

} // namespace almondgate::policy

#endif
