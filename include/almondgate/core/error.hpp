#ifndef ALMONDGATE_CORE_ERROR_HPP
#define ALMONDGATE_CORE_ERROR_HPP

#include <string>

namespace almondgate::core {

/// Why an operation has no value. Each code has a stable text, errorName().
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
  /// A disk, a quota or a limit of a file's size is full; may pass.
  NoSpace,
  Io,
};

/// What is known of the work behind an error.
enum class RunOutcome {
  /// No byte of the request has left for an endpoint.
  NotRun,
  /// The request may have run.
  Unknown,
  /// The endpoint has the request and did not complete it.
  Failed,
};

/// An error as a value.
struct Error {
  ErrorCode Code = ErrorCode::Unavailable;
  std::string Text;
  RunOutcome Outcome = RunOutcome::NotRun;

  bool operator==(const Error &) const = default;
};

/// The stable name of a code, such as "no-capacity".
const char *errorName(ErrorCode code);

/// "not-run", "unknown" or "failed".
const char *outcomeName(RunOutcome outcome);

} // namespace almondgate::core

#endif
