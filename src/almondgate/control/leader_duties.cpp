#include "almondgate/control/leader_duties.hpp"

#include <algorithm>

namespace almondgate::control {

using model::WaveStatus;

namespace {

bool isLivePlacer(const Session *session) {
  return session && !session->Stopping &&
         session->Process.Kind == model::Role::Placer;
}

// The placers that may own pools, with how many each owns.
std::map<core::ProcessId, int64_t> placerLoads(const model::View &view,
                                               const Sessions &sessions) {
  std::map<core::ProcessId, int64_t> out;
  for (const auto &[id, session] : sessions.all())
    if (isLivePlacer(&session))
      out.emplace(id, 0);
  for (const auto &[pool, owner] : view.Owners) {
    const auto it = out.find(owner->Owner);
    if (it != out.end())
      ++it->second;
  }
  return out;
}

using DemandKey = std::pair<core::TeamId, core::PoolId>;

std::map<DemandKey, model::Demand> demandsOf(const model::View &view,
                                             const Sessions &sessions) {
  std::map<DemandKey, model::Demand> out;
  for (const auto &[id, session] : sessions.all())
    for (const auto &demand : session.Demands) {
      const auto *owner = model::find(view.Owners, demand.Pool);
      if (owner && owner->Owner == id)
        out.insert_or_assign({demand.Team, demand.Pool}, demand);
    }
  return out;
}

bool ownerIsLive(const model::View &view, const Sessions &sessions,
                 const core::PoolId &pool) {
  const auto *owner = model::find(view.Owners, pool);
  return owner && isLivePlacer(sessions.find(owner->Owner));
}

std::vector<policy::PoolClaim>
claimsOf(const model::View &view, const Sessions &sessions,
         const core::TeamId &team,
         const std::map<DemandKey, model::Demand> &demands) {
  std::map<core::PoolId, policy::PoolClaim> claims;
  const DemandKey first{team, core::PoolId()};
  for (auto it = view.Portions.lower_bound(first);
       it != view.Portions.end() && it->first.first == team; ++it)
    claims[it->first.second].Portion = it->second->Amount;
  for (auto it = demands.lower_bound(first);
       it != demands.end() && it->first.first == team; ++it) {
    claims[it->first.second].Running = it->second.Running;
    claims[it->first.second].Waiting = it->second.Waiting;
  }
  std::vector<policy::PoolClaim> out;
  for (auto &[pool, claim] : claims) {
    claim.Pool = pool;
    // Nobody can return what a dead owner holds.
    if (!ownerIsLive(view, sessions, pool))
      claim.Running = claim.Portion;
    out.push_back(claim);
  }
  return out;
}

} // namespace

std::vector<state::Command> planOwners(const model::View &view,
                                       const Sessions &sessions) {
  std::vector<state::Command> out;
  auto loads = placerLoads(view, sessions);
  if (loads.empty())
    return out;
  for (const auto &[pool, record] : view.Pools) {
    if (ownerIsLive(view, sessions, pool))
      continue;
    const auto least = std::min_element(
        loads.begin(), loads.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    ++least->second;
    const auto *owner = model::find(view.Owners, pool);
    out.push_back(state::AssignPool{pool, least->first,
                                    sessions.find(least->first)->Process.Inner,
                                    owner ? owner->Epoch : 0});
  }
  return out;
}

std::vector<state::Command> planWaves(const model::View &view,
                                      const Sessions &sessions) {
  std::vector<state::Command> out;
  const auto statuses = sessions.vmStatuses();
  for (const auto &[id, wave] : view.Waves) {
    if (wave->Status != WaveStatus::Running &&
        wave->Status != WaveStatus::Paused)
      continue;
    for (const auto &step : policy::planWave(view, *wave, statuses).Steps)
      out.push_back(state::AdvanceWave{step.Wave, step.Vm, step.From, step.To});
  }
  return out;
}

uint64_t appliedByOwners(const model::View &view, const Sessions &sessions,
                         bool settled) {
  uint64_t oldest = view.Revision;
  for (const auto &[pool, owner] : view.Owners) {
    const auto *session = sessions.find(owner->Owner);
    if (session)
      oldest = std::min(oldest, session->Revision);
    else if (!settled)
      return 0;
  }
  return oldest;
}

std::vector<state::Command> planSettling(const model::View &view,
                                         uint64_t applied) {
  std::vector<state::Command> out;
  for (const auto &[id, vm] : view.Vms)
    if (vm->MovedAt != 0 && vm->MovedAt <= applied)
      out.push_back(state::CompleteVmMove{id, vm->MovedAt});
  return out;
}

PortionDuties planAllPortions(const model::View &view, const Sessions &sessions,
                              uint64_t applied) {
  PortionDuties out;
  const auto demands = demandsOf(view, sessions);
  for (const auto &[id, team] : view.Teams) {
    const auto it = demands.lower_bound({id, core::PoolId()});
    if (it == demands.end() || it->first.first != id)
      continue;
    const auto plan = policy::planPortions(
        team->Limit, claimsOf(view, sessions, id, demands));
    for (const auto &step : plan.Return)
      out.Returns.push_back({id, step.Pool, step.To});
    if (applied < team->ShrunkAt)
      continue;
    for (const auto &step : plan.Grow)
      out.Commands.push_back(
          state::SetPortion{id, step.Pool, step.From, step.To});
  }
  return out;
}

} // namespace almondgate::control
