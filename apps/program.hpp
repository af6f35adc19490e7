#ifndef ALMONDGATE_APPS_PROGRAM_HPP
#define ALMONDGATE_APPS_PROGRAM_HPP

#include "almondgate/config/read_settings.hpp"
#include "almondgate/observe/process_report.hpp"

#include "process_limits.hpp"

#include <cstdio>
#include <optional>
#include <string>
#include <vector>

namespace almondgate::apps {

/// Exit code of a program whose settings are invalid.
inline constexpr int ExitInvalidSettings = 2;

/// Writes the line to the log as well, because standard error may not be kept.
inline void reportInvalidSettings(const core::Error &error) {
  std::fprintf(stderr, "config: %s\n", error.Text.c_str());
  observe::startLogging(observe::LogFormat::Text, "info");
  observe::logError("config", error.Text);
  observe::stopLogging();
}

/// Reads a program's settings and starts its log. If the program has nothing
/// more to do, sets `exit_code` and returns std::nullopt: after invalid
/// settings, --check, or the help or version text.
template <class Settings, class Read>
std::optional<Settings> readOrExit(int argc, char **argv, Read read,
                                   int &exit_code) {
  const auto line = read(std::vector<std::string>(argv, argv + argc));
  if (!line) {
    reportInvalidSettings(line.error());
    exit_code = ExitInvalidSettings;
    return std::nullopt;
  }
  exit_code = line.value().ExitCode;
  if (line.value().Ended)
    return std::nullopt;
  if (line.value().CheckOnly) {
    for (const auto &warning : line.value().Warnings)
      std::fprintf(stderr, "config: %s\n", warning.c_str());
    std::puts("settings are valid");
    return std::nullopt;
  }
  const auto &common = line.value().Values.Common;
  observe::startLogging(common.Format, common.LogLevel);
  observe::logFatalErrors(common.Format);
  observe::logInfo("start", "settings are valid; memory limit " +
                                std::to_string(common.Memory.Limit) + " bytes");
  for (const auto &warning : line.value().Warnings)
    observe::logWarn("config", warning);
  return line.value().Values;
}

/// Runs a program with its settings and returns its exit code. The log is
/// flushed last, after `run` has closed every socket: a caller then finds a
/// closed socket at once, not an open one that is no longer served.
template <class Settings, class Read, class Run>
int programMain(int argc, char **argv, Read read, Run run) {
  openStandardDescriptors();
  raiseDescriptorLimit();
  limitThreadStacks();
  limitAllocator();
  int code = 0;
  const auto settings = readOrExit<Settings>(argc, argv, read, code);
  if (settings) {
    code = run(*settings);
    observe::logInfo("stop", "the process ends with exit code " +
                                 std::to_string(code) + "; peak memory " +
                                 std::to_string(observe::peakResidentBytes()) +
                                 " bytes");
    observe::stopLogging();
  }
  return code;
}

/// Why a process whose public address is still taken is not ready.
inline std::string notListening(const core::Address &address) {
  return "waiting to listen on " + core::toString(address);
}

/// Logs an error that prevents the program from starting and returns its exit
/// code.
inline int reportStartError(const core::Error &error) {
  observe::logError("start", error.Text);
  return 1;
}

} // namespace almondgate::apps

#endif
