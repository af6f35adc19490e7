#ifndef ALMONDGATE_OBSERVE_LOG_HPP
#define ALMONDGATE_OBSERVE_LOG_HPP

#include <cstdint>
#include <functional>
#include <string>

namespace almondgate::observe {

/// Format of the log lines.
enum class LogFormat { Text, Json };

/// Maximum info and warning lines of a process per second; more are dropped and
/// counted, so that a flood of decisions can't starve the work of the
/// processor.
inline constexpr int64_t MaxLinesPerSecond = 4000;

/// Starts logging to standard output, on a thread of its own, so that no task
/// waits for a slow reader. Lines at level info are written within 50 ms,
/// others at once. `level` is debug, info, warn or error.
void startLogging(LogFormat format, const std::string &level);

/// Flushes the buffered lines; call before the process ends. Lines that nobody
/// reads are dropped.
void stopLogging();

/// Returns the number of lines dropped since the start.
int64_t droppedLines();

/// Writes one line for a part of the system, such as "place" or "route".
void logInfo(const char *part, const std::string &line);
void logWarn(const char *part, const std::string &line);
void logError(const char *part, const std::string &line);

/// Receives the log lines of a part's decisions; tests collect them.
using LogLine = std::function<void(const std::string &)>;

/// Returns a LogLine that writes a part's lines at level info.
LogLine infoLine(const char *part);

} // namespace almondgate::observe

#endif
