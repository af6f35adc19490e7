#ifndef ALMONDGATE_OBSERVE_PROCESS_REPORT_HPP
#define ALMONDGATE_OBSERVE_PROCESS_REPORT_HPP

#include "almondgate/core/budget_reading.hpp"
#include "almondgate/observe/log.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace almondgate::observe {

/// Peak resident memory of this process in bytes. Source: VmHWM of proc(5).
/// getrusage(2), which is used if that can't be read, also counts the process
/// that started this one: its figure is kept across exec.
size_t peakResidentBytes();

/// Logs the exception or the signal that is about to end the process
/// abnormally. Call once, before other threads are started.
void logFatalErrors(LogFormat format);

/// Formats budgets for a log line: "requests 3/40 MB, 2 refused; ...".
std::string formatBudgets(const std::vector<core::BudgetReading> &budgets);

/// Memory of the process and its budgets as metrics, in the Prometheus text
/// format.
std::string memoryMetrics(size_t limit_bytes,
                          const std::vector<core::BudgetReading> &budgets);

} // namespace almondgate::observe

#endif
