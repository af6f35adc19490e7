#ifndef ALMONDGATE_CTL_COMMAND_LINE_HPP
#define ALMONDGATE_CTL_COMMAND_LINE_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace almondgate::ctl {

/// Parsed command line of almondgate-ctl.
struct CommandLine {
  std::vector<core::Address> Entries;
  std::string Key;
  std::vector<std::string> Words;
  std::string File;
  std::string Reason;
  std::string Pool;
  std::string Rack;
  std::string Zone;
  std::string Kind;
  std::string Team;
  std::string From;
  std::string To;
  uint64_t Number = 0;
  uint64_t Expected = 0;
  bool Json = false;
  bool DryRun = false;
  bool Watch = false;
  /// Help or the version was printed; the program ends with ExitCode.
  bool Ended = false;
  int ExitCode = 0;

  bool operator==(const CommandLine &) const = default;
};

/// Parses the arguments. Errors: InvalidArgument, with flag and value.
core::Result<CommandLine> readCommandLine(const std::vector<std::string> &args);

} // namespace almondgate::ctl

#endif
