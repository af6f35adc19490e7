#include "almondgate/ctl/command_line.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <sstream>

namespace almondgate::ctl {

using core::Error;
using core::ErrorCode;

namespace {

constexpr const char *Version = "0.1.0";
constexpr const char *About =
    "almondgate-ctl: the operators' tool\n"
    "  get TABLE | describe TABLE ID | apply --file=F | remove KIND ID\n"
    "  grant TEAM | withdraw KEY | move VM --from=P --to=P | vm PHASE VM\n"
    "  wave create ID --kind=K [--pool=P] [--rack=R] [--zone=Z]\n"
    "  wave pause|resume|cancel|status ID [--watch]\n"
    "  submit QUEUE JOB --file=F | job QUEUE [JOB] | cancel QUEUE JOB\n"
    "  fleet [--file=F]\n"
    "  evacuate ZONE --reason=R | withdraw-evacuation ZONE --reason=R\n"
    "  evacuations\n"
    "  explain QUEUE --file=JOB [--team=T] | explain-job JOB\n"
    "  audit | members | replace-member OLD IP:PORT";

std::string environmentOr(const char *name, const std::string &other) {
  const char *found = std::getenv(name);
  return found ? found : other;
}

core::Result<std::vector<core::Address>> readEntries(const std::string &text) {
  std::vector<core::Address> out;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, ',')) {
    const auto address = core::parseAddress(item);
    if (!address)
      return Error{ErrorCode::InvalidArgument,
                   "--entries (ALMONDGATE_ENTRIES) '" + item +
                       "': must be IP:PORT[,IP:PORT...]"};
    out.push_back(address.value());
  }
  if (out.empty())
    return Error{ErrorCode::InvalidArgument,
                 "--entries (ALMONDGATE_ENTRIES): needs an address"};
  return out;
}

} // namespace

core::Result<CommandLine>
readCommandLine(const std::vector<std::string> &args) {
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<uint64_t>;
  TCLAP::CmdLine line(About, '=', Version);
  line.setExceptionHandling(false);
  Text entries("", "entries", "Entries (environment: ALMONDGATE_ENTRIES)",
               false, environmentOr("ALMONDGATE_ENTRIES", ""), "addresses",
               line);
  Text key("", "key", "Operator's key (environment: ALMONDGATE_OPERATOR_KEY)",
           false, environmentOr("ALMONDGATE_OPERATOR_KEY", ""), "key", line);
  Text file("", "file", "JSON list of records", false, "", "path", line);
  Text reason("", "reason", "Why, for the audit trail", false, "", "text",
              line);
  Text pool("", "pool", "Only VMs of this pool", false, "", "pool", line);
  Text rack("", "rack", "Only VMs of this rack", false, "", "rack", line);
  Text zone("", "zone", "Only VMs of this zone", false, "", "zone", line);
  Text kind("", "kind", "drain, reboot, replace or evacuate", false, "drain",
            "kind", line);
  Text team("", "team", "The team of a job to explain", false, "", "team",
            line);
  Text from("", "from", "The pool that a VM leaves", false, "", "pool", line);
  Text to("", "to", "The pool that a VM joins", false, "", "pool", line);
  Number number("", "number", "Change number, to resend a change", false, 0,
                "n", line);
  Number expected("", "expect",
                  "Refuse when an operator changed something "
                  "after this revision",
                  false, 0, "revision", line);
  TCLAP::SwitchArg json("", "json", "Print JSON", line);
  TCLAP::SwitchArg dry("", "dry-run", "Show what would happen", line);
  TCLAP::SwitchArg watch("", "watch", "Show a wave until it ends", line);
  TCLAP::UnlabeledMultiArg<std::string> words("command", "The command", true,
                                              "words", line);
  CommandLine out;
  try {
    auto copy = args;
    line.parse(copy);
  } catch (const TCLAP::ArgException &e) {
    return Error{ErrorCode::InvalidArgument, e.argId() + ": " + e.error()};
  } catch (const TCLAP::ExitException &e) {
    out.Ended = true;
    out.ExitCode = e.getExitStatus();
    return out;
  }
  const auto found = readEntries(entries.getValue());
  if (!found)
    return found.error();
  out.Entries = found.value();
  out.Key = key.getValue();
  out.Words = words.getValue();
  out.File = file.getValue();
  out.Reason = reason.getValue();
  out.Pool = pool.getValue();
  out.Rack = rack.getValue();
  out.Zone = zone.getValue();
  out.Kind = kind.getValue();
  out.Team = team.getValue();
  out.From = from.getValue();
  out.To = to.getValue();
  out.Number = number.getValue();
  out.Expected = expected.getValue();
  out.Json = json.getValue();
  out.DryRun = dry.getValue();
  out.Watch = watch.getValue();
  return out;
}

} // namespace almondgate::ctl
