#ifndef ALMONDGATE_CTL_RUN_HPP
#define ALMONDGATE_CTL_RUN_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/ctl/command_line.hpp"
#include "almondgate/http/response.hpp"

#include <functional>
#include <string>

namespace almondgate::ctl {

/// How a command ended, for scripts.
enum ExitCode {
  Success = 0,
  Refused = 1,
  BadUsage = 2,
  Conflict = 3,
  Unreachable = 4,
};

/// What a command asks of the world around it.
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
  /// Waits before a watched wave is shown again.
  std::function<void()> Pause;
};

/// Carries a command out. See docs/OPERATIONS.md for the commands.
ExitCode run(const CommandLine &line, const RunHooks &hooks);

} // namespace almondgate::ctl

#endif
