#include "almondgate/control/control_task.hpp"
#include "almondgate/control/heartbeat_member.hpp"
#include "almondgate/core/invariant.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/jobs/config_answer.hpp"
#include "almondgate/jobs/endpoint_heartbeat.hpp"
#include "almondgate/jobs/evacuation_change.hpp"
#include "almondgate/jobs/evacuation_list.hpp"
#include "almondgate/protocol/config_answer_codec.hpp"
#include "almondgate/task/loop.hpp"

#include "control_errors.hpp"
#include "read_message.hpp"
#include "serve_each.hpp"

#include <algorithm>
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
constexpr size_t WriteResultsCapacity = 16;
// Members that have not answered the leader for this long take no heartbeats. A
// member that runs answers every 100 ms.
constexpr DurationMs SilentAfter{1000};

ControlOptions coreOptions(const config::ControlSettings &settings) {
  ControlOptions options;
  if (settings.ToleratedLosses >= 0)
    options.Voters = 2 * size_t(settings.ToleratedLosses) + 1;
  return options;
}

} // namespace

ControlTask::ControlTask(
    task::Loop &loop, const config::ControlSettings &settings,
    std::unique_ptr<storage::Store> store, OnFailure on_failure,
    dispatch::DispatcherHooks gateway,
    const std::shared_ptr<task::DescriptorBudget> &descriptors)
    : Settings(settings), Identity(store->identity()),
      Recovered(store->takeRecoveredState()),
      ReportFailure(std::move(on_failure)), Random(std::random_device{}()),
      Rpc(loop, protocol::rpcOptions(settings.Common.Secret,
                                     settings.Common.Memory, descriptors)),
      Inner(loop,
            protocol::rpcOptions(settings.Common.Secret, settings.Common.Memory,
                                 descriptors),
            serverHooks()),
      WriteResults(
          loop, WriteResultsCapacity,
          [this](const core::Status &status) { onBatchWritten(status); }),
      Storage(std::move(store),
              [this](const core::Status &status) {
                core::invariant(WriteResults.post(status),
                                "mailbox of write results is full");
              }),
      Loop(loop),
      Core(coreOptions(settings),
           {.Self = Identity,
            .BytesKeptBehindSnapshot = settings.Common.Memory.Jobs / 4},
           coreHooks(), std::move(Recovered)),
      Jobs({.Holder = settings.Name,
            .MaxLease = std::max(settings.LongestLease,
                                 dispatch::DispatcherOptions().Lease),
            .RunStopTimeout = settings.RunStopTimeout,
            .RemoteFactor = settings.RemoteFactor,
            .JobsLimitBytes = settings.Common.Memory.Jobs},
           dispatcherHooks(std::move(gateway)), Core.state().Jobs),
      Heartbeats(heartbeatHooks()), Ticker(loop) {}

core::Status ControlTask::start() {
  if (auto listening = Inner.listen(Settings.Common.Inner); !listening)
    return listening;
  Ticker.every(TickInterval, [this] { onTick(); });
  return core::ok();
}

std::string ControlTask::notReady() const {
  const auto &node = Core.node();
  if (!consensus::isVoter(node.membership(), Identity))
    return "member " + Identity.str() + " is not a voter";
  if (DiskError && DiskError->Code != ErrorCode::NoSpace)
    return "member " + Identity.str() + " cannot write: " + DiskError->Text;
  return node.leader().empty()
             ? "no leader is known to member " + Identity.str()
             : "";
}

std::string ControlTask::metricsText() const {
  const auto &node = Core.node();
  std::string out;
  const auto line = [&](const char *name, uint64_t n) {
    out += std::string("almondgate_control_") + name + " " + std::to_string(n) +
           "\n";
  };
  line("leads", Core.isLeader() ? 1 : 0);
  line("term", node.term());
  line("commit_index", node.commitIndex());
  line("last_index", node.lastIndex());
  const bool full = DiskError && DiskError->Code == ErrorCode::NoSpace;
  line("disk_full", full ? 1 : 0);
  line("disk_failed", DiskError && !full ? 1 : 0);
  line("revision", Core.state().View.Revision);
  const auto &ledger = Core.state().Jobs;
  line("epoch", ledger.Epoch);
  line("config_version", ledger.Config.Version);
  line("jobs_remembered", ledger.Jobs.size());
  line("endpoints", ledger.Endpoints.size());
  line("evacuations", ledger.Evacuations.size());
  line("log_lines_dropped", uint64_t(observe::droppedLines()));
  return out + Metrics.text();
}

std::vector<core::BudgetReading> ControlTask::budgets() const {
  core::BudgetReading log;
  log.Name = "log";
  log.Used = Core.node().logBytes();
  core::BudgetReading snapshot;
  snapshot.Name = "snapshot";
  snapshot.Used = Core.node().snapshot().Data->size();
  return {Rpc.budget(), Inner.budget(), Jobs.jobsReading(), log, snapshot};
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
    core::invariant(bool(members),
                    "membership of a log entry cannot be decoded");
    return members.value();
  };
  hooks.WallClock = core::wallClockMs;
  hooks.Send = [this](Message message) { send(std::move(message)); };
  hooks.Persist = [this](consensus::DurableBatch batch) {
    core::invariant(Storage.write(std::move(batch)),
                    "storage mailbox is full: too many batches in flight");
  };
  hooks.FetchIdentity = [this](const core::Address &at, auto done) {
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
  hooks.OnJobEvent = [this](const jobs::Event &event) {
    Jobs.onEventApplied(event);
  };
  hooks.OnJobsReplaced = [this] { Jobs.onLedgerReplaced(); };
  hooks.OnLeadershipChange = [this](bool leading) {
    onLeadershipChange(leading);
  };
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
  gateway.Defer = [this](DurationMs delay, std::function<void()> fn) {
    Loop.defer(std::move(fn), delay);
  };
  gateway.IncrementCounter = [this](const char *name, const char *label,
                                    const char *value) {
    Metrics.count(name, label, value);
  };
  gateway.RecordDuration = [this](const char *name, int64_t ms) {
    Metrics.time(name, double(ms));
  };
  gateway.Log = observe::infoLine("jobs");
  return gateway;
}

// Each leader starts an epoch of its own. Once it is durable, endpoints reject
// the orders of earlier leaders.
void ControlTask::onLeadershipChange(bool leading) {
  if (!leading) {
    Jobs.stopLeading();
    return;
  }
  Core.recordJobs({jobs::EpochBegun{Identity.str()}}, [this](bool durable) {
    if (durable && Core.isLeader())
      Jobs.startLeading(Core.state().Jobs.Epoch);
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
    requestToJoin();
  }
}

// A member requests to join until it is a voter and has a known leader. Being a
// voter is not enough: a membership that was only read from disk may be
// outdated.
void ControlTask::requestToJoin() {
  const auto &node = Core.node();
  const bool joined =
      consensus::isVoter(node.membership(), Identity) && !node.leader().empty();
  if (joined)
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

std::optional<core::Address> ControlTask::leaderAddress() const {
  const auto *member =
      consensus::findMember(Core.node().membership(), Core.node().leader());
  return member ? std::optional(member->Inner) : std::nullopt;
}

void ControlTask::callLeader(Method method, std::string body,
                             const Responder &done) {
  if (Core.isLeader()) {
    onCall(method, body, done);
    return;
  }
  const auto leader = leaderAddress();
  if (!leader || *leader == Settings.Common.Inner) {
    done(Error{ErrorCode::NotLeader,
               "no leader is known to member " + Identity.str()});
    return;
  }
  Rpc.call(*leader, method, std::move(body), ForwardTimeout, done);
}

void ControlTask::configure(
    const jobs::FleetConfig &config,
    const std::function<void(const core::Status &)> &done) {
  if (Core.isLeader()) {
    Jobs.configure(config, done);
    return;
  }
  callLeader(Method::Configure, encoding::encode(config),
             [done](const Result<std::string> &reply) {
               done(reply ? core::ok() : core::Status(reply.error()));
             });
}

std::vector<core::Address> ControlTask::reachableMembers() const {
  const auto now = core::monotonicNow();
  std::vector<core::Address> out;
  for (const auto &member : Core.node().membership().Members) {
    const auto heard = HeardAt.find(member.Id);
    if (member.Id == Identity ||
        (heard != HeardAt.end() && now - heard->second < SilentAfter))
      out.push_back(member.Inner);
  }
  return out;
}

HeartbeatRelayHooks ControlTask::heartbeatHooks() {
  HeartbeatRelayHooks hooks;
  hooks.Send = [this](const auto &batch, const auto &done) {
    callLeader(Method::HeartbeatBatch, encoding::encode(batch),
               [done](const Result<std::string> &reply) {
                 if (reply)
                   done(encoding::decode<jobs::HeartbeatReply>(reply.value()));
                 else
                   done(reply.error());
               });
  };
  hooks.SendOne = [this](const auto &heartbeat, const auto &done) {
    callLeader(Method::Heartbeat, encoding::encode(heartbeat),
               [done](const Result<std::string> &reply) {
                 done(reply ? core::ok() : core::Status(reply.error()));
               });
  };
  hooks.Defer = [this](DurationMs delay, std::function<void()> fn) {
    Loop.defer(std::move(fn), delay);
  };
  return hooks;
}

void ControlTask::handleHeartbeat(const jobs::EndpointHeartbeat &heartbeat,
                                  const HeartbeatRelay::OnAnswer &done) {
  if (!Core.isLeader()) {
    Heartbeats.add(heartbeat, done);
    return;
  }
  serveHeartbeat(heartbeat, [this, id = heartbeat.Facts.Id,
                             done](const core::Status &status) {
    if (status)
      done(chooseHeartbeatMember(id, reachableMembers()));
    else
      done(status.error());
  });
}

void ControlTask::serveHeartbeat(const jobs::EndpointHeartbeat &heartbeat,
                                 const dispatch::Dispatcher::OnStatus &done) {
  Jobs.reportColdTime(heartbeat.Facts, heartbeat.ColdRemainingMs);
  Jobs.handleHeartbeat(heartbeat.Facts, heartbeat.Sequence, done);
}

void ControlTask::serveHeartbeats(const jobs::HeartbeatBatch &batch,
                                  const OnHeartbeatReply &done) {
  serveEach(
      batch.Heartbeats,
      [this](const auto &heartbeat, const auto &served) {
        serveHeartbeat(heartbeat, served);
      },
      [this, done](jobs::HeartbeatReply reply) {
        reply.Members = reachableMembers();
        done(std::move(reply));
      });
}

void ControlTask::send(Message message) {
  const auto *member =
      consensus::findMember(Core.node().membership(), message.To);
  const auto known = PeerAddresses.find(message.To);
  if (!member && known == PeerAddresses.end())
    return;
  message.Inner = Settings.Common.Inner;
  std::string body = encoding::encode(message);
  // The next heartbeat makes up for a lost message.
  Rpc.call(member ? member->Inner : known->second, Method::Consensus,
           std::move(body), MessageTimeout, [](const auto &) {});
}

void ControlTask::onBatchWritten(const core::Status &status) {
  if (status) {
    const auto error = std::exchange(DiskError, std::nullopt);
    const bool was_full = error && error->Code == ErrorCode::NoSpace;
    if (error)
      observe::logInfo(
          "storage", std::string(was_full ? "space on disk is available again"
                                          : "the disk can be written again") +
                         "; member " + Identity.str() + " acknowledges writes");
    Core.onPersisted();
    return;
  }
  if (status.error().Code == ErrorCode::Corrupt) {
    ReportFailure(status.error());
    return;
  }
  DiskError = status.error();
  const bool full = DiskError->Code == ErrorCode::NoSpace;
  observe::logError("storage",
                    DiskError->Text + "; member " + Identity.str() +
                        " acknowledges no writes until " +
                        (full ? "there is space on disk"
                              : "its data folder can be read and written"));
}

protocol::RpcServerHooks ControlTask::serverHooks() {
  return {[this](Method method, const std::string &body,
                 const Responder &respond) { onCall(method, body, respond); },
          [](const std::string &reason) {
            observe::logWarn("inner", "call rejected: " + reason);
          }};
}

namespace {

/// Responds with the encoded result, or with its error.
template <class T> auto respondEncoded(const Responder &respond) {
  return [respond](const Result<T> &result) {
    if (result)
      respond(encoding::encode(result.value()));
    else
      respond(result.error());
  };
}

/// Decodes a call's body and passes it to `serve`, or responds with the error.
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

void ControlTask::readConfigAnswer(const Responder &respond) {
  const auto source = Jobs.configSource();
  if (!source) {
    respond(source.error());
    return;
  }
  jobs::ConfigAnswer answer;
  answer.Version = Core.state().Jobs.Config.Version;
  answer.Source = source.value();
  answer.Leader = Identity.str();
  answer.Term = Core.node().term();
  respond(protocol::encodeConfigAnswer(answer));
}

bool ControlTask::onJobCall(Method method, const std::string &body,
                            const Responder &respond) {
  const auto respond_status = [respond](const core::Status &status) {
    if (status)
      respond(std::string());
    else
      respond(status.error());
  };
  switch (method) {
  case Method::Job:
    withDecoded<jobs::JobCall>(body, respond, [&](const auto &call) {
      Jobs.handleCall(call, respondEncoded<jobs::JobReply>(respond));
    });
    return true;
  case Method::Heartbeat:
    withDecoded<jobs::EndpointHeartbeat>(body, respond, [&](const auto &beat) {
      serveHeartbeat(beat, respond_status);
    });
    return true;
  case Method::HeartbeatBatch:
    if (!Jobs.isActive()) {
      respond(notLeader());
      return true;
    }
    withDecoded<jobs::HeartbeatBatch>(body, respond, [&](const auto &batch) {
      serveHeartbeats(batch, respondEncoded<jobs::HeartbeatReply>(respond));
    });
    return true;
  case Method::Leave:
    withDecoded<jobs::EndpointGone>(body, respond, [&](const auto &gone) {
      Jobs.handleLeave(gone.Id, gone.BornMs, respond_status);
    });
    return true;
  case Method::Configure:
    withDecoded<jobs::FleetConfig>(body, respond, [&](const auto &config) {
      Jobs.configure(config, respond_status);
    });
    return true;
  case Method::ReadConfig:
    respondEncoded<jobs::FleetConfig>(respond)(Jobs.config());
    return true;
  case Method::ReadConfigSource:
    respond(Jobs.configSource());
    return true;
  case Method::ReadConfigAnswer:
    readConfigAnswer(respond);
    return true;
  case Method::StartWave:
    withDecoded<jobs::WaveRecord>(body, respond, [&](const auto &wave) {
      Jobs.startWave(wave, respond_status);
    });
    return true;
  case Method::Explain:
    withDecoded<jobs::ExplainRequest>(body, respond, [&](const auto &request) {
      respondEncoded<jobs::Explanation>(respond)(Jobs.explain(request));
    });
    return true;
  case Method::ReadWave:
    withDecoded<int64_t>(body, respond, [&](int64_t number) {
      respondEncoded<bool>(respond)(Jobs.isWaveCompleted(number));
    });
    return true;
  case Method::SetEvacuation:
    withDecoded<jobs::EvacuationChange>(body, respond, [&](const auto &change) {
      Jobs.setEvacuation(change, respond_status);
    });
    return true;
  case Method::ListEvacuations:
    respondEncoded<jobs::EvacuationList>(respond)(Jobs.evacuations());
    return true;
  default:
    return false;
  }
}

void ControlTask::onConsensusCall(const std::string &body,
                                  const Responder &respond) {
  const auto message = readMessage(body);
  if (!message) {
    observe::logError("inner",
                      "consensus message ignored: " + message.error().Text);
    respond(message.error());
    return;
  }
  // Messages to another id are ignored: before this member's disk was emptied,
  // the process at this address had another member id.
  if (message.value().To == Identity) {
    PeerAddresses.insert_or_assign(message.value().From, message.value().Inner);
    HeardAt.insert_or_assign(message.value().From, core::monotonicNow());
    Core.receive(message.value());
  }
  respond(std::string());
}

void ControlTask::onCall(Method method, const std::string &body,
                         const Responder &respond) {
  if (onJobCall(method, body, respond))
    return;
  switch (method) {
  case Method::Join:
    withDecoded<consensus::Member>(body, respond, [&](const auto &member) {
      if (!Core.isLeader()) {
        // Any member accepts the request; a follower forwards it to the leader.
        callLeader(Method::Join, body, respond);
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
    onConsensusCall(body, respond);
    return;
  case Method::Watch:
    withDecoded<model::WatchRequest>(body, respond, [&](const auto &request) {
      Core.watch(request, respondEncoded<model::WatchReply>(respond));
    });
    return;
  case Method::Propose:
    withDecoded<state::Change>(body, respond, [&](const auto &change) {
      Core.propose(change, respondEncoded<state::ChangeResult>(respond));
    });
    return;
  case Method::ReplaceMember:
    withDecoded<MemberReplacement>(body, respond, [&](const auto &replacement) {
      Core.replaceMember(replacement, [respond](const core::Status &status) {
        if (status)
          respond(std::string());
        else
          respond(status.error());
      });
    });
    return;
  case Method::WaveHoldups:
    respondEncoded<std::vector<std::string>>(respond)(
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
    respond(Error{ErrorCode::NotFound,
                  std::string("method '") + protocol::methodName(method) +
                      "' is not served by control members"});
    return;
  }
  if (!Core.isLeader()) {
    respond(notLeader());
    return;
  }
  std::vector<state::AuditEntry> trail;
  for (const auto &entry : Core.state().Audit)
    trail.push_back(*entry);
  respond(encoding::encode(trail));
}

} // namespace almondgate::control
