#ifndef ALMONDGATE_CONFIG_FLAGS_HPP
#define ALMONDGATE_CONFIG_FLAGS_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/result.hpp"

#include <tclap/CmdLine.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondgate::config {

/// Returns the environment variable of a flag.
std::string environmentName(const std::string &flag);

/// Returns the error for a value that the program can't do without.
core::Error invalidValue(const std::string &flag, const std::string &value,
                         const std::string &why);

/// The flags of one program. A flag or environment variable with an empty value
/// counts as not given. A value that can't be used is replaced by the nearest
/// value in range or by the default, with a warning.
class Flags {
public:
  explicit Flags(const std::string &description);

  void add(const std::string &name, const std::string &help,
           const std::string &fallback = "");

  /// Errors: InvalidArgument for an argument that is no flag of the program.
  core::Status parse(std::vector<std::string> args);

  std::string text(const std::string &name) const;

  /// Reads one of several words.
  std::string readWord(const std::string &name,
                       const std::vector<std::string> &words);

  /// Errors: InvalidArgument if there is no valid address.
  core::Status readRequiredAddress(const std::string &name,
                                   core::Address &out) const;

  /// Reads an address that may be absent.
  core::Address readAddress(const std::string &name);

  /// Reads a list of addresses without its invalid items.
  std::vector<core::Address> readAddresses(const std::string &name);

  /// Reads a number and clamps it to least..most.
  int64_t readNumber(const std::string &name, int64_t least, int64_t most);

  /// Reads a number with its fraction and clamps it to least..most.
  double readFraction(const std::string &name, double least, double most);

  /// Reads a port; 0 stands for none.
  uint16_t readPort(const std::string &name);

  bool readBool(const std::string &name);

  core::DurationMs readDuration(const std::string &name);

  void warn(const std::string &name, const std::string &value,
            const std::string &why);

  const std::vector<std::string> &warnings() const { return Warnings; }
  bool checkOnly() const { return Check.getValue(); }
  bool ended() const { return Ended; }
  int exitCode() const { return Code; }

private:
  int64_t numberOrDefault(const std::string &name);

  TCLAP::CmdLine Line;
  TCLAP::SwitchArg Check{"", "check", "Check the settings and exit"};
  std::map<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>> Values;
  std::map<std::string, std::string> Defaults;
  std::vector<std::string> Warnings;
  bool Ended = false;
  int Code = 0;
};

} // namespace almondgate::config

#endif
