#ifndef ALMONDGATE_APPS_MEMORY_REPORT_HPP
#define ALMONDGATE_APPS_MEMORY_REPORT_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/observe/memory_reading.hpp"
#include "almondgate/observe/process_report.hpp"
#include "almondgate/task/timer.hpp"

#include <array>
#include <functional>
#include <utility>

namespace almondgate::apps {

/// Warns when the peak memory of the process passes a part of its limit, and
/// names what holds bytes, and how long after the start: a process that is
/// killed at the limit writes nothing.
class MemoryReport {
public:
  using Budgets = std::function<std::vector<core::BudgetReading>()>;

  /// Reports the budgets of all `owners`; an empty function has none.
  MemoryReport(task::Loop &loop, size_t limit_bytes,
               std::vector<Budgets> owners)
      : Limit(limit_bytes), Owners(std::move(owners)), Timer(loop) {
    Timer.every(CheckInterval, [this] { check(); });
  }

  std::string metricsText() const {
    return observe::memoryMetrics(Limit, readBudgets());
  }

private:
  static constexpr core::DurationMs CheckInterval{1000};
  static constexpr size_t Percent = 100;
  static constexpr std::array<size_t, 4> WarnAtPercent = {50, 70, 80, 90};

  std::vector<core::BudgetReading> readBudgets() const {
    std::vector<core::BudgetReading> out;
    for (const auto &owner : Owners)
      if (owner)
        for (auto &reading : owner())
          out.push_back(std::move(reading));
    return out;
  }

  void check() {
    const size_t peak = observe::peakResidentBytes();
    const core::DurationMs uptime = core::monotonicNow() - Start;
    while (NextWarning < WarnAtPercent.size() &&
           peak >= Limit / Percent * WarnAtPercent.at(NextWarning)) {
      observe::logWarn(
          "memory", "peak memory passed " +
                        std::to_string(WarnAtPercent.at(NextWarning)) +
                        " % of the limit: " + std::to_string(peak) + " of " +
                        std::to_string(Limit) + " bytes, " +
                        std::to_string(uptime.Count) + " ms after the start; " +
                        observe::formatMemory(observe::readMemory()) + "; " +
                        observe::formatBudgets(readBudgets()));
      ++NextWarning;
    }
  }

  const size_t Limit;
  const core::TimeMs Start = core::monotonicNow();
  std::vector<Budgets> Owners;
  size_t NextWarning = 0;
  task::Timer Timer;
};

} // namespace almondgate::apps

#endif
