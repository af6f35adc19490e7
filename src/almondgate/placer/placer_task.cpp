#include "almondgate/placer/placer_task.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/protocol/reply_decoding.hpp"

#include <algorithm>

namespace almondgate::placer {

using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::Result;
using core::Status;
using protocol::Method;

namespace {

constexpr DurationMs TickInterval{10};
constexpr DurationMs InventoryTimeout{300};
constexpr DurationMs ProposeTimeout{2000};
constexpr int ProcessIdBytes = 6;

model::ProcessInfo selfOf(const config::PlacerSettings &settings) {
  return {core::ProcessId("placer-" + core::randomHex(ProcessIdBytes)),
          model::Role::Placer, settings.Common.Inner, settings.Common.Zone};
}

void respondStatus(const protocol::Responder &respond, const Status &status) {
  if (status)
    respond(std::string());
  else
    respond(status.error());
}

} // namespace

PlacerTask::PlacerTask(
    task::Loop &loop, const config::PlacerSettings &settings,
    const std::shared_ptr<task::DescriptorBudget> &descriptors)
    : Settings(settings), Self(selfOf(settings)),
      Rpc(loop, protocol::rpcOptions(settings.Common.Secret,
                                     settings.Common.Memory, descriptors)),
      Inner(loop,
            protocol::rpcOptions(settings.Common.Secret, settings.Common.Memory,
                                 descriptors),
            serverHooks()),
      Control(loop, Rpc, settings.Common.Control,
              settings.Common.Memory.Peers / 2),
      Watch(loop, Control, Self, watcherHooks()),
      Core({.Self = Self.Id}, coreHooks()), Ticker(loop) {}

Status PlacerTask::start() {
  if (auto listening = Inner.listen(Settings.Common.Inner); !listening)
    return listening;
  Watch.start();
  Ticker.every(TickInterval, [this] { Core.tick(); });
  return core::ok();
}

void PlacerTask::stop() {
  Core.stop();
  Watch.setStopping();
}

bool PlacerTask::isHandoverComplete() const {
  const auto &owners = Watch.view().Owners;
  return std::none_of(owners.begin(), owners.end(), [&](const auto &row) {
    return row.second->Owner == Self.Id;
  });
}

std::vector<core::BudgetReading> PlacerTask::budgets() const {
  return {Rpc.budget(), Inner.budget(), Control.budget()};
}

std::string PlacerTask::notReady() const {
  return Core.hasLease() ? "" : "no lease from the control leader";
}

PlacerHooks PlacerTask::coreHooks() {
  PlacerHooks hooks;
  hooks.Now = core::monotonicNow;
  hooks.RequestInventory = [this](const core::Address &to,
                                  const model::InventoryRequest &request,
                                  PlacerHooks::OnInventory done) {
    Rpc.call(to, Method::Inventory, encoding::encode(request), InventoryTimeout,
             [done = std::move(done)](const Result<std::string> &reply) {
               done(protocol::decodeReply<model::Inventory>(reply));
             });
  };
  hooks.Propose = [this](const state::Change &change,
                         PlacerHooks::OnChange done) {
    Control.call(Method::Propose, encoding::encode(change), ProposeTimeout,
                 [done = std::move(done)](const Result<std::string> &reply) {
                   done(protocol::decodeReply<state::ChangeResult>(reply));
                 });
  };
  hooks.DemandChanged = [this] { Watch.pollNow(); };
  hooks.Log = observe::infoLine("place");
  return hooks;
}

watch::WatcherHooks PlacerTask::watcherHooks() {
  watch::WatcherHooks hooks;
  hooks.FillRequest = [this](model::WatchRequest &request) {
    request.Demands = Core.demands();
    request.Vms = Core.vmStatuses();
  };
  hooks.OnReply = [this] {
    Core.setView(Watch.view(), Watch.confirmedAt(), Watch.processes());
    Core.returnPortions(Watch.returns());
  };
  return hooks;
}

protocol::RpcServerHooks PlacerTask::serverHooks() {
  return {[this](Method method, const std::string &body,
                 const protocol::Responder &respond) {
            onCall(method, body, respond);
          },
          [](const std::string &reason) {
            observe::logWarn("inner", "call rejected: " + reason);
          }};
}

void PlacerTask::onCall(Method method, const std::string &body,
                        const protocol::Responder &respond) {
  if (method == Method::Grant) {
    const auto request = encoding::decode<model::GrantRequest>(body);
    if (!request) {
      respond(request.error());
      return;
    }
    Core.grant(request.value(), [respond](const Result<model::Grant> &grant) {
      if (grant)
        respond(encoding::encode(grant.value()));
      else
        respond(grant.error());
    });
    return;
  }
  if (method == Method::Release) {
    const auto release = encoding::decode<model::Release>(body);
    respondStatus(respond, release ? Core.release(release.value())
                                   : Status(release.error()));
    return;
  }
  if (method == Method::Report) {
    const auto report = encoding::decode<model::Announcement>(body);
    respondStatus(respond, report ? Core.report(report.value())
                                  : Status(report.error()));
    return;
  }
  respond(Error{ErrorCode::NotFound, std::string("method '") +
                                         protocol::methodName(method) +
                                         "' is not served by a placer"});
}

} // namespace almondgate::placer
