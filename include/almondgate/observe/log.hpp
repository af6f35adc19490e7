#ifndef ALMONDGATE_OBSERVE_LOG_HPP
#define ALMONDGATE_OBSERVE_LOG_HPP

#include <functional>
#include <string>

namespace almondgate::observe {

/// How log lines are written.
enum class LogFormat { Text, Json };

/// Starts logging to standard error. `level` is debug, info, warn or error.
void startLogging(LogFormat format, const std::string &level);

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
