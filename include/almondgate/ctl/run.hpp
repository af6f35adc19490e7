#ifndef ALMONDGATE_CTL_RUN_HPP
#define ALMONDGATE_CTL_RUN_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/ctl/command_line.hpp"
#include "almondgate/http/response.hpp"

#include <functional>
#include <string>

namespace almondgate::ctl {

/// Exit code of a command, for use in scripts.
enum ExitCode {
  Success = 0,
  Refused = 1,
  BadUsage = 2,
  Conflict = 3,
  Unreachable = 4,
};

/// Operations that a command needs from its host.
struct RunHooks {
  std::function<core::Result<http::Response>(const std::string &method,
                                             const std::string &path,
                                             const std::string &body)>
      Call;
  std::function<core::Result<std::string>(const std::string &path)> ReadFile;
  std::function<std::string()> NewKey;
  std::function<uint64_t()> NewChangeNumber;
  std::function<void(const std::string &)> Print;
  std::function<void(const std::string &)> PrintError;
  /// Waits before the next status of a watched wave is printed.
  std::function<void()> Pause;
};

/// Executes a command. See docs/OPERATIONS.md for the commands.
ExitCode run(const CommandLine &line, const RunHooks &hooks);

} // namespace almondgate::ctl

#endif
