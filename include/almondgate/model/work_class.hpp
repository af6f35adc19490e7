#ifndef ALMONDGATE_MODEL_WORK_CLASS_HPP
#define ALMONDGATE_MODEL_WORK_CLASS_HPP

namespace almondgate::model {

/// Scheduling class of a request. Within its team's entitlement, urgent work
/// starts first and batch work may wait.
enum class WorkClass { Urgent, Batch };

/// "urgent" or "batch".
inline const char *workClassName(WorkClass c) {
  return c == WorkClass::Urgent ? "urgent" : "batch";
}

} // namespace almondgate::model

#endif
