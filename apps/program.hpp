#ifndef ALMONDGATE_APPS_PROGRAM_HPP
#define ALMONDGATE_APPS_PROGRAM_HPP

#include "almondgate/config/read_settings.hpp"

#include <csignal>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

namespace almondgate::apps {

inline constexpr int BadSettings = 2;

/// Reads a program's settings and starts its log. Where the program has nothing
/// more to do, `exit_code` is set and nothing is returned.
template <class Settings, class Read>
std::optional<Settings> readOrExit(int argc, char **argv, Read read,
                                   int &exit_code) {
  const auto line = read(std::vector<std::string>(argv, argv + argc));
  if (!line) {
    std::fprintf(stderr, "config: %s\n", line.error().Text.c_str());
    exit_code = BadSettings;
    return std::nullopt;
  }
  exit_code = line.value().ExitCode;
  if (line.value().Ended)
    return std::nullopt;
  if (line.value().CheckOnly) {
    std::puts("settings are good");
    return std::nullopt;
  }
  const auto &common = line.value().Values.Common;
  observe::startLogging(common.Format, common.LogLevel);
  return line.value().Values;
}

/// Runs a program with its settings and gives its exit code. The log is written
/// out last: by then `run` has closed every socket, so that a caller meets a
/// closed one at once and none that is open and no longer served.
template <class Settings, class Read, class Run>
int programMain(int argc, char **argv, Read read, Run run) {
  std::signal(SIGPIPE, SIG_IGN);
  // A file at its limit is an error of the write, as a full disk is.
  std::signal(SIGXFSZ, SIG_IGN);
  int code = 0;
  const auto settings = readOrExit<Settings>(argc, argv, read, code);
  if (settings) {
    code = run(*settings);
    observe::stopLogging();
  }
  return code;
}

/// Logs an error that keeps the program from starting, and gives its exit code.
inline int failStart(const core::Error &error) {
  observe::logError("start", error.Text);
  return 1;
}

} // namespace almondgate::apps

#endif
