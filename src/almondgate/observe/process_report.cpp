#include "almondgate/observe/process_report.hpp"
#include "almondgate/observe/memory_reading.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <limits>
#include <malloc.h>
#include <poll.h>
#include <string_view>
#include <sys/resource.h>
#include <unistd.h>

namespace almondgate::observe {

namespace {

constexpr size_t BytesPerKb = size_t{1} << 10;
constexpr size_t BytesPerMb = size_t{1} << 20;

struct FatalSignal {
  int Number;
  std::string_view Text;
  std::string_view Json;
};

// Written by a signal handler, so the lines are complete in advance.
constexpr std::array<FatalSignal, 5> FatalSignals = {{
    {SIGSEGV, "FATAL process: ended by SIGSEGV\n",
     R"({"level":"FATAL","logger":"process","message":"ended by SIGSEGV"})"
     "\n"},
    {SIGBUS, "FATAL process: ended by SIGBUS\n",
     R"({"level":"FATAL","logger":"process","message":"ended by SIGBUS"})"
     "\n"},
    {SIGFPE, "FATAL process: ended by SIGFPE\n",
     R"({"level":"FATAL","logger":"process","message":"ended by SIGFPE"})"
     "\n"},
    {SIGILL, "FATAL process: ended by SIGILL\n",
     R"({"level":"FATAL","logger":"process","message":"ended by SIGILL"})"
     "\n"},
    {SIGABRT, "FATAL process: ended by SIGABRT\n",
     R"({"level":"FATAL","logger":"process","message":"ended by SIGABRT"})"
     "\n"},
}};

std::atomic<bool> WritesJson{false};

void onFatalSignal(int number) {
  for (const auto &row : FatalSignals) {
    if (row.Number != number)
      continue;
    const std::string_view line = WritesJson ? row.Json : row.Text;
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) <= 0)
      continue;
    [[maybe_unused]] const ssize_t n =
        ::write(STDOUT_FILENO, line.data(), line.size());
  }
  // The handler was reset to the default action when it was called.
  std::raise(number);
}

[[noreturn]] void onTerminate() {
  std::string why = "terminated without an exception";
  if (const auto error = std::current_exception()) {
    try {
      std::rethrow_exception(error);
    } catch (const std::exception &e) {
      why = std::string("unhandled exception: ") + e.what();
    } catch (...) {
      why = "unhandled exception of an unknown type";
    }
  }
  logError("process", why);
  stopLogging();
  std::abort();
}

std::string toMb(size_t bytes) { return std::to_string(bytes / BytesPerMb); }

// Returns a field of /proc/self/status that is given in kB, in bytes; 0 if it
// can't be read. Source: proc(5).
size_t statusBytes(std::string_view name) {
  std::ifstream status("/proc/self/status");
  std::string field;
  size_t kb = 0;
  while (status >> field) {
    if (field == name)
      return status >> kb ? kb * BytesPerKb : 0;
    status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  return 0;
}

} // namespace

size_t peakResidentBytes() {
  if (const size_t peak = statusBytes("VmHWM:"))
    return peak;
  rusage usage{};
  if (::getrusage(RUSAGE_SELF, &usage) != 0)
    return 0;
  return size_t(usage.ru_maxrss) * BytesPerKb;
}

void logFatalErrors(LogFormat format) {
  WritesJson = format == LogFormat::Json;
  std::set_terminate(onTerminate);
  struct sigaction action {};
  action.sa_handler = onFatalSignal;
  action.sa_flags = int(SA_RESETHAND) | int(SA_NODEFER);
  for (const auto &row : FatalSignals)
    ::sigaction(row.Number, &action, nullptr);
}

MemoryReading readMemory() {
  const auto heap = ::mallinfo2();
  return {statusBytes("VmRSS:"), heap.uordblks + heap.hblkhd, heap.fordblks};
}

std::string formatMemory(const MemoryReading &memory) {
  return "resident " + toMb(memory.Resident) + " MB, allocated " +
         toMb(memory.Allocated) + " MB, free in the allocator " +
         toMb(memory.Free) + " MB";
}

std::string formatBudgets(const std::vector<core::BudgetReading> &budgets) {
  std::string out;
  for (const auto &budget : budgets)
    out += (out.empty() ? "" : "; ") + budget.Name + " " + toMb(budget.Used) +
           "/" + toMb(budget.Limit) + " MB, " + std::to_string(budget.Refused) +
           " refused";
  return out;
}

std::string memoryMetrics(size_t limit_bytes,
                          const std::vector<core::BudgetReading> &budgets) {
  std::string out;
  const auto line = [&](const std::string &name, uint64_t n) {
    out += "almondgate_" + name + " " + std::to_string(n) + "\n";
  };
  line("memory_limit_bytes", limit_bytes);
  line("memory_peak_bytes", peakResidentBytes());
  const MemoryReading memory = readMemory();
  line("memory_resident_bytes", memory.Resident);
  line("memory_allocated_bytes", memory.Allocated);
  line("memory_allocator_free_bytes", memory.Free);
  for (const auto &budget : budgets) {
    const std::string label = "{budget=\"" + budget.Name + "\"}";
    line("budget_used_bytes" + label, budget.Used);
    line("budget_peak_bytes" + label, budget.Peak);
    line("budget_limit_bytes" + label, budget.Limit);
    line("budget_refused_total" + label, budget.Refused);
  }
  return out;
}

} // namespace almondgate::observe
