#ifndef ALMONDGATE_APPS_PROGRAM_HPP
#define ALMONDGATE_APPS_PROGRAM_HPP

#include "almondgate/config/read_settings.hpp"

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

/// Logs an error that keeps the program from starting, and gives its exit code.
inline int failStart(const core::Error &error) {
  observe::logError("start", error.Text);
  return 1;
}

} // namespace almondgate::apps

#endif
