#ifndef ALMONDGATE_CONFIG_READ_SETTINGS_HPP
#define ALMONDGATE_CONFIG_READ_SETTINGS_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/core/result.hpp"

#include <string>
#include <vector>

namespace almondgate::config {

/// The result of reading the command line.
template <class Settings> struct CommandLine {
  Settings Values;
  /// True if --check was given: only check the settings.
  bool CheckOnly = false;
  /// True if the help or version text was printed; the process then ends with
  /// ExitCode.
  bool Ended = false;
  int ExitCode = 0;
  /// Values that were replaced or left out, and what the program does without.
  std::vector<std::string> Warnings;
};

/// Reads settings from flags; a flag that is not given or empty is read from
/// the environment variable ALMONDGATE_<FLAG>. A value that can't be used is
/// replaced with a warning. Errors: InvalidArgument, with flag and value, if a
/// setting is missing that the program can't do without: --secret, --inner, an
/// entry's --public, a control member's --data.
core::Result<CommandLine<EntrySettings>>
readEntrySettings(const std::vector<std::string> &args);
core::Result<CommandLine<PlacerSettings>>
readPlacerSettings(const std::vector<std::string> &args);
core::Result<CommandLine<ControlSettings>>
readControlSettings(const std::vector<std::string> &args);

} // namespace almondgate::config

#endif
