// A fake endpoint that runs tasks for the milliseconds given by their job's
// content. It ends runs whose lease has expired, fences orders by epoch and
// reports ended runs until they are acknowledged. Tests count from its record
// file, which has a line "EVENT TASK RUN WALL_CLOCK_MS" for each start and end
// of a run; EVENT is "start" or the name of the end.
#include "almondgate/core/address.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/endpoint/run_codec.hpp"
#include "almondgate/jobs/endpoint_heartbeat.hpp"
#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/timer.hpp"

#include "address_or_exit.hpp"

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <list>
#include <map>
#include <sstream>

using namespace almondgate;
using dispatch::OrderReply;
using dispatch::OrderResult;
using dispatch::RunEnd;
using protocol::Method;
using tools::addressOrExit;

namespace {

constexpr core::DurationMs TickInterval{5};
constexpr core::DurationMs HeartbeatInterval{500};
constexpr core::DurationMs HeartbeatTimeout{400};
constexpr int64_t MilliCpus = 64000;
constexpr int64_t MemoryMb = 65536;
constexpr int64_t DefaultRunMs = 100;

struct Options {
  std::string Secret;
  core::Address Listen;
  /// The address that heartbeats give the leader for its calls.
  core::Address Announced;
  std::vector<core::Address> Control;
  std::string Pool;
  std::string Vm;
  std::string Rack;
  std::string Zone;
  std::string Record;
};

struct Run {
  int64_t Number = 0;
  core::TimeMs EndsAt;
};

/// A renewal whose answer waits for an ended run or for its deadline.
struct PendingRenewal {
  dispatch::RenewRequest Request;
  core::TimeMs Until;
  protocol::Responder Respond;
};

class Worker {
public:
  Worker(task::Loop &loop, Options options)
      : Settings(std::move(options)), Rpc(loop, {Settings.Secret}),
        Server(loop, {Settings.Secret},
               {[this](Method method, const std::string &body,
                       const protocol::Responder &respond) {
                  onCall(method, body, respond);
                },
                [](const std::string &) {}}),
        TickTimer(loop), HeartbeatTimer(loop),
        Record(Settings.Record, std::ios::app) {
    Facts.Vm = core::VmId(Settings.Vm);
    Facts.BornMs = core::wallClockMs();
    Facts.Id =
        jobs::EndpointId(Settings.Vm + "-" + std::to_string(Facts.BornMs));
    Facts.Pool = core::PoolId(Settings.Pool);
    Facts.At = Settings.Announced;
    Facts.Rack = core::RackId(Settings.Rack);
    Facts.Zone = core::ZoneId(Settings.Zone);
    Facts.Labels = {"standard", Settings.Rack};
    Facts.Capacity = {0, MilliCpus, MemoryMb, 0};
  }

  core::Status start() {
    if (auto done = Server.listen(Settings.Listen); !done)
      return done;
    TickTimer.every(TickInterval, [this] { tick(); });
    HeartbeatTimer.every(HeartbeatInterval, [this] { heartbeat(); });
    heartbeat();
    return core::ok();
  }

private:
  void recordEvent(const char *event, const jobs::TaskRef &task, int64_t run) {
    Record << event << " " << task.Job.str() << "." << task.Occurrence << "."
           << task.Step << "." << task.Index << " " << run << " "
           << core::wallClockMs() << "\n"
           << std::flush;
  }

  void heartbeat() {
    const std::string body =
        encoding::encode(jobs::EndpointHeartbeat{Facts, ++Sequence});
    for (const auto &member : Settings.Control)
      Rpc.call(member, Method::Heartbeat, body, HeartbeatTimeout,
               [](const auto &) {});
  }

  void end(const jobs::TaskRef &task, RunEnd how) {
    const auto it = Runs.find(task);
    if (it == Runs.end())
      return;
    const int64_t number = it->second.Number;
    EndReports.push_back({++LastEndNumber, task, number, how, ""});
    LastEndedRun[task] = std::max(LastEndedRun[task], number);
    Runs.erase(it);
    recordEvent(runEndName(how), task, number);
  }

  void tick() {
    const auto now = core::monotonicNow();
    std::map<jobs::TaskRef, RunEnd> due;
    for (const auto &[task, run] : Runs) {
      if (now.Count >= Deadline)
        due[task] = RunEnd::LeaseExpired;
      else if (now >= run.EndsAt)
        due[task] = RunEnd::Done;
    }
    for (const auto &[task, how] : due)
      end(task, how);
    answerRenewals();
  }

  dispatch::RunInventory inventory(int64_t last_seen) const {
    dispatch::RunInventory out;
    out.ClockMs = core::monotonicNow().Count;
    out.BornMs = Facts.BornMs;
    for (const auto &[task, run] : Runs)
      out.Running.push_back({task, run.Number, "", 100, 0});
    for (const auto &end : EndReports)
      if (end.Number > last_seen)
        out.Ended.push_back(end);
    return out;
  }

  void answerRenewals() {
    const auto now = core::monotonicNow();
    for (auto it = Renewals.begin(); it != Renewals.end();) {
      const auto reply = inventory(it->Request.LastSeen);
      if (reply.Ended.empty() && now < it->Until) {
        ++it;
        continue;
      }
      it->Respond(endpoint::encodeRun(reply));
      it = Renewals.erase(it);
    }
  }

  OrderReply start(const dispatch::StartOrder &order) {
    const int64_t clock = core::monotonicNow().Count;
    if (order.Epoch < Epoch)
      return {OrderResult::Fenced, clock};
    Epoch = order.Epoch;
    if (order.DeadlineMs <= clock)
      return {OrderResult::Late, clock};
    Deadline = std::max(Deadline, order.DeadlineMs);
    const auto it = Runs.find(order.Task);
    if (it != Runs.end() && it->second.Number == order.Run)
      return {OrderResult::Accepted, clock};
    if (order.Run <= LastEndedRun[order.Task])
      return {OrderResult::Outdated, clock};
    const int64_t ms = std::atoll(order.Content->c_str());
    Runs[order.Task] = {order.Run,
                        core::TimeMs{clock + (ms > 0 ? ms : DefaultRunMs)}};
    recordEvent("start", order.Task, order.Run);
    return {OrderResult::Accepted, clock};
  }

  OrderReply stop(const dispatch::StopOrder &order) {
    const int64_t clock = core::monotonicNow().Count;
    if (order.Epoch < Epoch)
      return {OrderResult::Fenced, clock};
    const auto it = Runs.find(order.Task);
    if (it != Runs.end() && it->second.Number <= order.Run)
      end(order.Task, RunEnd::Stopped);
    LastEndedRun[order.Task] = std::max(LastEndedRun[order.Task], order.Run);
    return {OrderResult::Accepted, clock};
  }

  void renew(const dispatch::RenewRequest &request,
             const protocol::Responder &respond) {
    const auto now = core::monotonicNow();
    Epoch = std::max(Epoch, request.Epoch);
    Deadline = std::max(Deadline, request.DeadlineMs);
    std::erase_if(EndReports, [&](const dispatch::EndReport &end) {
      return end.Number <= request.LastSeen;
    });
    Renewals.push_back(
        {request, now + core::DurationMs{request.WaitMs}, respond});
    answerRenewals();
  }

  void onCall(Method method, const std::string &body,
              const protocol::Responder &respond) {
    if (method == Method::StartRun) {
      const auto order = endpoint::decodeRun<dispatch::StartOrder>(body);
      if (order)
        respond(endpoint::encodeRun(start(order.value())));
    } else if (method == Method::StopRun) {
      const auto order = endpoint::decodeRun<dispatch::StopOrder>(body);
      if (order)
        respond(endpoint::encodeRun(stop(order.value())));
    } else if (method == Method::RenewRuns) {
      const auto request = endpoint::decodeRun<dispatch::RenewRequest>(body);
      if (request)
        renew(request.value(), respond);
    } else {
      respond(core::Error{core::ErrorCode::NotFound, "not served here"});
    }
  }

  const Options Settings;
  jobs::EndpointFacts Facts;
  protocol::RpcClient Rpc;
  protocol::RpcServer Server;
  task::Timer TickTimer;
  task::Timer HeartbeatTimer;
  std::ofstream Record;
  int64_t Sequence = 0;
  uint64_t Epoch = 0;
  int64_t Deadline = 0;
  int64_t LastEndNumber = 0;
  std::map<jobs::TaskRef, Run> Runs;
  /// The highest run of each task that has ended or was stopped.
  std::map<jobs::TaskRef, int64_t> LastEndedRun;
  /// Ended runs that are not yet acknowledged.
  std::vector<dispatch::EndReport> EndReports;
  std::list<PendingRenewal> Renewals;
};

Options readOptions(int argc, char **argv) {
  TCLAP::CmdLine line("fake-worker: an endpoint that runs tasks", '=');
  const auto flag = [&](const char *name, const char *fallback) {
    return TCLAP::ValueArg<std::string>("", name, name, false, fallback, "text",
                                        line);
  };
  auto secret = flag("secret", "");
  auto listen = flag("listen", "");
  auto announced = flag("announce", "");
  auto control = flag("control", "");
  auto pool = flag("pool", "p");
  auto vm = flag("vm", "vm");
  auto rack = flag("rack", "r0");
  auto zone = flag("zone", "");
  auto record = flag("record", "/dev/null");
  line.parse(argc, argv);
  Options out;
  out.Secret = secret.getValue();
  out.Pool = pool.getValue();
  out.Vm = vm.getValue();
  out.Rack = rack.getValue();
  out.Zone = zone.getValue();
  out.Record = record.getValue();
  out.Listen = addressOrExit(listen.getValue());
  out.Announced = announced.getValue().empty()
                      ? out.Listen
                      : addressOrExit(announced.getValue());
  std::istringstream members(control.getValue());
  std::string item;
  while (std::getline(members, item, ','))
    out.Control.push_back(addressOrExit(item));
  return out;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  task::Loop loop;
  Worker worker(loop, readOptions(argc, argv));
  if (auto done = worker.start(); !done) {
    std::fprintf(stderr, "%s\n", done.error().Text.c_str());
    return 1;
  }
  loop.run();
  return 0;
}
