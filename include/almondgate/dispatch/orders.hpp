#ifndef ALMONDGATE_DISPATCH_ORDERS_HPP
#define ALMONDGATE_DISPATCH_ORDERS_HPP

#include "almondgate/jobs/task_ref.hpp"

#include <optional>
#include <string>

namespace almondgate::dispatch {

/// Asks an endpoint to run a task.
struct StartOrder {
  jobs::TaskRef Task;
  int64_t Run = 0;
  std::string Content;
  /// The lease of all that the endpoint runs, by the endpoint's own clock.
  int64_t DeadlineMs = 0;
  uint64_t Epoch = 0;
  std::string Checkpoint;
  std::string Ticket;

  bool operator==(const StartOrder &) const = default;
};

/// Asks an endpoint to end a run.
struct StopOrder {
  jobs::TaskRef Task;
  int64_t Run = 0;
  uint64_t Epoch = 0;

  bool operator==(const StopOrder &) const = default;
};

/// Asks an endpoint to let a run work at a share of its speed.
struct PaceOrder {
  jobs::TaskRef Task;
  int64_t Run = 0;
  uint64_t Epoch = 0;
  int64_t Percent = 100;

  bool operator==(const PaceOrder &) const = default;
};

/// How an endpoint took an order.
enum class OrderResult {
  Accepted,
  /// It has orders of a later epoch.
  Fenced,
  /// A run at least as high has ended or was stopped there.
  Outdated,
  /// The order's deadline has passed by its clock.
  Late,
  NoRoom,
  BadTicket,
  Malformed,
  /// It is unwell and did nothing.
  Unavailable,
  /// Another life answers at the address.
  WrongIncarnation,
  /// Nothing was sent.
  NotSent,
  /// It may have been carried out, or may still be.
  NoAnswer,
};

/// An endpoint's answer to an order.
struct OrderReply {
  OrderResult Result = OrderResult::NoAnswer;
  /// The endpoint's clock, where it told it.
  std::optional<int64_t> ClockMs;

  bool operator==(const OrderReply &) const = default;
};

/// The name of a result, such as "no-answer".
const char *orderResultName(OrderResult result);

} // namespace almondgate::dispatch

#endif
