#ifndef ALMONDGATE_DISPATCH_DISPATCHER_HOOKS_HPP
#define ALMONDGATE_DISPATCH_DISPATCHER_HOOKS_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/dispatch/advice.hpp"
#include "almondgate/dispatch/dispatch_policies.hpp"
#include "almondgate/dispatch/renew_reply.hpp"
#include "almondgate/dispatch/vm_listing.hpp"
#include "almondgate/jobs/endpoint_facts.hpp"
#include "almondgate/jobs/event.hpp"
#include "almondgate/observe/log.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace almondgate::dispatch {

/// The functions through which a Dispatcher acts on its environment.
struct DispatcherHooks {
  template <class T> using Done = std::function<void(T)>;
  using Endpoint = jobs::EndpointFacts;
  /// To be called right before the first byte of an order is sent, which may be
  /// long after the order was given. If it returns false, the order must not be
  /// sent.
  using MaySend = std::function<bool()>;

  core::Clock Now;
  std::function<int64_t()> WallClock;
  /// False once another member may lead; no orders or replies are sent then.
  std::function<bool()> MayAct;
  /// Makes events durable in order; `done` receives false where that is not
  /// known.
  std::function<void(std::vector<jobs::Event>, Done<bool> done)> Record;
  /// Runs a function once, after the delay, in a later iteration of the event
  /// loop.
  std::function<void(core::DurationMs, std::function<void()>)> Defer;

  /// Orders to an endpoint; one that was not sent has the result NotSent.
  std::function<void(const Endpoint &, const StartOrder &, MaySend,
                     Done<OrderReply>)>
      Start;
  std::function<void(const Endpoint &, const StopOrder &, MaySend,
                     Done<OrderReply>)>
      Stop;
  std::function<void(const Endpoint &, const PaceOrder &, Done<OrderReply>)>
      Pace;
  std::function<void(const Endpoint &, const RenewRequest &, MaySend,
                     Done<RenewReply>)>
      Renew;
  std::function<void(const AdviceRequest &,
                     Done<core::Result<std::vector<Ticket>>>)>
      Advise;
  std::function<void(Done<core::Result<std::vector<VmListing>>>)> ListVms;
  /// Orders maintenance or a move of a VM; one that was not sent has the result
  /// NoAnswer.
  std::function<void(const VmOrder &, MaySend, Done<VmOrderResult>)> OrderVm;
  /// Whether a number of further start orders may be given together, or a
  /// further stop order. Orders that were given and wait to be sent or answered
  /// take up memory; optional.
  std::function<bool(size_t)> HasRoomForStarts = [](size_t) { return true; };
  std::function<bool()> HasRoomForStop = [] { return true; };
  /// How many renewals may be open at the same time that wait for a run to end,
  /// each of which holds a connection; optional.
  std::function<size_t()> RoomForWaitingRenewals = [] { return SIZE_MAX; };
  DispatchPolicies Policies;
  /// Increments a counter that has one label; optional.
  std::function<void(const char *name, const char *label, const char *value)>
      IncrementCounter = [](const char *, const char *, const char *) {};
  /// Records a duration in milliseconds; optional.
  std::function<void(const char *name, int64_t ms)> RecordDuration =
      [](const char *, int64_t) {};
  observe::LogLine Log;
};

} // namespace almondgate::dispatch

#endif
