#ifndef ALMONDGATE_SRC_DISPATCH_TEST_CALL_FAULT_HPP
#define ALMONDGATE_SRC_DISPATCH_TEST_CALL_FAULT_HPP

#include <cstdint>

namespace almondgate::dispatch {

/// The calls to an endpoint that a TestFleet can disturb.
enum class CallKind { Start, Stop, Renew };

/// What happens to one call to an endpoint.
struct CallFault {
  /// Above 0, the call gets no answer and is carried out this much later by the
  /// incarnation that received it, if it is still there.
  int64_t LateMs = 0;
  /// Above 0, the call is this long on its way, gets no answer, and is carried
  /// out by whichever incarnation is there, unless the caller has given it up
  /// before.
  int64_t InTransitMs = 0;
  /// Above 0, the call gets no answer and is carried out this much later, also
  /// after the caller has given it up, by the incarnation that finds it in its
  /// socket: the one that is there, the next one, or the one that is reached
  /// again. It dies with that incarnation.
  int64_t HeldMs = 0;
  /// Above 0, the call gets no answer and is carried out this much later by
  /// whichever incarnation is there, or else by the next one at its start, even
  /// if the caller has given it up or the endpoint has been cut off since: a
  /// kernel keeps what it has received.
  int64_t KeptMs = 0;
  /// The call is carried out at once, but its answer is lost.
  bool LosesAnswer = false;
  /// How long the answer takes in addition; it counts as lost if that is too
  /// long.
  int64_t AnswerDelayMs = 0;
  /// After how long a call without an answer fails; 0 stands for the time-out,
  /// a short time for a connection that is reset.
  int64_t FailsAfterMs = 0;

  bool operator==(const CallFault &) const = default;
};

} // namespace almondgate::dispatch

#endif
