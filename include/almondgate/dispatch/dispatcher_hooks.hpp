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

#include <functional>
#include <vector>

namespace almondgate::dispatch {

/// What the dispatcher asks of the world around it.
struct DispatcherHooks {
  template <class T> using Done = std::function<void(T)>;
  using Endpoint = jobs::EndpointFacts;

  core::Clock Now;
  std::function<int64_t()> WallClock;
  /// False once another member may lead: nothing is ordered or told then.
  std::function<bool()> MayAct;
  /// Makes events durable in order; `done` gets false where that is not known.
  std::function<void(std::vector<jobs::Event>, Done<bool> done)> Record;
  /// Runs a function once, on a later turn and after the delay.
  std::function<void(core::DurationMs, std::function<void()>)> Defer;

  std::function<void(const Endpoint &, const StartOrder &, Done<OrderReply>)>
      Start;
  std::function<void(const Endpoint &, const StopOrder &, Done<OrderReply>)>
      Stop;
  std::function<void(const Endpoint &, const PaceOrder &, Done<OrderReply>)>
      Pace;
  std::function<void(const Endpoint &, const RenewRequest &, Done<RenewReply>)>
      Renew;
  std::function<void(const AdviceRequest &,
                     Done<core::Result<std::vector<Ticket>>>)>
      Advise;
  std::function<void(Done<core::Result<std::vector<VmListing>>>)> ListVms;
  /// `may_send` is asked again right before the order leaves; where it is false
  /// by then, the order does not, and gets NoAnswer.
  std::function<void(const VmOrder &, std::function<bool()> may_send,
                     Done<VmOrderResult>)>
      OrderVm;
  DispatchPolicies Policies;
  /// Adds one to a counter with one label; may be left out.
  std::function<void(const char *name, const char *label, const char *value)>
      IncrementCounter = [](const char *, const char *, const char *) {};
  /// Notes a time in milliseconds; may be left out.
  std::function<void(const char *name, int64_t ms)> RecordDuration =
      [](const char *, int64_t) {};
  observe::LogLine Log;
};

} // namespace almondgate::dispatch

#endif
