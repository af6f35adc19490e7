// A fake endpoint: announces itself to the entries, answers each request after
// the time that the request gives, and records the ids, starts and ends of all
// runs for the tests.

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
constexpr core::DurationMs StopCheckInterval{20};
/// Minimum time between the announcement that the endpoint leaves and its exit.
constexpr core::DurationMs LeaveNotice{1500};

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

/// Returns microseconds of the host's steady clock, which all processes share.
int64_t steadyUs() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

/// The begin and end of a run. EndUs is 0 while it runs.
struct Span {
  std::string Team;
  int64_t BeginUs = 0;
  int64_t EndUs = 0;
};

class FakeEndpoint {
public:
  FakeEndpoint(task::Loop &loop, Options options)
      : Loop(loop), Opts(std::move(options)), BootId(core::randomHex(4)),
        Http(loop, {}, [this](const http::Exchange &e) { serve(e); }),
        Client(loop, {}), AnnounceTimer(loop), LeaveTimer(loop) {}

  core::Status start() {
    if (auto done = Http.listen(Opts.Listen); !done)
      return done;
    announce();
    AnnounceTimer.every(AnnounceInterval, [this] { announce(); });
    return core::ok();
  }

  /// Announces that the endpoint leaves, and stops the loop when its runs have
  /// ended and LeaveNotice has passed.
  void leave() {
    if (Leaving)
      return;
    Leaving = true;
    announce();
    const auto began = core::monotonicNow();
    LeaveTimer.every(StopCheckInterval, [this, began] {
      if (Running.empty() && core::monotonicNow() - began > LeaveNotice)
        Loop.stop();
    });
  }

private:
  struct Run {
    std::string Team;
    std::unique_ptr<task::Timer> EndTimer;
  };

  void serve(const http::Exchange &exchange) {
    const std::string &target = exchange.Request.Target;
    if (target == "/ran") {
      exchange.Respond(
          http::jsonResponse(200, nlohmann::json(RunCounts).dump()));
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
      BootId = core::randomHex(4);
      announce();
      exchange.Respond(http::jsonResponse(200, "{}"));
      return;
    }
    run(exchange);
  }

  void run(const http::Exchange &exchange) {
    const auto &request = exchange.Request;
    const std::string id = queryValue(request.Target, "id");
    ++RunCounts[id];
    if (Opts.FailAll) {
      exchange.Respond({500, {}, "broken"});
      return;
    }
    const std::string request_id(
        http::headerValue(request.Headers, "almondgate-request-id"));
    const std::string key = request_id + "/" + std::to_string(NextRun++);
    const std::string ms = queryValue(request.Target, "ms");
    auto &run = Running[key];
    run.Team = http::headerValue(request.Headers, "almondgate-team");
    run.EndTimer = std::make_unique<task::Timer>(Loop);
    const auto respond = exchange.Respond;
    const size_t span = Spans.size();
    Spans.push_back({run.Team, steadyUs(), 0});
    run.EndTimer->once({ms.empty() ? 0 : std::stoll(ms)}, [=, this] {
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
    for (const Span &span : Spans)
      out.push_back({span.Team, span.BeginUs, span.EndUs});
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
        {"BootId", BootId},
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
      // A failed notice of leaving is sent again at once: announce() goes to
      // the next entry, which may be available.
      const bool accepted = answer && answer.value().Status == 200;
      if (!accepted && Leaving)
        Loop.defer([this] { announce(); });
    });
  }

  task::Loop &Loop;
  const Options Opts;
  std::string BootId;
  /// How often each id of a request's query ran.
  std::map<std::string, int> RunCounts;
  /// Open runs by request id and a number, as a request may run twice.
  std::map<std::string, Run> Running;
  std::vector<Span> Spans;
  uint64_t NextRun = 0;
  size_t NextEntry = 0;
  bool Leaving = false;
  http::Server Http;
  http::EndpointClient Client;
  task::Timer AnnounceTimer;
  task::Timer LeaveTimer;
};

Options readOptions(int argc, char **argv) {
  TCLAP::CmdLine line("fake-endpoint: an endpoint that answers after a delay",
                      '=');
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<int>;
  Text name("", "name", "VM id", true, "", "name", line);
  Text listen("", "listen", "Address to listen on, IP:PORT", true, "",
              "address", line);
  Text entries("", "entries", "Addresses of the entries, IP:PORT,...", true, "",
               "addresses", line);
  Text zone("", "zone", "Availability zone", false, "z1", "zone", line);
  Text rack("", "rack", "Rack id", false, "r1", "rack", line);
  Number slots("", "slots", "Number of slots", false, 8, "n", line);
  Number cpus("", "millicpus", "Processors in thousandths", false, 64000, "n",
              line);
  Number memory("", "memory-mb", "Memory in MB", false, 256 * 1024, "n", line);
  TCLAP::SwitchArg fail("", "fail-all", "Answer each request with status 500",
                        line);
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
