#ifndef ALMONDGATE_CONFIG_READ_SETTINGS_HPP
#define ALMONDGATE_CONFIG_READ_SETTINGS_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/core/result.hpp"

#include <string>
#include <vector>

namespace almondgate::config {

/// What the command line asks for.
template <class Settings> struct CommandLine {
  Settings Values;
  /// Only check the settings.
  bool CheckOnly = false;
  /// Help or the version was printed; the process ends with this code.
  bool Ended = false;
  int ExitCode = 0;
};

/// Reads flags; a flag that is not given is taken from the environment
/// variable ALMONDGATE_<FLAG>. Errors: InvalidArgument, with flag and value.
core::Result<CommandLine<EntrySettings>>
readEntrySettings(const std::vector<std::string> &args);
core::Result<CommandLine<PlacerSettings>>
readPlacerSettings(const std::vector<std::string> &args);
core::Result<CommandLine<ControlSettings>>
readControlSettings(const std::vector<std::string> &args);

} // namespace almondgate::config

#endif
