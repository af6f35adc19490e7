#ifndef ALMONDGATE_OBSERVE_LOG_HPP
#define ALMONDGATE_OBSERVE_LOG_HPP

#include <cstdint>
#include <functional>
#include <string>

namespace almondgate::observe {

/// How log lines are written.
enum class LogFormat { Text, Json };

/// Lines that a process may write in a second; more are dropped and counted,
/// so that a flood of decisions can't take the processor from the work itself.
inline constexpr int64_t MaxLinesPerSecond = 4000;

/// Starts logging to standard output, from a thread of the library's own, so
/// that no task waits for a slow reader. `level` is debug, info, warn or error.
void startLogging(LogFormat format, const std::string &level);

/// Writes out what still waits; call before the process ends.
void stopLogging();

/// Lines dropped since the start.
int64_t droppedLines();

/// Writes one line for a part of the system, such as "place" or "route".
void logInfo(const char *part, const std::string &line);
void logWarn(const char *part, const std::string &line);
void logError(const char *part, const std::string &line);

/// Where a part's decisions are told; tests collect the lines.
using LogLine = std::function<void(const std::string &)>;

/// A LogLine that writes at level info for a part.
LogLine infoLine(const char *part);

} // namespace almondgate::observe

#endif
