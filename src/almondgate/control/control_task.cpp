#include "almondgate/control/control_task.hpp"
#include "almondgate/core/invariant.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/jobs/endpoint_heartbeat.hpp"
#include "almondgate/task/loop.hpp"

#include "control_errors.hpp"

#include <set>
#include <unistd.h>

namespace almondgate::control {

using consensus::MemberReplacement;
using consensus::Membership;
using consensus::Message;
using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::Result;
using protocol::Method;
using protocol::Responder;

namespace {

constexpr DurationMs TickInterval{10};
constexpr DurationMs JobsInterval{50};
constexpr DurationMs JoinInterval{500};
constexpr DurationMs ForwardTimeout{900};
constexpr DurationMs MessageTimeout{2000};
constexpr DurationMs IdentityTimeout{2000};
constexpr size_t WrittenCapacity = 16;

ControlOptions coreOptions(const config::ControlSettings &settings) {
  ControlOptions options;
  if (settings.ToleratedLosses >= 0)
    options.Voters = 2 * size_t(settings.ToleratedLosses) + 1;
  return options;
}

} // namespace

ControlTask::ControlTask(task::Loop &loop,
                         const config::ControlSettings &settings,
                         std::unique_ptr<storage::Store> store,
                         OnFailure failed, dispatch::DispatcherHooks gateway)
    : Settings(settings), Identity(store->identity()),
      Found(store->takeState()), Failed(std::move(failed)),
      Random(std::random_device{}()), Rpc(loop, {settings.Common.Secret}),
      Inner(loop, {settings.Common.Secret}, serverHooks()),
      Written(loop, WrittenCapacity,
              [this](const core::Status &status) { onWritten(status); }),
      Storage(std::move(store),
              [this](const core::Status &status) {
                core::invariant(Written.post(status), "a write's end is lost");
              }),
      Loop(loop),
      Core(coreOptions(settings), {.Self = Identity}, coreHooks(), Found),
      Jobs({.Holder = settings.Name}, dispatcherHooks(std::move(gateway)),
           Core.state().Jobs),
      Ticker(loop) {}

core::Status ControlTask::start() {
  if (auto listening = Inner.listen(Settings.Common.Inner); !listening)
    return listening;
  Ticker.every(TickInterval, [this] { onTick(); });
  return core::ok();
}

std::string ControlTask::notReady() const {
  const auto &node = Core.node();
  if (!consensus::isVoter(node.membership(), Identity))
    return "member " + Identity.str() + " has no vote";
  return node.leader().empty() ? "no leader is known" : "";
}

std::string ControlTask::metricsText() const {
  const auto &node = Core.node();
  std::string out;
  const auto line = [&](const char *name, uint64_t n) {
    out += std::string("almondgate_control_") + name + " " + std::to_string(n) +
           "\n";
  };
  line("leads", Core.leads() ? 1 : 0);
  line("term", node.term());
  line("commit_index", node.commitIndex());
  line("last_index", node.lastIndex());
  line("disk_full", DiskFull ? 1 : 0);
  line("revision", Core.state().View.Revision);
  const auto &ledger = Core.state().Jobs;
  line("epoch", ledger.Epoch);
  line("config_version", ledger.Config.Version);
  line("jobs_remembered", ledger.Jobs.size());
  line("endpoints", ledger.Endpoints.size());
  line("log_lines_dropped", uint64_t(observe::droppedLines()));
  return out + Metrics.text();
}

ControlHooks ControlTask::coreHooks() {
  ControlHooks hooks;
  hooks.Node.Now = core::monotonicNow;
  hooks.Node.Random = [this](int64_t limit) {
    return std::uniform_int_distribution<int64_t>(0, limit - 1)(Random);
  };
  hooks.Node.EncodeMembership = [](const Membership &members) {
    return encoding::encode(members);
  };
  hooks.Node.DecodeMembership = [](const std::string &bytes) {
    const auto members = encoding::decode<Membership>(bytes);
    core::invariant(bool(members), "a membership can't be decoded");
    return members.value();
  };
  hooks.WallClock = core::wallClockMs;
  hooks.Send = [this](const Message &message) { send(message); };
  hooks.Persist = [this](consensus::DurableBatch batch) {
    core::invariant(Storage.write(std::move(batch)), "two batches at once");
  };
  hooks.AskIdentity = [this](const core::Address &at, auto done) {
    Rpc.call(at, Method::Identity, "", IdentityTimeout,
             [done](const Result<std::string> &reply) {
               if (reply)
                 done(consensus::MemberId(reply.value()));
               else
                 done(reply.error());
             });
  };
  hooks.EncodeChange = encoding::encode<state::Change>;
  hooks.DecodeChange = [](const std::string &bytes) {
    return encoding::decode<state::Change>(bytes);
  };
  hooks.EncodeState = encoding::encode<state::State>;
  hooks.DecodeState = [](const std::string &bytes) {
    return encoding::decode<state::State>(bytes);
  };
  hooks.OnJobEvent = [this](const jobs::Event &event) { Jobs.applied(event); };
  hooks.OnLeading = [this](bool leads) { onLeading(leads); };
  hooks.Log = observe::infoLine("control");
  return hooks;
}

dispatch::DispatcherHooks
ControlTask::dispatcherHooks(dispatch::DispatcherHooks gateway) {
  gateway.Now = core::monotonicNow;
  gateway.WallClock = core::wallClockMs;
  gateway.MayAct = [this] { return Core.holdsLease(); };
  gateway.Record = [this](const std::vector<jobs::Event> &events, auto done) {
    Core.recordJobs(events, std::move(done));
  };
  gateway.After = [this](DurationMs delay, std::function<void()> fn) {
    Loop.defer(std::move(fn), delay);
  };
  gateway.Count = [this](const char *name, const char *label,
                         const char *value) {
    Metrics.count(name, label, value);
  };
  gateway.Time = [this](const char *name, int64_t ms) {
    Metrics.time(name, double(ms));
  };
  gateway.Log = observe::infoLine("jobs");
  return gateway;
}

// An epoch of its own, once durable, fences the orders of earlier leaders.
void ControlTask::onLeading(bool leads) {
  if (!leads) {
    Jobs.end();
    return;
  }
  Core.recordJobs({jobs::EpochBegun{Identity.str()}}, [this](bool durable) {
    if (durable && Core.leads())
      Jobs.begin(Core.state().Jobs.Epoch);
  });
}

void ControlTask::onTick() {
  Core.tick();
  const auto now = core::monotonicNow();
  if (now >= JobsDue) {
    JobsDue = now + JobsInterval;
    Jobs.tick();
  }
  if (now >= JoinDue && Settings.ToleratedLosses >= 0) {
    JoinDue = now + JoinInterval;
    askToJoin();
  }
}

// Only a voter that hears a leader is sure of its place.
void ControlTask::askToJoin() {
  const auto &node = Core.node();
  const bool settled =
      consensus::isVoter(node.membership(), Identity) && !node.leader().empty();
  if (settled)
    return;
  const std::string body = encoding::encode(
      consensus::Member{Identity, Settings.Common.Inner, false});
  std::set<core::Address> peers(Settings.Common.Control.begin(),
                                Settings.Common.Control.end());
  for (const auto &member : node.membership().Members)
    peers.insert(member.Inner);
  peers.erase(Settings.Common.Inner);
  for (const auto &peer : peers)
    Rpc.call(peer, Method::Join, body, IdentityTimeout, [](const auto &) {});
}

std::optional<core::Address> ControlTask::leaderInner() const {
  const auto *member =
      consensus::findMember(Core.node().membership(), Core.node().leader());
  return member ? std::optional(member->Inner) : std::nullopt;
}

void ControlTask::ask(Method method, std::string body, const Responder &done) {
  if (Core.leads()) {
    onCall(method, body, done);
    return;
  }
  const auto leader = leaderInner();
  if (!leader || *leader == Settings.Common.Inner) {
    done(Error{ErrorCode::NotLeader, "no leader is known"});
    return;
  }
  Rpc.call(*leader, method, std::move(body), ForwardTimeout, done);
}

void ControlTask::send(const Message &message) {
  const auto *member =
      consensus::findMember(Core.node().membership(), message.To);
  const auto heard = Heard.find(message.To);
  if (!member && heard == Heard.end())
    return;
  Message out = message;
  out.Inner = Settings.Common.Inner;
  // A lost message is made good by the next heartbeat.
  Rpc.call(member ? member->Inner : heard->second, Method::Consensus,
           encoding::encode(out), MessageTimeout, [](const auto &) {});
}

void ControlTask::onWritten(const core::Status &status) {
  const bool full = !status && status.error().Code == ErrorCode::NoSpace;
  if (full)
    observe::logError("storage", status.error().Text +
                                     "; this member acknowledges nothing "
                                     "until there is room");
  else if (DiskFull)
    observe::logInfo("storage", "there is room again");
  DiskFull = full;
  if (status)
    Core.persisted();
  else if (!full)
    Failed(status.error());
}

protocol::RpcServerHooks ControlTask::serverHooks() {
  return {[this](Method method, const std::string &body,
                 const Responder &respond) { onCall(method, body, respond); },
          [](const std::string &why) {
            observe::logWarn("inner", "call refused: " + why);
          }};
}

namespace {

/// Passes a result on, encoded.
template <class T> auto encoded(const Responder &respond) {
  return [respond](const Result<T> &result) {
    if (result)
      respond(encoding::encode(result.value()));
    else
      respond(result.error());
  };
}

/// Decodes a call's body and hands it on, or answers with the error.
template <class T, class Serve>
void withDecoded(const std::string &body, const Responder &respond,
                 const Serve &serve) {
  const auto decoded = encoding::decode<T>(body);
  if (decoded)
    serve(decoded.value());
  else
    respond(decoded.error());
}

} // namespace

bool ControlTask::onJobCall(Method method, const std::string &body,
                            const Responder &respond) {
  const auto told = [respond](const core::Status &status) {
    if (status)
      respond(std::string());
    else
      respond(status.error());
  };
  switch (method) {
  case Method::Job:
    withDecoded<jobs::JobCall>(body, respond, [&](const auto &call) {
      Jobs.call(call, encoded<jobs::JobReply>(respond));
    });
    return true;
  case Method::Heartbeat:
    withDecoded<jobs::EndpointHeartbeat>(body, respond, [&](const auto &beat) {
      Jobs.heartbeat(beat.Facts, beat.Sequence, told);
    });
    return true;
  case Method::Leave:
    withDecoded<jobs::EndpointGone>(body, respond, [&](const auto &gone) {
      Jobs.leave(gone.Id, gone.BornMs, told);
    });
    return true;
  case Method::Configure:
    withDecoded<jobs::FleetConfig>(body, respond, [&](const auto &config) {
      Jobs.configure(config, told);
    });
    return true;
  case Method::ReadConfig:
    encoded<jobs::FleetConfig>(respond)(Jobs.config());
    return true;
  case Method::ReadConfigSource:
    respond(Jobs.configSource());
    return true;
  case Method::StartWave:
    withDecoded<jobs::WaveRecord>(
        body, respond, [&](const auto &wave) { Jobs.startWave(wave, told); });
    return true;
  case Method::ReadWave:
    withDecoded<int64_t>(body, respond, [&](int64_t number) {
      encoded<bool>(respond)(Jobs.isWaveCompleted(number));
    });
    return true;
  default:
    return false;
  }
}

void ControlTask::onCall(Method method, const std::string &body,
                         const Responder &respond) {
  if (onJobCall(method, body, respond))
    return;
  switch (method) {
  case Method::Join:
    withDecoded<consensus::Member>(body, respond, [&](const auto &member) {
      if (!Core.leads()) {
        // A follower's word is as good: it knows the leader.
        ask(Method::Join, body, respond);
        return;
      }
      const auto joined = Core.join(member);
      if (joined)
        respond(std::string());
      else
        respond(joined.error());
    });
    return;
  case Method::Consensus:
    withDecoded<Message>(body, respond, [&](const Message &message) {
      // Another life of this member's disk may have had the same address.
      if (message.To == Identity) {
        Heard.insert_or_assign(message.From, message.Inner);
        Core.receive(message);
      }
      respond(std::string());
    });
    return;
  case Method::Watch:
    withDecoded<model::WatchRequest>(body, respond, [&](const auto &request) {
      Core.watch(request, encoded<model::WatchReply>(respond));
    });
    return;
  case Method::Propose:
    withDecoded<state::Change>(body, respond, [&](const auto &change) {
      Core.propose(change, encoded<state::ChangeResult>(respond));
    });
    return;
  case Method::ReplaceMember:
    withDecoded<MemberReplacement>(body, respond, [&](const auto &asked) {
      Core.replaceMember(asked, [respond](const core::Status &status) {
        if (status)
          respond(std::string());
        else
          respond(status.error());
      });
    });
    return;
  case Method::WaveHoldups:
    encoded<std::vector<std::string>>(respond)(
        Core.waveHoldups(core::WaveId(body)));
    return;
  case Method::Identity:
    respond(Identity.str());
    return;
  case Method::ListMembers:
    respond(encoding::encode(Core.node().membership()));
    return;
  case Method::Audit:
    break;
  default:
    respond(Error{ErrorCode::NotFound, "not served by a control member"});
    return;
  }
  if (!Core.leads()) {
    respond(notLeader());
    return;
  }
  std::vector<state::AuditEntry> trail;
  for (const auto &entry : Core.state().Audit)
    trail.push_back(*entry);
  respond(encoding::encode(trail));
}

} // namespace almondgate::control
