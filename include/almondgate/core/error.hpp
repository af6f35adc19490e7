#ifndef ALMONDGATE_CORE_ERROR_HPP
#define ALMONDGATE_CORE_ERROR_HPP

#include <string>

namespace almondgate::core {

/// Why an operation failed. errorName() gives the stable name of each code.
enum class ErrorCode {
  InvalidArgument,
  Unauthenticated,
  Forbidden,
  NotFound,
  Conflict,
  TooLarge,
  Overloaded,
  NoCapacity,
  NeverFits,
  Stale,
  NotLeader,
  Unavailable,
  DeadlineExceeded,
  Cancelled,
  EndpointFailed,
  Corrupt,
  /// A disk, quota or file size limit is exhausted; may be temporary.
  NoSpace,
  Io,
};

/// What is known about whether the request behind an error has run.
enum class RunOutcome {
  /// No byte of the request was sent to an endpoint.
  NotRun,
  /// The request may have run.
  Unknown,
  /// The endpoint received the request and did not complete it.
  Failed,
};

/// An error that is returned as a value.
struct Error {
  ErrorCode Code = ErrorCode::Unavailable;
  std::string Text;
  RunOutcome Outcome = RunOutcome::NotRun;

  bool operator==(const Error &) const = default;
};

/// Returns the stable name of a code, such as "no-capacity".
const char *errorName(ErrorCode code);

/// Returns "not-run", "unknown" or "failed".
const char *outcomeName(RunOutcome outcome);

} // namespace almondgate::core

#endif
