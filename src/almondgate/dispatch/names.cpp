#include "almondgate/dispatch/orders.hpp"
#include "almondgate/dispatch/run_inventory.hpp"
#include "almondgate/dispatch/task_state.hpp"
#include "almondgate/dispatch/vm_listing.hpp"

namespace almondgate::dispatch {

const char *phaseName(TaskPhase phase) {
  switch (phase) {
  case TaskPhase::Waiting:
    return "waiting";
  case TaskPhase::Ordered:
    return "ordered";
  case TaskPhase::Unanswered:
    return "unanswered";
  case TaskPhase::Running:
    return "running";
  case TaskPhase::Stopping:
    return "stopping";
  case TaskPhase::Ending:
    return "ending";
  case TaskPhase::Done:
    return "done";
  }
  return "?";
}

const char *orderResultName(OrderResult result) {
  switch (result) {
  case OrderResult::Accepted:
    return "accepted";
  case OrderResult::Fenced:
    return "fenced";
  case OrderResult::Outdated:
    return "outdated";
  case OrderResult::Late:
    return "late";
  case OrderResult::NoRoom:
    return "no-room";
  case OrderResult::BadTicket:
    return "bad-ticket";
  case OrderResult::Malformed:
    return "malformed";
  case OrderResult::Unavailable:
    return "unwell";
  case OrderResult::WrongIncarnation:
    return "wrong-life";
  case OrderResult::NotSent:
    return "not-sent";
  case OrderResult::NoAnswer:
    return "no-answer";
  }
  return "";
}

const char *runEndName(RunEnd how) {
  switch (how) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::LeaseExpired:
    return "lapsed";
  case RunEnd::GangBroken:
    return "broken";
  case RunEnd::GangIncomplete:
    return "alone";
  }
  return "";
}

const char *unconfirmedReason(VmOrderResult result) {
  return result == VmOrderResult::NoAnswer ? "no answer"
                                           : "fenced or throttled";
}

} // namespace almondgate::dispatch
