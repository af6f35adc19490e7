#include "almondgate/config/read_settings.hpp"

#include <tclap/CmdLine.h>

#include <cctype>
#include <cstdlib>
#include <sstream>

namespace almondgate::config {

using core::Error;
using core::ErrorCode;
using core::Result;
using core::Status;

namespace {

constexpr const char *Version = "0.1.0";
constexpr size_t MinSecretBytes = 16;
constexpr size_t Sha256HexDigits = 64;
constexpr int64_t MaxPort = 65535;
// With a higher value, each change would wait for too many disks.
constexpr int64_t MaxToleratedLosses = 4;
constexpr int64_t MaxMemoryLimitMb = int64_t{1} << 20;

std::string environmentName(const std::string &flag) {
  std::string out = "ALMONDGATE_";
  for (const char c : flag)
    out += c == '-' ? '_' : char(std::toupper(static_cast<unsigned char>(c)));
  return out;
}

std::string environmentOr(const std::string &flag,
                          const std::string &fallback) {
  const char *value = std::getenv(environmentName(flag).c_str());
  return value ? value : fallback;
}

Error badValue(const std::string &flag, const std::string &value,
               const std::string &why) {
  return {ErrorCode::InvalidArgument, "--" + flag + " (" +
                                          environmentName(flag) + ") '" +
                                          value + "': " + why};
}

std::vector<std::string> split(const std::string &text, char separator) {
  std::vector<std::string> out;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, separator))
    if (!item.empty())
      out.push_back(item);
  return out;
}

/// The flags of one program.
class Flags {
public:
  explicit Flags(const std::string &description)
      : Line(description, '=', Version) {
    Line.setExceptionHandling(false);
    Line.add(Check);
  }

  void add(const std::string &name, const std::string &help,
           const std::string &fallback = "") {
    auto arg = std::make_unique<TCLAP::ValueArg<std::string>>(
        "", name, help + " (environment: " + environmentName(name) + ")", false,
        environmentOr(name, fallback), "value");
    Line.add(*arg);
    Values.emplace(name, std::move(arg));
  }

  Status parse(std::vector<std::string> args) {
    try {
      Line.parse(args);
    } catch (const TCLAP::ArgException &e) {
      return Error{ErrorCode::InvalidArgument, e.argId() + ": " + e.error()};
    } catch (const TCLAP::ExitException &e) {
      Ended = true;
      Code = e.getExitStatus();
    }
    return core::ok();
  }

  const std::string &text(const std::string &name) const {
    return Values.at(name)->getValue();
  }

  Status readAddress(const std::string &name, core::Address &out) const {
    const auto address = core::parseAddress(text(name));
    if (!address)
      return badValue(name, text(name), "must be IP:PORT");
    out = address.value();
    return core::ok();
  }

  Status readAddresses(const std::string &name,
                       std::vector<core::Address> &out) const {
    for (const auto &item : split(text(name), ',')) {
      const auto address = core::parseAddress(item);
      if (!address)
        return badValue(name, item, "must be IP:PORT[,IP:PORT...]");
      out.push_back(address.value());
    }
    if (out.empty())
      return badValue(name, text(name), "must have at least one address");
    return core::ok();
  }

  /// Reads an address that may be empty.
  Status readOptionalAddress(const std::string &name,
                             core::Address &out) const {
    return text(name).empty() ? core::ok() : readAddress(name, out);
  }

  Status readNumber(const std::string &name, int64_t least, int64_t most,
                    int64_t &out) const {
    const std::string &value = text(name);
    char *end = nullptr;
    out = std::strtoll(value.c_str(), &end, 10);
    if (value.empty() || *end || out < least || out > most)
      return badValue(name, value,
                      "must be " + std::to_string(least) + " to " +
                          std::to_string(most));
    return core::ok();
  }

  Status readBool(const std::string &name, bool &out) const {
    const std::string &value = text(name);
    if (value != "true" && value != "false")
      return badValue(name, value, "must be true or false");
    out = value == "true";
    return core::ok();
  }

  Status readDuration(const std::string &name, core::DurationMs &out) const {
    const std::string &value = text(name);
    char *end = nullptr;
    const long long n = std::strtoll(value.c_str(), &end, 10);
    constexpr long long OneHourMs = 3600000;
    if (value.empty() || *end || n < 0 || n > OneHourMs)
      return badValue(name, value, "must be 0 to 3600000 milliseconds");
    out = {n};
    return core::ok();
  }

  bool checkOnly() const { return Check.getValue(); }
  bool ended() const { return Ended; }
  int exitCode() const { return Code; }

private:
  TCLAP::CmdLine Line;
  TCLAP::SwitchArg Check{"", "check", "Check the settings and exit"};
  std::map<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>> Values;
  bool Ended = false;
  int Code = 0;
};

void addCommon(Flags &flags) {
  flags.add("secret", "The cluster's secret, at least 16 bytes");
  flags.add("inner", "Address that serves the inner protocol, IP:PORT");
  flags.add("status",
            "Address that serves /metrics, /healthz and /readyz, IP:PORT");
  flags.add("zone", "The availability zone of this VM");
  flags.add("control", "The control members, IP:PORT[,IP:PORT...]");
  flags.add("control-port",
            "Replaces the port of each --control address; 0 for none", "0");
  flags.add("log-format", "text or json", "text");
  flags.add("log-level", "debug, info, warn or error", "info");
  flags.add("stop-delay-ms",
            "How long a stopping process continues to serve, in milliseconds",
            "1000");
  flags.add("memory-limit-mb",
            "Memory limit of the process, in megabytes; 0: not known", "0");
}

Status readCommon(const Flags &flags, CommonSettings &out) {
  out.Secret = flags.text("secret");
  if (out.Secret.size() < MinSecretBytes)
    return badValue("secret", "...", "must have at least 16 bytes");
  if (auto done = flags.readAddress("inner", out.Inner); !done)
    return done;
  if (auto done = flags.readAddress("status", out.StatusAddress); !done)
    return done;
  if (auto done = flags.readAddresses("control", out.Control); !done)
    return done;
  int64_t port = 0;
  if (auto done = flags.readNumber("control-port", 0, MaxPort, port); !done)
    return done;
  for (auto &address : out.Control)
    if (port > 0)
      address.Port = uint16_t(port);
  out.Zone = core::ZoneId(flags.text("zone"));
  if (out.Zone.empty())
    return badValue("zone", "", "must name an availability zone");
  const std::string &format = flags.text("log-format");
  if (format != "text" && format != "json")
    return badValue("log-format", format, "must be text or json");
  out.Format =
      format == "json" ? observe::LogFormat::Json : observe::LogFormat::Text;
  out.LogLevel = flags.text("log-level");
  if (out.LogLevel != "debug" && out.LogLevel != "info" &&
      out.LogLevel != "warn" && out.LogLevel != "error")
    return badValue("log-level", out.LogLevel,
                    "must be debug, info, warn or error");
  int64_t limit_mb = 0;
  if (auto done =
          flags.readNumber("memory-limit-mb", 0, MaxMemoryLimitMb, limit_mb);
      !done)
    return done;
  out.Memory = core::planMemory(limit_mb);
  return flags.readDuration("stop-delay-ms", out.StopDelay);
}

Status readOperatorKeys(const Flags &flags, EntrySettings &out) {
  for (const auto &item : split(flags.text("operator-keys"), ',')) {
    const auto parts = split(item, '=');
    if (parts.size() != 2 || parts[1].size() != Sha256HexDigits)
      return badValue("operator-keys", item,
                      "must be NAME=SHA256[,NAME=SHA256...]");
    out.OperatorKeys.emplace(parts[1], core::OperatorId(parts[0]));
  }
  return core::ok();
}

Status readEntry(const Flags &flags, EntrySettings &out) {
  if (auto done = readCommon(flags, out.Common); !done)
    return done;
  if (auto done = flags.readAddress("public", out.Public); !done)
    return done;
  if (auto done = flags.readDuration("fresh-for-ms", out.FreshFor); !done)
    return done;
  return readOperatorKeys(flags, out);
}

Status readPlacer(const Flags &flags, PlacerSettings &out) {
  return readCommon(flags, out.Common);
}

Status readControl(const Flags &flags, ControlSettings &out) {
  if (auto done = readCommon(flags, out.Common); !done)
    return done;
  out.DataFolder = flags.text("data");
  if (out.DataFolder.empty())
    return badValue("data", "", "must name the data folder");
  if (auto done = flags.readBool("found", out.BootstrapCluster); !done)
    return done;
  if (auto done = flags.readNumber("tolerated-losses", -1, MaxToleratedLosses,
                                   out.ToleratedLosses);
      !done)
    return done;
  if (auto done =
          flags.readDuration("stop-order-timeout-ms", out.RunStopTimeout);
      !done)
    return done;
  out.Name = flags.text("name");
  for (const auto &[name, address] : {std::pair{"public", &out.Public},
                                      {"vm-service", &out.VmService},
                                      {"advice-service", &out.AdviceService}})
    if (auto done = flags.readOptionalAddress(name, *address); !done)
      return done;
  out.InitAs = flags.text("init-as");
  for (const auto &item : split(flags.text("first-members"), ',')) {
    const auto parts = split(item, '=');
    const auto address = parts.size() == 2 ? core::parseAddress(parts[1])
                                           : Result<core::Address>(Error{});
    if (!address)
      return badValue("first-members", item,
                      "must be NAME=IP:PORT[,NAME=IP:PORT...]");
    out.FirstMembers.emplace_back(parts[0], address.value());
  }
  if (out.InitAs.empty() != out.FirstMembers.empty())
    return badValue("init-as", out.InitAs,
                    "must be given together with --first-members");
  return core::ok();
}

template <class Settings, class Read>
Result<CommandLine<Settings>>
parseSettings(Flags &flags, const std::vector<std::string> &args, Read read) {
  CommandLine<Settings> out;
  if (auto parsed = flags.parse(args); !parsed)
    return parsed.error();
  out.Ended = flags.ended();
  out.ExitCode = flags.exitCode();
  out.CheckOnly = flags.checkOnly();
  if (out.Ended)
    return out;
  if (auto good = read(flags, out.Values); !good)
    return good.error();
  return out;
}

} // namespace

Result<CommandLine<EntrySettings>>
readEntrySettings(const std::vector<std::string> &args) {
  Flags flags("almondgate-entry: serves callers, endpoints and operators");
  addCommon(flags);
  flags.add("public", "Address that serves HTTP, IP:PORT");
  flags.add("operator-keys", "Operators and the SHA-256 of their keys");
  flags.add("fresh-for-ms",
            "Refuse new work if the last contact with the control members is "
            "more milliseconds ago than this",
            "3000");
  return parseSettings<EntrySettings>(flags, args, readEntry);
}

Result<CommandLine<PlacerSettings>>
readPlacerSettings(const std::vector<std::string> &args) {
  Flags flags("almondgate-placer: owns pools and grants their slots");
  addCommon(flags);
  return parseSettings<PlacerSettings>(flags, args, readPlacer);
}

Result<CommandLine<ControlSettings>>
readControlSettings(const std::vector<std::string> &args) {
  Flags flags("almondgate-control: keeps the replicated state");
  addCommon(flags);
  flags.add("data", "The data folder");
  flags.add("public", "Address that serves endpoints and operators, IP:PORT");
  flags.add("vm-service", "The service that lists and moves VMs, IP:PORT");
  flags.add("advice-service", "The placement policy service, IP:PORT");
  flags.add("name", "Name of this process in the orders that it sends",
            "control");
  flags.add("found",
            "Format an empty data folder as one of the first members, which "
            "are those of --control",
            "false");
  flags.add("tolerated-losses",
            "Number of disks that may be lost at once; the leader replaces "
            "failed members. -1: only operators replace members",
            "-1");
  flags.add("stop-order-timeout-ms",
            "The longest that an endpoint takes to end a run after a stop "
            "order, in milliseconds",
            "1000");
  flags.add("init-as", "Format the data folder for this first member and exit");
  flags.add("first-members", "All first members, NAME=IP:PORT[,...]");
  return parseSettings<ControlSettings>(flags, args, readControl);
}

} // namespace almondgate::config
