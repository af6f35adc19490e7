#include "lost_work_check.hpp"
#include "random_day.hpp"
#include "test_jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <numeric>
#include <sstream>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

constexpr int64_t Second = 1000;
// More than half of a VM, so that each VM has room for one task.
constexpr int64_t Cores = 40;
constexpr int64_t ManyAttempts = 1000;
constexpr int64_t QuickCommitMs = LostWorkCheck::QuickCommitMs;
constexpr int64_t SampleMs = 50;
// How many slow commits follow the last event.
constexpr int64_t SlowCommits = 4;
constexpr int64_t RecoveryMs = 60 * Second;
// Stands for a time that never comes.
constexpr int64_t Never = 1000 * Second;

/// When something happens, counted from an earlier event of the schedule.
enum class Since { Crash, Return, Cut, Heal };

struct Moment {
  Since From = Since::Return;
  int64_t Ms = 0;
};

/// When the task is submitted, and how long its start waits to be sent.
struct SubmitChoice {
  const char *Name;
  bool AfterReturn;
  /// From the order to the crash, or from the return to the submission.
  int64_t Ms;
  int64_t QueueMs;
};

struct ReturnChoice {
  const char *Name;
  int64_t DownMs;
  int64_t HeartbeatMs;
};

enum class CutKind { None, Both, Calls, Answers };

struct CutChoice {
  const char *Name;
  CutKind Kind;
  int64_t AfterReturnMs;
  int64_t Ms;
};

struct AgainChoice {
  const char *Name;
  bool Happens;
  Moment At;
  int64_t HeartbeatMs;
  /// The cut comes again as well, and the same tasks.
  bool CutAgain = false;
};

/// A heartbeat of the life before the last one, after the last one's first.
struct FormerChoice {
  const char *Name;
  int64_t AfterMs;
  /// It reports a drain, which the leader does not know.
  bool Drains = false;
};

struct CommitChoice {
  const char *Name;
  int64_t Ms;
};

enum class LeaderChange { None, Planned, Kill, Suspension };

struct LeaderChoice {
  const char *Name;
  LeaderChange Kind;
  Moment At;
};

struct HeldChoice {
  const char *Name;
  bool Happens;
  CallKind Kind;
  Moment From;
  /// Carried out by the life that received it.
  bool SameLife;
  /// 1 stands for the birth of the next life, if none is there.
  int64_t Ms;
};

struct TaskChoice {
  const char *Name;
  int64_t Ms;
  bool Lasting;
};

/// Where else there is room for the task.
struct RoomChoice {
  const char *Name;
  /// The other VMs come this long after the last life's first heartbeat; at
  /// once after the order if negative.
  int64_t AfterLastMs;
  /// How many further tasks of 2.5 s wait for room, and jobs of short ones.
  int64_t Others;
  /// VMs are moved to a spare pool and back.
  bool Moves;
  int64_t ShortMs = 200;
};

/// An upkeep of the VM is due 4 s after it was requested.
struct UpkeepChoice {
  const char *Name;
  bool Happens;
  Moment At;
  /// Above 0, the order gets no answer and is carried out this much later.
  int64_t OrderMs;
  bool KeepsId;
};

struct ClockChoice {
  const char *Name;
  bool LikeFormer;
  int64_t AheadMs;
  int64_t LagPerMille;
};

const std::vector<SubmitChoice> Submits = {
    {"crash 1700 ms after the order", false, 1700, 0},
    {"crash 300 ms after the order", false, 300, 0},
    {"crash with the answer in flight", false, 0, 0},
    {"crash 20 ms after the order, sent after 50", false, 20, 50},
    {"crash 20 ms after the order, sent after 300", false, 20, 300},
    {"submitted at the return", true, 0, 0},
    {"submitted 300 ms after the return", true, 300, 0},
    {"submitted 1200 ms after the return", true, 1200, 0},
};
const std::vector<ReturnChoice> Returns = {
    {"down 100, heartbeat at once", 100, 1},
    {"down 600, heartbeat at once", 600, 1},
    {"down 2000, heartbeat at once", 2000, 1},
    {"down 100, heartbeat after 1000", 100, 1000},
    {"down 600, heartbeat after 1000", 600, 1000},
    {"down 2000, heartbeat after 1000", 2000, 1000},
    {"down 100, no heartbeat before the heal", 100, Never},
    {"down 600, no heartbeat before the heal", 600, Never},
    {"down 2000, no heartbeat before the heal", 2000, Never},
};
std::vector<CutChoice> makeCuts() {
  std::vector<CutChoice> out = {{"no cut", CutKind::None, 2000, 9000}};
  static std::vector<std::string> names;
  names.reserve(64);
  const std::pair<CutKind, const char *> kinds[] = {
      {CutKind::Both, "both ways"},
      {CutKind::Calls, "calls only"},
      {CutKind::Answers, "answers only"}};
  const auto add = [&](const auto &kind, int64_t at, int64_t ms) {
    names.push_back(std::string("cut ") + kind.second + " " +
                    std::to_string(at) + " ms after the return for " +
                    std::to_string(ms));
    out.push_back({names.back().c_str(), kind.first, at, ms});
  };
  for (const auto &kind : kinds)
    for (const int64_t at : {2000, 500, 50, 0})
      for (const int64_t ms : {9000, 4000})
        add(kind, at, ms);
  // Between two renewals of an endpoint that can't be read.
  for (const auto &kind : kinds)
    add(kind, 200, 9000);
  return out;
}
const std::vector<CutChoice> Cuts = makeCuts();
const std::vector<AgainChoice> Agains = {
    {"one crash", false, {}, 0},
    {"again 2 ms after the return", true, {Since::Return, 2}, 1},
    {"again 50 ms after the return", true, {Since::Return, 50}, 1},
    {"again 700 ms after the return", true, {Since::Return, 700}, 1},
    {"again 2 ms after the return, heartbeat after 1000",
     true,
     {Since::Return, 2},
     1000},
    {"again 700 ms after the return, heartbeat after 1000",
     true,
     {Since::Return, 700},
     1000},
    {"again 1000 ms into the cut", true, {Since::Cut, 1000}, 1},
    {"again 3500 ms into the cut", true, {Since::Cut, 3500}, 1},
    {"again 20 ms before the heal", true, {Since::Heal, -20}, 1},
    {"again 20 ms after the heal", true, {Since::Heal, 20}, 1},
    {"again 20 ms after the heal, heartbeat after 1000",
     true,
     {Since::Heal, 20},
     1000},
    {"again 3000 ms after the heal, cut again",
     true,
     {Since::Heal, 3000},
     1,
     true},
    {"again 3000 ms after the heal, heartbeat after 1000, cut again",
     true,
     {Since::Heal, 3000},
     1000,
     true},
};
const std::vector<FormerChoice> Formers = {
    {"no late heartbeat", -1},
    {"former heartbeat 0 ms after the last life's", 0},
    {"former heartbeat 3 ms after the last life's", 3},
    {"former heartbeat 60 ms after the last life's", 60},
    {"former heartbeat 500 ms after the last life's", 500},
    {"former heartbeat 2500 ms after the last life's", 2500},
    {"former heartbeat with a drain 3 ms after the last life's", 3, true},
    {"former heartbeat with a drain 60 ms after the last life's", 60, true},
    {"former heartbeat with a drain 500 ms after the last life's", 500, true},
};
const std::vector<CommitChoice> Commits = {
    {"commits of 1 ms", 1},
    {"commits of 100 ms", 100},
    {"commits of 800 ms", 800},
    {"commits of 300 ms", 300},
};
std::vector<LeaderChoice> makeLeaders() {
  std::vector<LeaderChoice> out = {{"one leader", LeaderChange::None, {}}};
  static std::vector<std::string> names;
  names.reserve(64);
  const std::pair<LeaderChange, const char *> kinds[] = {
      {LeaderChange::Planned, "planned stop"},
      {LeaderChange::Kill, "kill"},
      {LeaderChange::Suspension, "suspension"}};
  const std::pair<Moment, const char *> moments[] = {
      {{Since::Crash, -10}, "10 ms before the crash"},
      {{Since::Crash, 50}, "50 ms after the crash"},
      {{Since::Return, 2}, "2 ms after the return"},
      {{Since::Return, 60}, "60 ms after the return"},
      {{Since::Return, 1100}, "1100 ms after the return"},
      {{Since::Cut, 300}, "300 ms into the cut"},
      {{Since::Cut, 3000}, "3000 ms into the cut"},
      {{Since::Heal, -100}, "100 ms before the heal"},
      {{Since::Heal, 10}, "10 ms after the heal"}};
  for (const auto &[kind, name] : kinds)
    for (const auto &[at, when] : moments) {
      names.push_back(std::string(name) + " of the leader " + when);
      out.push_back({names.back().c_str(), kind, at});
    }
  return out;
}
const std::vector<LeaderChoice> Leaders = makeLeaders();
std::vector<HeldChoice> makeHeld() {
  std::vector<HeldChoice> out = {
      {"no call is late", false, CallKind::Start, {}, false, 0}};
  static std::vector<std::string> names;
  names.reserve(512);
  const std::pair<CallKind, const char *> kinds[] = {
      {CallKind::Start, "start"},
      {CallKind::Renew, "renewal"},
      {CallKind::Stop, "stop"}};
  const std::pair<Moment, const char *> moments[] = {
      {{Since::Crash, -Never}, "the first"},
      {{Since::Crash, -5}, "the first from 5 ms before the crash"},
      {{Since::Crash, 1}, "the first after the crash"},
      {{Since::Return, 1}, "the first after the return"},
      {{Since::Cut, -1}, "the first in the cut"},
      {{Since::Heal, 0}, "the first after the heal"}};
  for (const auto &[kind, name] : kinds)
    for (const auto &[from, when] : moments)
      for (const bool same : {true, false})
        for (const int64_t ms : {1, 300, 1200, 3000, 5000, 7500, 9500, 11500}) {
          if (same && ms == 1)
            continue;
          names.push_back(std::string(name) + " (" + when +
                          ") carried out after " + std::to_string(ms) +
                          (same ? " by the life that received it"
                                : " by whichever life is there"));
          out.push_back({names.back().c_str(), true, kind, from, same, ms});
        }
  return out;
}
const std::vector<HeldChoice> Held = makeHeld();
const std::vector<TaskChoice> Tasks = {
    {"task of 7 s", 7000, false}, {"task of 4 s", 4000, false},
    {"task of 1 s", 1000, false}, {"task of 25 s", 25000, false},
    {"lasting task", 0, true},
};
std::vector<UpkeepChoice> makeUpkeeps() {
  std::vector<UpkeepChoice> out = {{"no upkeep", false, {}, 0, false}};
  static std::vector<std::string> names;
  names.reserve(64);
  const std::pair<Moment, const char *> moments[] = {
      {{Since::Crash, -1500}, "1500 ms before the crash"},
      {{Since::Return, 50}, "50 ms after the return"},
      {{Since::Return, 1200}, "1200 ms after the return"},
      {{Since::Cut, 300}, "300 ms into the cut"},
      {{Since::Heal, 20}, "20 ms after the heal"}};
  for (const auto &[at, when] : moments)
    for (const int64_t ms : {0, 1, 2000, 5000})
      for (const bool keeps : {true, false}) {
        names.push_back(
            std::string("upkeep requested ") + when +
            (ms == 0 ? ", answered"
                     : ", no answer, carried out after " + std::to_string(ms)) +
            (keeps ? ", back under its id" : ", back under another id"));
        out.push_back({names.back().c_str(), true, at, ms, keeps});
      }
  return out;
}
const std::vector<UpkeepChoice> Upkeeps = makeUpkeeps();
const std::vector<RoomChoice> Rooms = {
    {"room elsewhere at once", -1, 0, false},
    {"room elsewhere 1200 ms after the last life's heartbeat", 1200, 0, false},
    {"short and long tasks wait for room", -1, 9, false},
    {"VMs move to the spare pool and back", -1, 0, true},
    {"very short and long tasks wait for room", -1, 9, false, 15},
};
const std::vector<ClockChoice> Clocks = {
    {"clock from 0", false, 0, 0},
    {"clock goes on", true, 0, 0},
    {"clock goes on 400 ms behind", true, -400, 0},
    {"clock goes on 1500 ms ahead", true, 1500, 0},
    {"clock from 0, 20 per mille slow", false, 0, 20},
};

/// The parts of a schedule, in the order of Schedule. A choice of 0 stands for
/// nothing unusual.
enum Part {
  PartSubmit,
  PartReturn,
  PartCut,
  PartAgain,
  PartFormer,
  PartCommit,
  PartLeader,
  PartHeld,
  PartTask,
  PartClock,
  PartRoom,
  PartUpkeep,
  PartCount
};

using Schedule = std::array<size_t, PartCount>;

size_t choicesOf(size_t part) {
  const size_t n[] = {Submits.size(), Returns.size(), Cuts.size(),
                      Agains.size(),  Formers.size(), Commits.size(),
                      Leaders.size(), Held.size(),    Tasks.size(),
                      Clocks.size(),  Rooms.size(),   Upkeeps.size()};
  return n[part];
}

std::string nameOf(const Schedule &at, size_t part) {
  const char *const names[] = {
      Submits[at[PartSubmit]].Name, Returns[at[PartReturn]].Name,
      Cuts[at[PartCut]].Name,       Agains[at[PartAgain]].Name,
      Formers[at[PartFormer]].Name, Commits[at[PartCommit]].Name,
      Leaders[at[PartLeader]].Name, Held[at[PartHeld]].Name,
      Tasks[at[PartTask]].Name,     Clocks[at[PartClock]].Name,
      Rooms[at[PartRoom]].Name,     Upkeeps[at[PartUpkeep]].Name};
  return names[part];
}

std::string numbers(const Schedule &at) {
  std::string out;
  for (const size_t choice : at)
    out += (out.empty() ? "" : ",") + std::to_string(choice);
  return out;
}

std::string describe(const Schedule &at) {
  std::string out = numbers(at) + ":";
  for (size_t part = 0; part < PartCount; ++part)
    if (at[part] != 0 || part <= PartReturn)
      out += " " + nameOf(at, part) + ";";
  return out;
}

/// A choice that has no effect without another one: the schedule equals a
/// simpler one.
bool isRedundant(const Schedule &at) {
  const bool cut = Cuts[at[PartCut]].Kind != CutKind::None;
  const auto needs_cut = [](const Moment &moment) {
    return moment.From == Since::Cut || moment.From == Since::Heal;
  };
  if (!cut && Agains[at[PartAgain]].Happens &&
      needs_cut(Agains[at[PartAgain]].At))
    return true;
  if (!cut && at[PartLeader] != 0 && needs_cut(Leaders[at[PartLeader]].At))
    return true;
  if (!cut && at[PartUpkeep] != 0 && needs_cut(Upkeeps[at[PartUpkeep]].At))
    return true;
  if (!cut && at[PartHeld] != 0 && needs_cut(Held[at[PartHeld]].From))
    return true;
  return false;
}

struct Outcome {
  std::vector<std::string> Broken;
  int64_t LateCalls = 0;
  std::string Log;
};

/// Plays one schedule on a fleet of its own. The task is ordered while the VM
/// is the only one; two others have room for it from then on.
class SchedulePlayer {
public:
  explicit SchedulePlayer(const Schedule &schedule, bool skips_idle_time = true)
      : Submit(Submits[schedule[PartSubmit]]),
        Back(Returns[schedule[PartReturn]]), Cut(Cuts[schedule[PartCut]]),
        Again(Agains[schedule[PartAgain]]),
        Former(Formers[schedule[PartFormer]]),
        Commit(Commits[schedule[PartCommit]]),
        Leader(Leaders[schedule[PartLeader]]), Late(Held[schedule[PartHeld]]),
        Task(Tasks[schedule[PartTask]]), Clock(Clocks[schedule[PartClock]]),
        Room(Rooms[schedule[PartRoom]]), Upkeep(Upkeeps[schedule[PartUpkeep]]),
        Fl(1), Vm(Fl.VmIds[0]) {
    Fl.SkipsIdleTime = skips_idle_time;
    Fl.OnLogLine = [this](const std::string &line) {
      Log += std::to_string(Fl.sinceStart()) + " " + line + "\n";
    };
    Fl.configure([this](jobs::FleetConfig &config) {
      if (!Room.Moves)
        config.Pools.resize(1);
      config.Queues.at(0).MaxAttempts = ManyAttempts;
      // No job is refused.
      config.Queues.at(0).TargetMs = Never;
    });
    Fl.CommitMs = Commit.Ms;
    Fl.advance(1600);
  }

  Outcome play() {
    if (Submit.AfterReturn) {
      armHeld(Moment{Since::Crash, -Never});
      plan(Fl.now() + 10);
      at(ReturnAt + Submit.Ms, [this] { submit(); });
      // The other VMs come once the task has been ordered here, or can't be.
      at(ReturnAt + Submit.Ms + Commit.Ms + 100, [this] { addVms(); });
    } else {
      armHeld(Moment{Since::Crash, -Never});
      Fl.OrderQueueMs = Submit.QueueMs;
      submit();
      while (Fl.dispatcher().endpoints().begin()->second.Runs.empty())
        Fl.advance(1);
      plan(Fl.now() + Submit.Ms);
      at(Fl.now() + Submit.QueueMs + 1, [this] {
        Fl.OrderQueueMs = 0;
        addVms();
      });
    }
    while (Fl.now() < LastFault)
      Fl.advance(std::min(SampleMs, LastFault - Fl.now()));
    if (Commit.Ms > QuickCommitMs)
      Fl.advance(SlowCommits * Commit.Ms);
    Fl.CommitMs = QuickCommitMs;
    recover();
    Outcome out;
    out.Broken = Fl.Violations;
    checkJobs(Fl.ledger(), out.Broken);
    const auto &lost = LostWork.violations();
    out.Broken.insert(out.Broken.end(), lost.begin(), lost.end());
    out.LateCalls = Fl.LateCalls;
    out.Log = Log;
    return out;
  }

private:
  void at(int64_t time, std::function<void()> fn) {
    Fl.schedule(std::max<int64_t>(time - Fl.now(), 0), std::move(fn));
    LastFault = std::max(LastFault, time);
  }

  void submit() {
    if (!Fl.hasLeader())
      return;
    Fl.submitAsync(jobId(1), Task.Lasting ? longRunning(1, 1)
                                          : oneStep(1, Cores, Task.Ms));
  }

  // An inventory follows each end, so that it lists the runs that go on.
  void submitOthers() {
    constexpr int64_t LongMs = 2500;
    constexpr int64_t FewCores = 20;
    if (Room.Others == 0 || !Fl.hasLeader())
      return;
    Fl.submitAsync(jobId(NextJob++), oneStep(Room.Others, FewCores, LongMs));
    for (int64_t i = 0; i < Room.Others; ++i)
      Fl.submitAsync(jobId(NextJob++), oneStep(4, FewCores, Room.ShortMs));
  }

  void addVms() {
    submitOthers();
    if (Room.AfterLastMs >= 0)
      at(std::max(Fl.now(), LastFirst + Room.AfterLastMs),
         [this] { bringVms(); });
    else
      bringVms();
  }

  void bringVms() {
    for (int i = 0; i < 2; ++i)
      Fl.VmIds.push_back(Fl.addVm("p"));
  }

  int64_t timeOf(const Moment &moment) const {
    const int64_t from[] = {CrashAt, ReturnAt, CutAt, HealAt};
    return from[size_t(moment.From)] + moment.Ms;
  }

  void plan(int64_t crash_at) {
    CrashAt = crash_at;
    ReturnAt = CrashAt + Back.DownMs;
    const bool cut = Cut.Kind != CutKind::None;
    CutAt = ReturnAt + Cut.AfterReturnMs;
    HealAt = cut ? CutAt + Cut.Ms : CutAt;
    int64_t first = ReturnAt + heartbeatMs(Back.HeartbeatMs, ReturnAt);
    at(CrashAt, [this] { crash(Back.DownMs, Back.HeartbeatMs); });
    if (Again.Happens) {
      constexpr int64_t DownMs = 100;
      const int64_t again = std::max(timeOf(Again.At), ReturnAt + 2);
      at(again, [this] { crash(DownMs, Again.HeartbeatMs); });
      first = again + DownMs + heartbeatMs(Again.HeartbeatMs, again + DownMs);
    }
    at(first, [] {});
    LastFirst = first;
    if (Former.AfterMs >= 0)
      at(first + Former.AfterMs + 1, [this] { sendFormerHeartbeat(); });
    if (cut) {
      at(CutAt, [this] { setCut(Cut.Kind); });
      at(HealAt, [this] { setCut(CutKind::None); });
      if (Again.CutAgain) {
        const int64_t again = timeOf(Again.At) + 100;
        at(again, [this] { submitOthers(); });
        at(again + Cut.AfterReturnMs, [this] { setCut(Cut.Kind); });
        at(again + Cut.AfterReturnMs + Cut.Ms,
           [this] { setCut(CutKind::None); });
      }
      // A life that was born between the two.
      if (Again.Happens)
        at(HealAt + 200, [this] { setCut(CutKind::None); });
    }
    if (Leader.Kind != LeaderChange::None)
      at(timeOf(Leader.At), [this] { changeLeader(); });
    if (Upkeep.Happens) {
      Fl.KeepsIds = Upkeep.KeepsId;
      Fl.VmOrderDelayMs = Upkeep.OrderMs;
      at(std::max(Fl.now(), timeOf(Upkeep.At)), [this] { requestUpkeep(); });
      at(timeOf(Upkeep.At) + UpkeepMs + 2 * Upkeep.OrderMs + 3 * Second,
         [this] { Fl.VmOrderDelayMs = 0; });
    }
    if (Late.Happens && timeOf(Late.From) > Fl.now())
      at(timeOf(Late.From), [this] { arm(); });
    else if (Late.Happens && Late.From.Ms > -Never)
      arm();
    if (Late.Happens)
      at(std::max({HealAt, first, timeOf(Late.From)}) + Late.Ms + Second,
         [this] { Fl.clearFaults(Vm); });
  }

  // The first call of all is held before anything is planned.
  void armHeld(const Moment &from) {
    if (Late.Happens && Late.From.Ms == from.Ms)
      arm();
  }

  void arm() {
    CallFault fault;
    (Late.SameLife ? fault.LateMs : fault.KeptMs) = Late.Ms;
    Fl.addFault(Vm, Late.Kind, fault);
  }

  int64_t heartbeatMs(int64_t ms, int64_t born) const {
    return ms == Never ? std::max<int64_t>(HealAt + 100 - born, 100) : ms;
  }

  void crash(int64_t down_ms, int64_t heartbeat_ms) {
    if (!Fl.isUp(Vm))
      return;
    auto &endpoint = Fl.endpointOf(Vm);
    FormerFacts = endpoint.Facts;
    TestFleet::Return as;
    as.DownMs = down_ms;
    as.HeartbeatDelayMs = heartbeatMs(heartbeat_ms, Fl.now() + down_ms);
    if (Clock.LikeFormer)
      as.ClockMs = std::max<int64_t>(0, endpoint.clock(Fl.now()) + down_ms +
                                            Clock.AheadMs);
    as.ClockLagPerMille = Clock.LagPerMille;
    Fl.restartWithSameId(Vm, as);
  }

  void sendFormerHeartbeat() {
    // The last that this life sent.
    constexpr int64_t LateSequence = 1 << 30;
    FormerFacts.Draining = Former.Drains;
    if (Fl.hasLeader())
      Fl.dispatcher().handleHeartbeat(FormerFacts, LateSequence,
                                      [](const core::Status &) {});
  }

  void setCut(CutKind kind) {
    if (!Fl.isUp(Vm))
      return;
    auto &endpoint = Fl.endpointOf(Vm);
    endpoint.Unreachable = kind == CutKind::Both;
    endpoint.CallsLost = kind == CutKind::Calls;
    endpoint.AnswersLost = kind == CutKind::Answers;
  }

  void requestUpkeep() {
    jobs::WaveRecord wave;
    wave.Number = 1;
    wave.Vms = {Vm};
    wave.UpperLimit = 1;
    wave.DurationMs = UpkeepMs;
    wave.StartedWallMs = Fl.now();
    if (Fl.hasLeader())
      Fl.dispatcher().startWave(wave, [](const core::Status &) {});
  }

  void changeLeader() {
    constexpr int64_t WithoutMs = 300;
    constexpr int64_t SuspendedMs = 900;
    constexpr int64_t HandOverMs = 700;
    switch (Leader.Kind) {
    case LeaderChange::None:
      return;
    case LeaderChange::Suspension:
      Fl.MayAct = false;
      at(Fl.now() + SuspendedMs, [this] { Fl.MayAct = true; });
      return;
    case LeaderChange::Kill:
      endTerm(WithoutMs);
      return;
    case LeaderChange::Planned: {
      const auto ready = std::make_shared<bool>(false);
      Fl.dispatcher().prepareHandOver([ready] { *ready = true; });
      for (int64_t ms = 0; ms <= HandOverMs; ms += 10)
        at(Fl.now() + ms, [this, ready, ms] {
          if (!HandedOver && (*ready || ms == HandOverMs)) {
            HandedOver = true;
            endTerm(100);
          }
        });
      return;
    }
    }
  }

  void endTerm(int64_t without_ms) {
    Fl.stopLeading();
    at(Fl.now() + without_ms, [this] { Fl.lead(); });
  }

  void recover() {
    const auto is_open = [](const auto &row) {
      return row.second.isOpen() && !row.second.Spec->Steps.at(0).LongRunning;
    };
    constexpr int64_t LeastMs = 8 * Second;
    const auto &jobs = Fl.ledger().Jobs;
    for (int64_t ms = 0; ms < RecoveryMs; ms += SampleMs) {
      if (ms >= LeastMs && std::none_of(jobs.begin(), jobs.end(), is_open) &&
          (!Task.Lasting || ms >= 2 * LeastMs))
        return;
      Fl.advance(SampleMs);
      LostWork.sample(Fl, Fl.VmIds);
    }
  }

  static constexpr int64_t UpkeepMs = 4 * Second;
  const SubmitChoice &Submit;
  const ReturnChoice &Back;
  const CutChoice &Cut;
  const AgainChoice &Again;
  const FormerChoice &Former;
  const CommitChoice &Commit;
  const LeaderChoice &Leader;
  const HeldChoice &Late;
  const TaskChoice &Task;
  const ClockChoice &Clock;
  const RoomChoice &Room;
  const UpkeepChoice &Upkeep;
  std::string Log;
  Fleet Fl;
  core::VmId Vm;
  LostWorkCheck LostWork;
  jobs::EndpointFacts FormerFacts;
  bool HandedOver = false;
  int64_t NextJob = 2;
  int64_t CrashAt = 0;
  int64_t ReturnAt = 0;
  int64_t CutAt = 0;
  int64_t HealAt = 0;
  int64_t LastFault = 0;
  /// When the first heartbeat of the last life comes.
  int64_t LastFirst = 0;
};

/// The schedules to play: those in which each part of Varied takes any of its
/// choices, and the others that of Base. At most Bound parts beside the crash
/// itself differ from Base.
struct Space {
  Schedule Base{};
  size_t Bound = 0;
  std::vector<std::pair<Part, std::vector<size_t>>> Varied;
};

std::vector<size_t> allChoices(Part part) {
  std::vector<size_t> out(choicesOf(part));
  std::iota(out.begin(), out.end(), 0);
  return out;
}

/// The late calls of a kind, carried out by the life that received them or by
/// whichever is there.
std::vector<size_t> lateCalls(CallKind kind, bool same_life) {
  std::vector<size_t> out = {0};
  for (size_t i = 1; i < Held.size(); ++i)
    if (Held[i].Kind == kind && Held[i].SameLife == same_life)
      out.push_back(i);
  return out;
}

std::vector<size_t> cutsOf(CutKind kind) {
  std::vector<size_t> out = {0};
  for (size_t i = 1; i < Cuts.size(); ++i)
    if (Cuts[i].Kind == kind)
      out.push_back(i);
  return out;
}

void enumerate(const Space &space,
               const std::function<void(const Schedule &)> &visit) {
  Schedule at = space.Base;
  std::function<void(size_t, size_t)> choose = [&](size_t i, size_t used) {
    if (i == space.Varied.size()) {
      if (!isRedundant(at))
        visit(at);
      return;
    }
    const auto &[part, choices] = space.Varied[i];
    for (const size_t choice : choices) {
      const bool counts = choice != space.Base[part] && part >= PartCut;
      if (used + size_t(counts) > space.Bound)
        continue;
      at[part] = choice;
      choose(i + 1, used + size_t(counts));
    }
    at[part] = space.Base[part];
  };
  choose(0, 0);
}

Schedule parse(const char *text) {
  Schedule out{};
  std::istringstream in(text);
  std::string part;
  for (size_t i = 0; i < PartCount && std::getline(in, part, ','); ++i)
    out[i] = std::min<size_t>(std::stoul(part), choicesOf(i) - 1);
  return out;
}

/// A part of the schedule can be left out, and it is still violated.
bool canBeShortened(const Schedule &at, const Schedule &base) {
  for (size_t part = PartCut; part < PartCount; ++part) {
    Schedule simpler = at;
    simpler[part] = base[part];
    if (simpler != at && !isRedundant(simpler) &&
        !SchedulePlayer(simpler).play().Broken.empty())
      return true;
  }
  return false;
}

/// Plays all schedules of the space and reports those that are violated, each
/// with the numbers by which the case "one schedule" plays it again.
void playAll(const Space &space) {
  constexpr size_t MostReported = 20;
  int64_t count = 0;
  int64_t late = 0;
  size_t violated = 0;
  size_t reported = 0;
  const bool all = std::getenv("ALMONDGATE_MODEL") != nullptr;
  enumerate(space, [&](const Schedule &at) {
    ++count;
    const auto outcome = SchedulePlayer(at).play();
    late += outcome.LateCalls > 0 ? 1 : 0;
    if (outcome.Broken.empty())
      return;
    ++violated;
    if ((!all && reported == MostReported) || canBeShortened(at, space.Base))
      return;
    ++reported;
    FAIL_CHECK(describe(at) << " " << outcome.Broken.front());
  });
  // Those that can be shortened fail as well.
  CHECK(violated == 0);
  MESSAGE(count, " schedules, ", late, " with late calls, ", violated,
          " violated");
}

// Many tasks, so that an inventory lists those that go on and each life gets
// work at once.
Schedule busyFleet() {
  Schedule out{};
  out[PartRoom] = 2;
  return out;
}

} // namespace

// ALMONDGATE_SCHEDULE=NUMBERS plays the schedule that was reported with them.
TEST_CASE("incarnation model: one schedule") {
  const char *text = std::getenv("ALMONDGATE_SCHEDULE");
  if (!text)
    return;
  const Schedule at = parse(text);
  const auto outcome = SchedulePlayer(at).play();
  for (const auto &broken : outcome.Broken)
    FAIL_CHECK(describe(at) << " " << broken);
}

// ALMONDGATE_MODEL="BOUND PART..." plays a larger space, in which the parts
// take all choices, from the schedule ALMONDGATE_MODEL_BASE=NUMBERS on.
// ALMONDGATE_MODEL_LATE=KIND SAME allows late calls of one kind only.
TEST_CASE("incarnation model: a space of one's choice") {
  const char *text = std::getenv("ALMONDGATE_MODEL");
  if (!text)
    return;
  std::istringstream in(text);
  Space space;
  in >> space.Bound;
  for (int part = 0; in >> part;)
    space.Varied.emplace_back(Part(part), allChoices(Part(part)));
  if (const char *base = std::getenv("ALMONDGATE_MODEL_BASE"))
    space.Base = parse(base);
  if (const char *late = std::getenv("ALMONDGATE_MODEL_LATE")) {
    std::istringstream kinds(late);
    int kind = 0;
    bool same_life = false;
    kinds >> kind >> same_life;
    space.Varied.emplace_back(PartHeld, lateCalls(CallKind(kind), same_life));
  }
  playAll(space);
}

TEST_CASE("incarnation model: idle time that is passed over changes nothing") {
  const char *const schedules[] = {
      "0,1,1,0,0,0,0,0,0,0,2,0",   "4,3,25,0,0,0,0,5,0,4,0,0",
      "0,3,0,3,4,2,0,0,0,0,2,0",   "0,3,5,0,0,0,0,15,0,0,1,0",
      "2,4,17,7,0,1,3,0,4,4,3,12", "5,1,9,0,0,0,12,200,2,1,2,5"};
  for (const char *text : schedules) {
    CAPTURE(text);
    const auto quick = SchedulePlayer(parse(text), true).play();
    const auto slow = SchedulePlayer(parse(text), false).play();
    CHECK(quick.Broken == slow.Broken);
    const bool same_log = quick.Log == slow.Log;
    CHECK(same_log);
  }
}

// Guards against tasks that ran twice or stood still after an endpoint came
// back under its id and was cut off, with no call late.
TEST_CASE("incarnation model: a life that is cut off soon after its start") {
  playAll({busyFleet(),
           2,
           {{PartReturn, {1, 4}},
            {PartCut, {0, 1, 2, 3, 5, 7, 9, 13, 17, 21, 25}},
            {PartAgain, {0, 1, 3, 5, 6, 8, 9, 11}},
            {PartCommit, {0, 2}}}});
}

// As above, with changes of leader.
TEST_CASE("incarnation model: a change of leader beside a restart") {
  playAll({busyFleet(),
           2,
           {{PartReturn, {1}},
            {PartCut, {0, 1, 4, 9, 17}},
            {PartLeader, allChoices(PartLeader)},
            {PartCommit, {0, 2}}}});
}

// As above, with an upkeep of the VM, whose endpoint comes back.
TEST_CASE("incarnation model: an upkeep beside a restart") {
  playAll({busyFleet(),
           2,
           {{PartReturn, {1}},
            {PartCut, {0, 1, 4, 9, 17}},
            {PartUpkeep, allChoices(PartUpkeep)}}});
}

// Guards against tasks that ran twice: the heartbeat of a former life was
// recorded while the newer one's record was not durable, and displaced it.
TEST_CASE("incarnation model: a heartbeat of a former life that comes late") {
  playAll({busyFleet(),
           3,
           {{PartReturn, {0, 1, 3}},
            {PartAgain, {0, 1, 3, 4, 5}},
            {PartFormer, allChoices(PartFormer)},
            {PartCommit, {0, 1, 2}}}});
}

// Guards against tasks that ran twice: a read of one life was taken to rule out
// a start that the next one carried out.
TEST_CASE("incarnation model: a start that a later life carries out") {
  playAll({{},
           2,
           {{PartReturn, {3, 6}},
            {PartCut, {0, 1, 5, 13}},
            {PartHeld, lateCalls(CallKind::Start, false)}}});
}

// As above, for a start that an unknown life received, which carries it out
// before it is heard of.
TEST_CASE("incarnation model: a start that an unknown life carries out late") {
  Schedule base{};
  base[PartSubmit] = 4;
  playAll({base,
           2,
           {{PartReturn, {3, 6}},
            {PartCut, {0, 3, 5, 25, 26}},
            {PartHeld, lateCalls(CallKind::Start, true)}}});
}

// As above, for a long-running task, whose start an incarnation carries out
// that no call reaches while its heartbeats arrive.
TEST_CASE("incarnation model: a lasting start that a heard life carries out") {
  Schedule base{};
  base[PartSubmit] = 4;
  base[PartTask] = 4;
  playAll({base,
           2,
           {{PartReturn, {0, 1, 3, 4}},
            {PartCut, cutsOf(CutKind::Calls)},
            {PartHeld, lateCalls(CallKind::Start, true)}}});
}

// As above, with a leader that is killed while the start is open.
TEST_CASE("incarnation model: a start of a killed leader at a heard life") {
  Schedule base{};
  base[PartSubmit] = 4;
  std::vector<size_t> kills = {0};
  for (size_t i = 1; i < Leaders.size(); ++i)
    if (Leaders[i].Kind == LeaderChange::Kill)
      kills.push_back(i);
  playAll({base,
           3,
           {{PartReturn, {3}},
            {PartCut, {13, 15, 26}},
            {PartLeader, kills},
            {PartHeld, lateCalls(CallKind::Start, true)}}});
}

// As above, for renewals.
TEST_CASE("incarnation model: a renewal that is carried out late") {
  for (const bool same_life : {true, false})
    playAll({{},
             2,
             {{PartReturn, {3}},
              {PartCut, {0, 5}},
              {PartHeld, lateCalls(CallKind::Renew, same_life)}}});
}
