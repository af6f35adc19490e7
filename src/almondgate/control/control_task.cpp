#include "almondgate/control/control_task.hpp"
#include "almondgate/core/invariant.hpp"
#include "almondgate/encoding/codec.hpp"

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
constexpr DurationMs MessageTimeout{2000};
constexpr DurationMs IdentityTimeout{2000};
constexpr size_t WrittenCapacity = 16;

} // namespace

ControlTask::ControlTask(task::Loop &loop,
                         const config::ControlSettings &settings,
                         std::unique_ptr<storage::Store> store,
                         OnFailure failed)
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
      Core({}, {.Self = Identity}, coreHooks(), Found), Ticker(loop) {}

core::Status ControlTask::start() {
  if (auto listening = Inner.listen(Settings.Common.Inner); !listening)
    return listening;
  Ticker.every(TickInterval, [this] { Core.tick(); });
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
  line("revision", Core.state().View.Revision);
  return out;
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
  hooks.Log = observe::infoLine("control");
  return hooks;
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
  if (status)
    Core.persisted();
  else
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

void ControlTask::onCall(Method method, const std::string &body,
                         const Responder &respond) {
  switch (method) {
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
  case Method::Audit:
  case Method::ListMembers:
    break;
  default:
    respond(Error{ErrorCode::NotFound, "not served by a control member"});
    return;
  }
  if (!Core.leads()) {
    respond(Error{ErrorCode::NotLeader, "not the control leader"});
    return;
  }
  if (method == Method::ListMembers) {
    respond(encoding::encode(Core.node().membership()));
    return;
  }
  std::vector<state::AuditEntry> trail;
  for (const auto &entry : Core.state().Audit)
    trail.push_back(*entry);
  respond(encoding::encode(trail));
}

} // namespace almondgate::control
