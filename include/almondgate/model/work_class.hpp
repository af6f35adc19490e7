#ifndef ALMONDGATE_MODEL_WORK_CLASS_HPP
#define ALMONDGATE_MODEL_WORK_CLASS_HPP

namespace almondgate::model {

/// How soon a request must start: urgent work goes first inside its team's
/// entitlement, batch work may wait.
enum class WorkClass { Urgent, Batch };

/// "urgent" or "batch".
inline const char *workClassName(WorkClass c) {
  return c == WorkClass::Urgent ? "urgent" : "batch";
}

} // namespace almondgate::model

#endif
