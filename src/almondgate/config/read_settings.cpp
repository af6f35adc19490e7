#include "almondgate/config/read_settings.hpp"

#include "flags.hpp"
#include "parse_value.hpp"

#include <algorithm>

namespace almondgate::config {

using core::Error;
using core::Result;
using core::Status;

namespace {

constexpr size_t MinSecretBytes = 16;
constexpr size_t Sha256HexDigits = 64;
// With a higher value, each change would wait for too many disks.
constexpr int64_t MaxToleratedLosses = 4;
// A process without work needs about a third of this.
constexpr int64_t MinMemoryLimitMb = 32;
constexpr int64_t MaxMemoryLimitMb = int64_t{1} << 20;
constexpr double MaxRemoteFactor = 100;

// Keeps the first of equal addresses: as a founder it would vote twice.
std::vector<core::Address> withoutDuplicates(std::vector<core::Address> all) {
  std::vector<core::Address> out;
  for (auto &address : all)
    if (std::find(out.begin(), out.end(), address) == out.end())
      out.push_back(std::move(address));
  return out;
}

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

std::vector<core::Address> readControlAddresses(Flags &flags) {
  auto out = flags.readAddresses("control");
  const uint16_t port = flags.readPort("control-port");
  for (auto &address : out)
    if (port > 0)
      address.Port = port;
  return withoutDuplicates(std::move(out));
}

core::MemoryPlan readMemoryPlan(Flags &flags) {
  const int64_t limit_mb =
      flags.readNumber("memory-limit-mb", 0, MaxMemoryLimitMb);
  if (limit_mb == 0 || limit_mb >= MinMemoryLimitMb)
    return core::planMemory(limit_mb);
  flags.warn("memory-limit-mb", std::to_string(limit_mb),
             "is less than the program needs; using " +
                 std::to_string(MinMemoryLimitMb));
  return core::planMemory(MinMemoryLimitMb);
}

void warnOfAbsent(Flags &flags, const CommonSettings &settings) {
  if (settings.StatusAddress == core::Address{})
    flags.warn("status", "", "not given; no metrics and health checks");
  if (settings.Zone.empty())
    flags.warn("zone", "", "not given; no endpoint counts as near");
  if (settings.Control.empty())
    flags.warn("control", "",
               "not given; only control members that are known from the disk "
               "or that call this process are reached");
}

Status readCommon(Flags &flags, CommonSettings &out) {
  out.Secret = flags.text("secret");
  if (out.Secret.size() < MinSecretBytes)
    return invalidValue("secret", "...", "must have at least 16 bytes");
  if (auto done = flags.readRequiredAddress("inner", out.Inner); !done)
    return done;
  out.StatusAddress = flags.readAddress("status");
  out.Control = readControlAddresses(flags);
  out.Zone = core::ZoneId(flags.text("zone"));
  out.Format = flags.readWord("log-format", {"text", "json"}) == "json"
                   ? observe::LogFormat::Json
                   : observe::LogFormat::Text;
  out.LogLevel =
      flags.readWord("log-level", {"debug", "info", "warn", "error"});
  out.Memory = readMemoryPlan(flags);
  out.StopDelay = flags.readDuration("stop-delay-ms");
  warnOfAbsent(flags, out);
  return core::ok();
}

void readOperatorKeys(Flags &flags, EntrySettings &out) {
  for (const auto &item : split(flags.text("operator-keys"), ',')) {
    const auto parts = split(item, '=');
    if (parts.size() == 2 && parts[1].size() == Sha256HexDigits)
      out.OperatorKeys.emplace(parts[1], core::OperatorId(parts[0]));
    else
      flags.warn("operator-keys", parts.empty() ? "" : parts[0],
                 "must be NAME=SHA256; this operator is refused");
  }
}

Status readEntry(Flags &flags, EntrySettings &out) {
  if (auto done = readCommon(flags, out.Common); !done)
    return done;
  if (auto done = flags.readRequiredAddress("public", out.Public); !done)
    return done;
  out.FreshFor = flags.readDuration("fresh-for-ms");
  readOperatorKeys(flags, out);
  return core::ok();
}

Status readPlacer(Flags &flags, PlacerSettings &out) {
  return readCommon(flags, out.Common);
}

Status readFirstMembers(const Flags &flags, ControlSettings &out) {
  out.InitAs = flags.text("init-as");
  for (const auto &item : split(flags.text("first-members"), ',')) {
    const auto parts = split(item, '=');
    const auto address = parts.size() == 2 ? core::parseAddress(parts[1])
                                           : Result<core::Address>(Error{});
    if (!address)
      return invalidValue("first-members", item,
                          "must be NAME=IP:PORT[,NAME=IP:PORT...]");
    out.FirstMembers.emplace_back(parts[0], address.value());
  }
  if (out.InitAs.empty() != out.FirstMembers.empty())
    return invalidValue("init-as", out.InitAs,
                        "must be given together with --first-members");
  return core::ok();
}

Status readControl(Flags &flags, ControlSettings &out) {
  if (auto done = readCommon(flags, out.Common); !done)
    return done;
  out.DataFolder = flags.text("data");
  if (out.DataFolder.empty())
    return invalidValue("data", "", "must name the data folder");
  out.BootstrapCluster = flags.readBool("found");
  out.ToleratedLosses =
      flags.readNumber("tolerated-losses", -1, MaxToleratedLosses);
  out.RunStopTimeout = flags.readDuration("stop-order-timeout-ms");
  out.LongestLease = flags.readDuration("longest-lease-ms");
  out.RemoteFactor = flags.readFraction("remote-factor", 1, MaxRemoteFactor);
  // Holders of orders are told apart by name.
  out.Name = flags.text("name").empty() ? core::toString(out.Common.Inner)
                                        : flags.text("name");
  out.Public = flags.readAddress("public");
  out.VmService = flags.readAddress("vm-service");
  out.AdviceService = flags.readAddress("advice-service");
  return readFirstMembers(flags, out);
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
  out.Warnings = flags.warnings();
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
  flags.add(
      "name",
      "Name of this process in the orders that it sends; its inner address "
      "if not given");
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
  flags.add("longest-lease-ms",
            "The longest lease that an endpoint accepts, whatever is "
            "requested, in milliseconds",
            "6000");
  flags.add("remote-factor",
            "How many times as long a task takes away from the rack of its "
            "data, or a gang on several racks",
            "2.0");
  flags.add("init-as", "Format the data folder for this first member and exit");
  flags.add("first-members", "All first members, NAME=IP:PORT[,...]");
  return parseSettings<ControlSettings>(flags, args, readControl);
}

} // namespace almondgate::config
