#include "almondgate/ctl/run.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/http/json_body.hpp"
#include "almondgate/http/path_segment.hpp"

#include "text_table.hpp"

#include <chrono>
#include <ctime>
#include <map>

namespace almondgate::ctl {

using nlohmann::json;

namespace {

constexpr int ConflictStatus = 409;
constexpr int FirstErrorStatus = 400;
constexpr int Indent = 2;

// Such as "2026-12-07 01:02:03 UTC".
std::string utcTime(int64_t wall_ms) {
  using std::chrono::system_clock;
  const std::time_t time = system_clock::to_time_t(
      system_clock::time_point(std::chrono::milliseconds(wall_ms)));
  std::tm fields{};
  char text[sizeof("0000-00-00 00:00:00 UTC")] = {};
  if (!::gmtime_r(&time, &fields) ||
      std::strftime(text, sizeof(text), "%F %T UTC", &fields) == 0)
    return std::to_string(wall_ms) + " ms";
  return text;
}

/// Executes one command.
class Runner {
public:
  Runner(const CommandLine &line, const RunHooks &hooks)
      : Line(line), Hooks(hooks) {}

  ExitCode run();

private:
  const std::string &word(size_t i) const {
    static const std::string none;
    return i < Line.Words.size() ? Line.Words[i] : none;
  }

  ExitCode usage(const std::string &why) const {
    Hooks.PrintError(why + "; see almondgate-ctl --help");
    return BadUsage;
  }

  ExitCode fetch(const std::string &path, json &out) const;
  ExitCode sendRequest(const char *method, const std::string &path,
                       const std::string &body) const;
  ExitCode failed(const http::Response &response) const;
  ExitCode change(const std::string &kind, const json &body) const;
  ExitCode get() const;
  ExitCode describe() const;
  ExitCode list(const std::string &path) const;
  ExitCode apply() const;
  ExitCode removeRecord() const;
  ExitCode grant() const;
  ExitCode withdraw() const;
  ExitCode move() const;
  ExitCode setPhase() const;
  ExitCode replaceMember() const;
  ExitCode submit() const;
  ExitCode sendJobRequest(const char *method) const;
  ExitCode configureFleet() const;
  ExitCode wave() const;
  ExitCode waveStatus() const;
  void printWave(const json &wave) const;
  ExitCode changeEvacuation(const char *method) const;
  ExitCode listEvacuations() const;
  ExitCode explainSubmission() const;
  ExitCode explain(const json &request) const;
  void printExplanation(const json &found) const;

  const CommandLine &Line;
  const RunHooks &Hooks;
};

ExitCode Runner::failed(const http::Response &response) const {
  const auto body = json::parse(response.Body, nullptr, false);
  std::string why = response.Body;
  if (body.is_object() && body.contains("detail"))
    why = body["detail"].get<std::string>();
  else if (body.is_object() && body.contains("Refusal"))
    why = body["Refusal"]["Text"].get<std::string>();
  Hooks.PrintError("refused (" + std::to_string(response.Status) + "): " + why);
  return response.Status == ConflictStatus ? Conflict : Refused;
}

ExitCode Runner::fetch(const std::string &path, json &out) const {
  const auto answer = Hooks.Call("GET", path, "");
  if (!answer) {
    Hooks.PrintError("no entry responds: " + answer.error().Text);
    return Unreachable;
  }
  if (answer.value().Status >= FirstErrorStatus)
    return failed(answer.value());
  out = json::parse(answer.value().Body, nullptr, false);
  return Success;
}

ExitCode Runner::change(const std::string &kind, const json &body) const {
  const uint64_t number = Line.Number ? Line.Number : Hooks.NewChangeNumber();
  const json request = {{"Number", number},
                        {"ExpectedRevision", Line.Expected},
                        {"Reason", Line.Reason},
                        {"What", {{"Kind", kind}, {"Body", body}}}};
  const auto answer = Hooks.Call(
      "POST", Line.DryRun ? "changes?dry-run" : "changes", request.dump());
  if (!answer) {
    Hooks.PrintError("it is unknown whether the change was accepted; resend it "
                     "with --number=" +
                     std::to_string(number) + ": " + answer.error().Text);
    return Unreachable;
  }
  if (answer.value().Status >= FirstErrorStatus)
    return failed(answer.value());
  const auto result = json::parse(answer.value().Body, nullptr, false);
  if (Line.Json)
    Hooks.Print(result.dump(Indent) + "\n");
  else
    Hooks.Print((Line.DryRun ? "would be accepted at revision "
                             : "accepted at revision ") +
                result["Revision"].dump() + "\n");
  return Success;
}

ExitCode Runner::get() const {
  json found;
  if (const auto code = fetch(word(1), found); code != Success)
    return code;
  if (Line.Json) {
    Hooks.Print(found.dump(Indent) + "\n");
    return Success;
  }
  json bodies = json::array();
  for (const auto &item : found["Items"])
    bodies.push_back(item["Body"]);
  Hooks.Print(formatObjects(bodies) + "revision " + found["Revision"].dump() +
              "\n");
  return Success;
}

ExitCode Runner::describe() const {
  json found;
  if (const auto code = fetch(word(1), found); code != Success)
    return code;
  for (const auto &item : found["Items"]) {
    if (item["Body"].value("Id", "") != word(2))
      continue;
    Hooks.Print(item["Body"].dump(Indent) + "\n");
    return Success;
  }
  Hooks.PrintError("nothing named '" + word(2) + "' in " + word(1));
  return Refused;
}

ExitCode Runner::list(const std::string &path) const {
  json found;
  if (const auto code = fetch(path, found); code != Success)
    return code;
  if (found.is_object())
    found = found["Members"];
  Hooks.Print(Line.Json ? found.dump(Indent) + "\n" : formatObjects(found));
  return Success;
}

ExitCode Runner::apply() const {
  const auto text = Hooks.ReadFile(Line.File);
  if (!text) {
    Hooks.PrintError("--file '" + Line.File + "': " + text.error().Text);
    return BadUsage;
  }
  const auto records = json::parse(text.value(), nullptr, false);
  if (!records.is_array())
    return usage("--file '" + Line.File + "' must hold a JSON list of records");
  return change("put", {{"Records", records}});
}

ExitCode Runner::removeRecord() const {
  static const std::map<std::string, std::string> kinds = {
      {"team", "Id"}, {"pool", "Id"}, {"queue", "Id"}};
  const auto it = kinds.find(word(1));
  if (it == kinds.end() || word(2).empty())
    return usage("remove team|pool|queue ID");
  return change(
      "remove",
      {{"Content", {{"Kind", word(1)}, {"Body", {{it->second, word(2)}}}}}});
}

ExitCode Runner::grant() const {
  if (word(1).empty())
    return usage("grant TEAM");
  const std::string key = Hooks.NewKey();
  const auto code = change("grant-key", {{"Granted",
                                          {{"Hash", core::sha256Hex(key)},
                                           {"Team", word(1)},
                                           {"Note", Line.Reason}}}});
  if (code == Success && !Line.DryRun)
    Hooks.Print("key (shown once): " + key + "\n");
  return code;
}

ExitCode Runner::withdraw() const {
  constexpr size_t HashDigits = 64;
  if (word(1).empty())
    return usage("withdraw KEY or its SHA-256");
  const bool is_hash = word(1).size() == HashDigits;
  return change("withdraw-key",
                {{"Hash", is_hash ? word(1) : core::sha256Hex(word(1))}});
}

ExitCode Runner::move() const {
  if (word(1).empty())
    return usage("move VM --from=POOL --to=POOL");
  return change("move-vm",
                {{"Vm", word(1)}, {"From", Line.From}, {"To", Line.To}});
}

ExitCode Runner::setPhase() const {
  if (word(2).empty())
    return usage("vm active|draining VM");
  return change("set-vm-phase", {{"Vm", word(2)}, {"Phase", word(1)}});
}

ExitCode Runner::replaceMember() const {
  const auto at = core::parseAddress(word(2));
  if (!at)
    return usage("replace-member OLD IP:PORT");
  const json request = {
      {"Old", word(1)},
      {"Inner", {{"Ip", at.value().Ip}, {"Port", at.value().Port}}}};
  const auto answer = Hooks.Call("POST", "members/replace", request.dump());
  if (!answer) {
    Hooks.PrintError("no reply; repeat the command to continue: " +
                     answer.error().Text);
    return Unreachable;
  }
  if (answer.value().Status >= FirstErrorStatus)
    return failed(answer.value());
  Hooks.Print("replaced\n");
  return Success;
}

void Runner::printWave(const json &wave) const {
  std::map<std::string, int> counts;
  for (const auto &[vm, phase] : wave["Steps"].items())
    ++counts[phase.get<std::string>()];
  std::string line =
      wave["Id"].get<std::string>() + " " + wave["Status"].get<std::string>();
  for (const auto &[phase, n] : counts)
    line += ", " + std::to_string(n) + " " + phase;
  Hooks.Print(line + "\n");
}

ExitCode Runner::waveStatus() const {
  while (true) {
    json found;
    if (const auto code = fetch("waves", found); code != Success)
      return code;
    json wave;
    for (const auto &item : found["Items"])
      if (item["Body"]["Id"] == word(2))
        wave = item["Body"];
    if (wave.is_null()) {
      Hooks.PrintError("no wave '" + word(2) + "'");
      return Refused;
    }
    printWave(wave);
    json holdups;
    if (fetch("wave-holdups/" + word(2), holdups) == Success)
      for (const auto &line : holdups)
        Hooks.Print("  " + line.get<std::string>() + "\n");
    const auto status = wave["Status"].get<std::string>();
    if (!Line.Watch || status == "done" || status == "cancelled")
      return Success;
    Hooks.Pause();
  }
}

ExitCode Runner::wave() const {
  const std::string &verb = word(1);
  if (word(2).empty())
    return usage("wave create|pause|resume|cancel|status ID");
  if (verb == "status")
    return waveStatus();
  if (verb == "create")
    return change("create-wave", {{"Created",
                                   {{"Id", word(2)},
                                    {"Kind", Line.Kind},
                                    {"Pool", Line.Pool},
                                    {"Rack", Line.Rack},
                                    {"Zone", Line.Zone}}}});
  static const std::map<std::string, std::string> statuses = {
      {"pause", "paused"}, {"resume", "running"}, {"cancel", "cancelled"}};
  const auto it = statuses.find(verb);
  if (it == statuses.end())
    return usage("wave create|pause|resume|cancel|status ID");
  return change("set-wave-status", {{"Wave", word(2)}, {"Status", it->second}});
}

ExitCode Runner::submit() const {
  if (word(2).empty() || Line.File.empty())
    return usage("submit QUEUE JOB --file=F");
  const auto spec = Hooks.ReadFile(Line.File);
  if (!spec) {
    Hooks.PrintError(spec.error().Text);
    return BadUsage;
  }
  return sendRequest("POST", "/jobs/" + word(1) + "/" + word(2), spec.value());
}

ExitCode Runner::sendJobRequest(const char *method) const {
  if (word(1).empty())
    return usage("job|cancel QUEUE JOB");
  return sendRequest(method, "/jobs/" + word(1) + "/" + word(2), "");
}

ExitCode Runner::configureFleet() const {
  if (Line.File.empty())
    return sendRequest("GET", "/admin/v1/fleet", "");
  const auto config = Hooks.ReadFile(Line.File);
  if (!config) {
    Hooks.PrintError(config.error().Text);
    return BadUsage;
  }
  return sendRequest("PUT", "/admin/v1/fleet", config.value());
}

ExitCode Runner::changeEvacuation(const char *method) const {
  if (word(1).empty() || Line.Reason.empty())
    return usage("evacuate|withdraw-evacuation ZONE --reason=R");
  return sendRequest(method,
                     "/admin/v1/evacuations/" + http::encodeSegment(word(1)),
                     http::encodeJson({{"Reason", Line.Reason}}));
}

// Prints a line for each zone, followed by one for each endpoint with runs.
ExitCode Runner::listEvacuations() const {
  json found;
  if (const auto code = fetch("evacuations", found); code != Success)
    return code;
  if (Line.Json) {
    Hooks.Print(found.dump(Indent) + "\n");
    return Success;
  }
  for (const auto &zone : found) {
    const auto text = [&zone](const char *name) {
      return zone[name].get<std::string>();
    };
    const auto &remaining = zone["Remaining"];
    Hooks.Print(text("Zone") + " by " + text("By") + " since " +
                utcTime(zone["SinceWallMs"].get<int64_t>()) + ": " +
                text("Reason") + "; runs remain at " +
                std::to_string(remaining.size()) + " endpoints\n");
    for (const auto &row : remaining)
      Hooks.Print("  " + row["Endpoint"].get<std::string>() + ": " +
                  row["ShortRuns"].dump() + " short, " +
                  row["LongRuns"].dump() + " long-running\n");
  }
  return Success;
}

ExitCode Runner::explainSubmission() const {
  if (word(1).empty() || Line.File.empty())
    return usage("explain QUEUE --file=JOB [--team=T]");
  const auto text = Hooks.ReadFile(Line.File);
  if (!text) {
    Hooks.PrintError(text.error().Text);
    return BadUsage;
  }
  const json spec = json::parse(text.value(), nullptr, false);
  if (!spec.is_object()) {
    Hooks.PrintError(Line.File + " is not a JSON object");
    return BadUsage;
  }
  return explain({{"Queue", word(1)}, {"Team", Line.Team}, {"Spec", spec}});
}

ExitCode Runner::explain(const json &request) const {
  const auto answer =
      Hooks.Call("POST", "/admin/v1/explain", http::encodeJson(request));
  if (!answer) {
    Hooks.PrintError("no entry responds: " + answer.error().Text);
    return Unreachable;
  }
  if (answer.value().Status >= FirstErrorStatus)
    return failed(answer.value());
  const json found = json::parse(answer.value().Body, nullptr, false);
  if (Line.Json)
    Hooks.Print(found.dump(Indent) + "\n");
  else
    printExplanation(found);
  return Success;
}

// Prints the answer to a submission, and for each step a line with the
// endpoints where tasks would start, one with what waits, and one with the
// endpoints that are passed over.
void Runner::printExplanation(const json &found) const {
  const auto counts = [](const json &rows) {
    std::string out;
    for (const auto &[name, n] : rows.items())
      out += (out.empty() ? "" : ", ") + n.dump() + " " + name;
    return out;
  };
  std::string line = "pool " + found["Pool"].get<std::string>() + ": ";
  line += found["Accepted"].get<bool>()
              ? "accepted"
              : "refused, retry after " + found["RetryAfterMs"].dump() + " ms";
  Hooks.Print(line + " (" + found["Reason"].get<std::string>() + ")\n");
  for (const auto &step : found["Steps"]) {
    const std::string name = "step " + step["Step"].dump() + ": ";
    if (!step["Starts"].empty())
      Hooks.Print(name + "starts at " + counts(step["Starts"]) + "\n");
    if (step["Remote"] != 0)
      Hooks.Print(name + step["Remote"].dump() +
                  " of them away from the rack of their data, unless a wait "
                  "for it pays\n");
    if (step["Waiting"] != 0)
      Hooks.Print(name + step["Waiting"].dump() + " tasks wait: " +
                  step["WaitReason"].get<std::string>() + "\n");
    if (!step["PassedOver"].empty())
      Hooks.Print(name + "passed over: " + counts(step["PassedOver"]) + "\n");
  }
}

ExitCode Runner::sendRequest(const char *method, const std::string &path,
                             const std::string &body) const {
  const auto answer = Hooks.Call(method, path, body);
  if (!answer) {
    Hooks.PrintError(answer.error().Text);
    return Unreachable;
  }
  constexpr int SuccessStatus = 200;
  if (answer.value().Status != SuccessStatus)
    return failed(answer.value());
  Hooks.Print(answer.value().Body);
  return Success;
}

ExitCode Runner::run() {
  const std::string &verb = word(0);
  if (verb == "get")
    return get();
  if (verb == "describe")
    return describe();
  if (verb == "audit" || verb == "members")
    return list(verb);
  if (verb == "apply")
    return apply();
  if (verb == "remove")
    return removeRecord();
  if (verb == "grant")
    return grant();
  if (verb == "withdraw")
    return withdraw();
  if (verb == "move")
    return move();
  if (verb == "vm")
    return setPhase();
  if (verb == "wave")
    return wave();
  if (verb == "replace-member")
    return replaceMember();
  if (verb == "submit")
    return submit();
  if (verb == "job")
    return sendJobRequest("GET");
  if (verb == "cancel")
    return sendJobRequest("DELETE");
  if (verb == "fleet")
    return configureFleet();
  if (verb == "evacuate")
    return changeEvacuation("PUT");
  if (verb == "withdraw-evacuation")
    return changeEvacuation("DELETE");
  if (verb == "evacuations")
    return listEvacuations();
  if (verb == "explain")
    return explainSubmission();
  if (verb == "explain-job")
    return word(1).empty() ? usage("explain-job JOB")
                           : explain({{"Job", word(1)}});
  return usage("unknown command '" + verb + "'");
}

} // namespace

ExitCode run(const CommandLine &line, const RunHooks &hooks) {
  return Runner(line, hooks).run();
}

} // namespace almondgate::ctl
