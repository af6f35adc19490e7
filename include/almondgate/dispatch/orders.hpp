#ifndef ALMONDGATE_DISPATCH_ORDERS_HPP
#define ALMONDGATE_DISPATCH_ORDERS_HPP

#include "almondgate/core/value.hpp"
#include "almondgate/jobs/task_ref.hpp"

#include <optional>
#include <string>

namespace almondgate::dispatch {

/// Order to an endpoint to run a task.
struct StartOrder {
  jobs::TaskRef Task;
  int64_t Run = 0;
  /// Shared by all orders of a job.
  core::Value<std::string> Content;
  /// End of the lease of everything that the endpoint runs, in milliseconds of
  /// the endpoint's own clock.
  int64_t DeadlineMs = 0;
  /// Fencing token; see FenceCounter.
  uint64_t Epoch = 0;
  std::string Checkpoint;
  std::string Ticket;

  bool operator==(const StartOrder &) const = default;
};

/// Order to an endpoint to stop a run.
struct StopOrder {
  jobs::TaskRef Task;
  int64_t Run = 0;
  /// Fencing token; see FenceCounter.
  uint64_t Epoch = 0;

  bool operator==(const StopOrder &) const = default;
};

/// Order to an endpoint to throttle a run to a percentage of its full speed.
struct PaceOrder {
  jobs::TaskRef Task;
  int64_t Run = 0;
  /// Fencing token; see FenceCounter.
  uint64_t Epoch = 0;
  int64_t Percent = 100;

  bool operator==(const PaceOrder &) const = default;
};

/// Outcome of an order to an endpoint. The inner protocol encodes it by number.
enum class OrderResult {
  Accepted,
  /// The endpoint has received an order of a later epoch.
  Fenced,
  /// This run of the task or a later one has ended or was stopped there.
  Outdated,
  /// The order's deadline has passed by the endpoint's clock.
  Late,
  NoRoom,
  BadTicket,
  Malformed,
  /// The endpoint can't process orders at the moment, and did nothing.
  Unavailable,
  /// Another incarnation of the endpoint answers at the address.
  WrongIncarnation,
  /// The order was not sent.
  NotSent,
  /// The order may have been carried out, or may still be.
  NoAnswer,
};

/// An endpoint's answer to an order.
struct OrderReply {
  OrderResult Result = OrderResult::NoAnswer;
  /// The endpoint's clock in milliseconds, if the answer contains it.
  std::optional<int64_t> ClockMs;

  bool operator==(const OrderReply &) const = default;
};

/// The published name of a result, such as "no-answer".
const char *orderResultName(OrderResult result);

} // namespace almondgate::dispatch

#endif
