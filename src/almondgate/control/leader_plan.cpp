#include "almondgate/control/leader_plan.hpp"

#include <algorithm>

namespace almondgate::control {

using model::WaveStatus;

namespace {

bool isLivePlacer(const Session *session) {
  return session && !session->Stopping &&
         session->Process.Kind == model::Role::Placer;
}

// The placers that may own pools, and how many each of them owns.
std::map<core::ProcessId, int64_t> poolCounts(const model::View &view,
                                              const SessionTable &sessions) {
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

std::map<DemandKey, model::Demand>
collectDemands(const model::View &view, const SessionTable &sessions) {
  std::map<DemandKey, model::Demand> out;
  for (const auto &[id, session] : sessions.all())
    for (const auto &demand : session.Demands) {
      const auto *owner = model::find(view.Owners, demand.Pool);
      if (owner && owner->Owner == id)
        out.insert_or_assign({demand.Team, demand.Pool}, demand);
    }
  return out;
}

bool isOwnerLive(const model::View &view, const SessionTable &sessions,
                 const core::PoolId &pool) {
  const auto *owner = model::find(view.Owners, pool);
  return owner && isLivePlacer(sessions.find(owner->Owner));
}

std::vector<policy::PoolClaim>
poolClaims(const model::View &view, const SessionTable &sessions,
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
    // The portion of an owner that is gone cannot be returned.
    if (!isOwnerLive(view, sessions, pool))
      claim.Running = claim.Portion;
    out.push_back(claim);
  }
  return out;
}

} // namespace

std::vector<state::Command> planPoolOwners(const model::View &view,
                                           const SessionTable &sessions) {
  std::vector<state::Command> out;
  auto pool_counts = poolCounts(view, sessions);
  if (pool_counts.empty())
    return out;
  for (const auto &[pool, record] : view.Pools) {
    if (isOwnerLive(view, sessions, pool))
      continue;
    const auto least = std::min_element(
        pool_counts.begin(), pool_counts.end(),
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
                                      const SessionTable &sessions) {
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

uint64_t oldestOwnerRevision(const model::View &view,
                             const SessionTable &sessions,
                             bool sessions_complete) {
  uint64_t oldest = view.Revision;
  for (const auto &[pool, owner] : view.Owners) {
    const auto *session = sessions.find(owner->Owner);
    if (session)
      oldest = std::min(oldest, session->Revision);
    else if (!sessions_complete)
      return 0;
  }
  return oldest;
}

std::vector<state::Command> planMoveCompletions(const model::View &view,
                                                uint64_t applied) {
  std::vector<state::Command> out;
  for (const auto &[id, vm] : view.Vms)
    if (vm->MovedAt != 0 && vm->MovedAt <= applied)
      out.push_back(state::CompleteVmMove{id, vm->MovedAt});
  return out;
}

PortionActions planTeamPortions(const model::View &view,
                                const SessionTable &sessions,
                                uint64_t applied) {
  PortionActions out;
  const auto demands = collectDemands(view, sessions);
  for (const auto &[id, team] : view.Teams) {
    const auto it = demands.lower_bound({id, core::PoolId()});
    if (it == demands.end() || it->first.first != id)
      continue;
    const auto plan = policy::planPortions(
        team->Limit, poolClaims(view, sessions, id, demands));
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
