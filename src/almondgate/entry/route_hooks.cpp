#include "almondgate/encoding/codec.hpp"
#include "almondgate/entry/route_task.hpp"
#include "almondgate/entry/send_job_call.hpp"

#include "almondgate/protocol/evacuation_call.hpp"
#include "almondgate/protocol/reply_decoding.hpp"
#include "almondgate/task/loop.hpp"

namespace almondgate::entry {

using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::Result;
using protocol::Method;

namespace {

// Long enough to cover a leader election.
constexpr DurationMs JobTimeout{4000};
constexpr DurationMs GrantSlack{1000};
constexpr DurationMs ReleaseTimeout{1000};
constexpr DurationMs ReportTimeout{1000};
constexpr DurationMs ProposeTimeout{5000};
constexpr DurationMs ReadTimeout{3000};
constexpr DurationMs ApplyTimeout{2000};
constexpr DurationMs ReplaceTimeout{40000};
constexpr DurationMs EvacuationTimeout{900};

} // namespace

void RouteTask::propose(const state::Change &change,
                        EntryHooks::OnChange done) {
  Control.call(Method::Propose, encoding::encode(change), ProposeTimeout,
               [done = std::move(done)](const auto &reply) {
                 done(protocol::decodeReply<state::ChangeResult>(reply));
               });
}

EntryHooks RouteTask::coreHooks() {
  EntryHooks hooks;
  hooks.Now = core::monotonicNow;
  hooks.WallClock = core::wallClockMs;
  hooks.Grant = [this](const core::Address &to,
                       const model::GrantRequest &request,
                       EntryHooks::OnGrant done) {
    Rpc.call(to, Method::Grant, encoding::encode(request),
             DurationMs{request.WaitMs} + GrantSlack,
             [done = std::move(done)](const auto &reply) {
               done(protocol::decodeReply<model::Grant>(reply));
             });
  };
  hooks.Release = [this](const model::Release &release) {
    Releases.send(release);
  };
  hooks.Propose = [this](const state::Change &change,
                         EntryHooks::OnChange done) {
    propose(change, std::move(done));
  };
  hooks.Dispatch = [this](http::EndpointCall call,
                          EntryHooks::OnResponse done) {
    return Endpoints.send(std::move(call), std::move(done));
  };
  hooks.Abort = [this](uint64_t call) { Endpoints.abort(call); };
  hooks.Log = observe::infoLine("route");
  return hooks;
}

ReleaseSenderHooks RouteTask::releaseHooks() {
  ReleaseSenderHooks hooks;
  hooks.Now = core::monotonicNow;
  hooks.Send = [this](const model::Release &release, auto done) {
    const auto *owner = model::find(Watch.view().Owners, release.Pool);
    if (!owner) {
      done(Error{ErrorCode::NotLeader, "the pool has no owner"});
      return;
    }
    Rpc.call(owner->Placer, Method::Release, encoding::encode(release),
             ReleaseTimeout,
             [done](const auto &reply) { done(protocol::replyStatus(reply)); });
  };
  return hooks;
}

AnnouncementHooks RouteTask::announcementHooks() {
  AnnouncementHooks hooks;
  hooks.View = [this]() -> const model::View & { return Watch.view(); };
  hooks.Propose = [this](const state::Change &change, auto done) {
    propose(change, [done](const Result<state::ChangeResult> &result) {
      if (!result)
        done(result.error());
      else if (!result.value().Accepted)
        done(result.value().Refusal);
      else
        done(core::ok());
    });
  };
  hooks.Report = [this](const core::Address &to,
                        const model::Announcement &announcement, auto done) {
    Rpc.call(to, Method::Report, encoding::encode(announcement), ReportTimeout,
             [done](const auto &reply) { done(protocol::replyStatus(reply)); });
  };
  return hooks;
}

AdminHooks RouteTask::adminHooks() {
  AdminHooks hooks;
  hooks.View = [this]() -> const model::View & { return Watch.view(); };
  hooks.IsFresh = [this] { return Core.isFresh(); };
  hooks.WallClock = core::wallClockMs;
  hooks.Propose = [this](const state::Change &change, auto done) {
    propose(change, std::move(done));
  };
  hooks.WhenApplied = [this](uint64_t revision, std::function<void()> done) {
    PendingApplies.push_back(
        {revision, core::monotonicNow() + ApplyTimeout, std::move(done)});
    completeApplies();
  };
  hooks.Audit = [this](auto done) {
    Control.call(Method::Audit, "", ReadTimeout, [done](const auto &reply) {
      done(protocol::decodeReply<std::vector<state::AuditEntry>>(reply));
    });
  };
  hooks.WaveHoldups = [this](const core::WaveId &wave, auto done) {
    Control.call(Method::WaveHoldups, wave.str(), ReadTimeout,
                 [done](const auto &reply) {
                   done(protocol::decodeReply<std::vector<std::string>>(reply));
                 });
  };
  hooks.Members = [this](auto done) {
    Control.call(Method::ListMembers, "", ReadTimeout,
                 [done](const auto &reply) {
                   done(protocol::decodeReply<consensus::Membership>(reply));
                 });
  };
  hooks.Replace = [this](const consensus::MemberReplacement &r, auto done) {
    Control.call(
        Method::ReplaceMember, encoding::encode(r), ReplaceTimeout,
        [done](const auto &reply) { done(protocol::replyStatus(reply)); });
  };
  return hooks;
}

JobApiHooks RouteTask::jobHooks() {
  JobApiHooks hooks;
  hooks.Call = [this](const jobs::JobCall &call, auto done) {
    sendJobCall(Control, call, JobTimeout, done);
  };
  hooks.IsOperator = [this](const http::Request &request) {
    return bool(Admin.authenticate(request));
  };
  hooks.Configure = [this](const jobs::FleetConfig &config, auto done) {
    Control.call(
        Method::Configure, encoding::encode(config), ProposeTimeout,
        [done](const auto &reply) { done(protocol::replyStatus(reply)); });
  };
  hooks.ReadConfig = [this](auto done) {
    Control.call(Method::ReadConfig, "", ReadTimeout,
                 [done](const auto &reply) {
                   done(protocol::decodeReply<jobs::FleetConfig>(reply));
                 });
  };
  hooks.Explain = [this](const jobs::ExplainRequest &request, auto done) {
    Control.call(Method::Explain, encoding::encode(request), ReadTimeout,
                 [done](const auto &reply) {
                   done(protocol::decodeReply<jobs::Explanation>(reply));
                 });
  };
  return hooks;
}

EvacuationApiHooks RouteTask::evacuationHooks() {
  EvacuationApiHooks hooks;
  hooks.Authenticate = [this](const http::Request &request) {
    return Admin.authenticate(request);
  };
  hooks.Change = [this](const jobs::EvacuationChange &change, auto is_wanted,
                        auto done) {
    protocol::EvacuationCallHooks call;
    call.Now = core::monotonicNow;
    call.Defer = [this](DurationMs delay, std::function<void()> fn) {
      Loop.defer(std::move(fn), delay);
    };
    call.CallLeader = [this](Method method, std::string body,
                             const protocol::Responder &respond) {
      Control.call(method, std::move(body), EvacuationTimeout, respond);
    };
    call.IsWanted = std::move(is_wanted);
    protocol::changeEvacuation(call, change, std::move(done));
  };
  hooks.List = [this](auto done) {
    Control.call(Method::ListEvacuations, "", ReadTimeout,
                 [done](const auto &reply) {
                   done(protocol::decodeReply<jobs::EvacuationList>(reply));
                 });
  };
  return hooks;
}

watch::WatcherHooks RouteTask::watcherHooks() {
  return {[](model::WatchRequest &) {}, [this] { onView(); }};
}

} // namespace almondgate::entry
