#include "almondgate/dispatch/orders.hpp"
#include "almondgate/dispatch/run_inventory.hpp"
#include "almondgate/dispatch/task_state.hpp"

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
  case OrderResult::Unwell:
    return "unwell";
  case OrderResult::WrongLife:
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
  case RunEnd::Lapsed:
    return "lapsed";
  case RunEnd::Broken:
    return "broken";
  case RunEnd::Alone:
    return "alone";
  }
  return "";
}

} // namespace almondgate::dispatch
