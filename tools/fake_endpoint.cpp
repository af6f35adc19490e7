// A stand-in for a worker's endpoint: announces itself, runs requests that only
// wait, and keeps the ids, the starts and the ends of all it ran.

#include "almondgate/core/digest.hpp"
#include "almondgate/core/size.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/http/endpoint_client.hpp"
#include "almondgate/http/server.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/signal_watcher.hpp"
#include "almondgate/task/timer.hpp"

#include "address_or_exit.hpp"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <map>
#include <sstream>

using namespace almondgate;
using tools::addressOrExit;

namespace {

constexpr core::DurationMs AnnounceInterval{500};
constexpr core::DurationMs AnnounceTimeout{2000};
constexpr core::DurationMs StopCheck{20};
constexpr core::DurationMs LeavingNotice{1500};

struct Options {
  std::string Name;
  core::Address Listen;
  std::vector<core::Address> Entries;
  std::string Zone;
  std::string Rack;
  core::Size Capacity;
  bool FailAll = false;
};

std::string queryValue(const std::string &target, const std::string &name) {
  const size_t question = target.find('?');
  if (question == std::string::npos)
    return {};
  std::istringstream in(target.substr(question + 1));
  std::string pair;
  while (std::getline(in, pair, '&'))
    if (pair.rfind(name + "=", 0) == 0)
      return pair.substr(name.size() + 1);
  return {};
}

/// Microseconds of the machine's steady clock, which all processes share.
int64_t steadyUs() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

/// When a run began and ended; End is 0 while it runs.
struct Span {
  std::string Team;
  int64_t BeginUs = 0;
  int64_t EndUs = 0;
};

class FakeEndpoint {
public:
  FakeEndpoint(task::Loop &loop, Options options)
      : Loop(loop), Opts(std::move(options)), Boot(core::randomHex(4)),
        Http(loop, {}, [this](const http::Exchange &e) { serve(e); }),
        Client(loop, {}), Beat(loop), Ending(loop) {}

  core::Status start() {
    if (auto done = Http.listen(Opts.Listen); !done)
      return done;
    announce();
    Beat.every(AnnounceInterval, [this] { announce(); });
    return core::ok();
  }

  void leave() {
    if (Leaving)
      return;
    Leaving = true;
    announce();
    const auto began = core::monotonicNow();
    Ending.every(StopCheck, [this, began] {
      if (Running.empty() && core::monotonicNow() - began > LeavingNotice)
        Loop.stop();
    });
  }

private:
  struct Run {
    std::string Team;
    std::unique_ptr<task::Timer> End;
  };

  void serve(const http::Exchange &exchange) {
    const std::string &target = exchange.Request.Target;
    if (target == "/ran") {
      exchange.Respond(http::jsonResponse(200, nlohmann::json(Ran).dump()));
      return;
    }
    if (target == "/running") {
      exchange.Respond(http::jsonResponse(200, runningByTeam().dump()));
      return;
    }
    if (target == "/spans") {
      exchange.Respond(http::jsonResponse(200, spansAsRows().dump()));
      return;
    }
    if (target == "/restart") {
      Boot = core::randomHex(4);
      announce();
      exchange.Respond(http::jsonResponse(200, "{}"));
      return;
    }
    run(exchange);
  }

  void run(const http::Exchange &exchange) {
    const auto &request = exchange.Request;
    const std::string id = queryValue(request.Target, "id");
    ++Ran[id];
    if (Opts.FailAll) {
      exchange.Respond({500, {}, "broken"});
      return;
    }
    const std::string run_id(
        http::headerValue(request.Headers, "almondgate-request-id"));
    const std::string key = run_id + "/" + std::to_string(NextRun++);
    const std::string ms = queryValue(request.Target, "ms");
    auto &held = Running[key];
    held.Team = http::headerValue(request.Headers, "almondgate-team");
    held.End = std::make_unique<task::Timer>(Loop);
    const auto respond = exchange.Respond;
    const size_t span = Spans.size();
    Spans.push_back({held.Team, steadyUs(), 0});
    held.End->once({ms.empty() ? 0 : std::stoll(ms)}, [=, this] {
      Loop.defer([this, key] { Running.erase(key); });
      Spans[span].EndUs = steadyUs();
      respond({200,
               {{"content-type", "text/plain"}, {"x-vm", Opts.Name}},
               "done " + id + "\n"});
    });
  }

  nlohmann::json runningByTeam() const {
    std::map<std::string, int> out;
    for (const auto &[key, run] : Running)
      ++out[run.Team];
    return out;
  }

  nlohmann::json spansAsRows() const {
    nlohmann::json out = nlohmann::json::array();
    for (const Span &it : Spans)
      out.push_back({it.Team, it.BeginUs, it.EndUs});
    return out;
  }

  void announce() {
    nlohmann::json running = nlohmann::json::array();
    for (const auto &[key, run] : Running)
      running.push_back(
          {{"Id", key.substr(0, key.rfind('/'))}, {"Team", run.Team}});
    const nlohmann::json body = {
        {"Vm", Opts.Name},
        {"Endpoint", {{"Ip", Opts.Listen.Ip}, {"Port", Opts.Listen.Port}}},
        {"Zone", Opts.Zone},
        {"Rack", Opts.Rack},
        {"BootId", Boot},
        {"Capacity",
         {{"Slots", Opts.Capacity.Slots},
          {"MilliCpus", Opts.Capacity.MilliCpus},
          {"MemoryMb", Opts.Capacity.MemoryMb},
          {"Accelerators", Opts.Capacity.Accelerators}}},
        {"Ready", true},
        {"Leaving", Leaving},
        {"Running", running}};
    http::EndpointCall call;
    call.To = Opts.Entries[NextEntry++ % Opts.Entries.size()];
    call.Request = {"POST", "/announce", {}, body.dump()};
    call.Timeout = AnnounceTimeout;
    Client.send(call, [this](const core::Result<http::Response> &answer) {
      // The next entry may be in better health.
      const bool good = answer && answer.value().Status == 200;
      if (!good && Leaving)
        Loop.defer([this] { announce(); });
    });
  }

  task::Loop &Loop;
  const Options Opts;
  std::string Boot;
  std::map<std::string, int> Ran;
  std::map<std::string, Run> Running;
  std::vector<Span> Spans;
  uint64_t NextRun = 0;
  size_t NextEntry = 0;
  bool Leaving = false;
  http::Server Http;
  http::EndpointClient Client;
  task::Timer Beat;
  task::Timer Ending;
};

Options readOptions(int argc, char **argv) {
  TCLAP::CmdLine line("A stand-in for a worker's endpoint", '=');
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<int>;
  Text name("", "name", "VM id", true, "", "name", line);
  Text listen("", "listen", "IP:PORT", true, "", "address", line);
  Text entries("", "entries", "IP:PORT,...", true, "", "addresses", line);
  Text zone("", "zone", "Zone", false, "z1", "zone", line);
  Text rack("", "rack", "Rack", false, "r1", "rack", line);
  Number slots("", "slots", "Slots", false, 8, "n", line);
  Number cpus("", "millicpus", "Processors", false, 64000, "n", line);
  Number memory("", "memory-mb", "Memory", false, 256 * 1024, "n", line);
  TCLAP::SwitchArg fail("", "fail-all", "Answer 500 to everything", line);
  line.parse(argc, argv);
  Options out;
  out.Name = name.getValue();
  out.Listen = addressOrExit(listen.getValue());
  std::istringstream in(entries.getValue());
  std::string item;
  while (std::getline(in, item, ','))
    out.Entries.push_back(addressOrExit(item));
  out.Zone = zone.getValue();
  out.Rack = rack.getValue();
  out.Capacity = {slots.getValue(), cpus.getValue(), memory.getValue(), 0};
  out.FailAll = fail.getValue();
  return out;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const Options options = readOptions(argc, argv);
  task::Loop loop;
  FakeEndpoint endpoint(loop, options);
  const task::SignalWatcher term(loop, SIGTERM, [&] { endpoint.leave(); });
  if (auto done = endpoint.start(); !done) {
    std::fprintf(stderr, "%s\n", done.error().Text.c_str());
    return 1;
  }
  loop.run();
  return 0;
}
