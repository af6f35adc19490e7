#include "almondgate/placer/placer_core.hpp"

#include <algorithm>

namespace almondgate::placer {

using core::Error;
using core::ErrorCode;
using core::PoolId;

namespace {

constexpr core::DurationMs DemandReportInterval{20};
constexpr core::DurationMs ProposeRetryInterval{300};

Error notServing(const PoolId &pool) {
  return {ErrorCode::NotLeader,
          "this placer does not serve pool '" + pool.str() + "'"};
}

} // namespace

PlacerCore::PlacerCore(PlacerOptions options, PlacerHooks hooks)
    : Options(std::move(options)), Hooks(std::move(hooks)) {}

bool PlacerCore::hasLease() const {
  return !Stopped && Hooks.Now() < ConfirmedAt + Options.LeaseTtl;
}

PlacerCore::OwnedPool *PlacerCore::findServingPool(const PoolId &pool) {
  const auto it = Pools.find(pool);
  const bool serving =
      hasLease() && it != Pools.end() && it->second.MissingInventories.empty();
  return serving ? &it->second : nullptr;
}

void PlacerCore::setView(const model::View &view, core::TimeMs confirmed_at,
                         const std::vector<model::ProcessInfo> &processes) {
  ConfirmedAt = confirmed_at;
  Processes = processes;
  const bool changed = view.Revision != View.Revision;
  if (changed)
    View = view;
  if (Stopped)
    return;
  const auto now = Hooks.Now();
  if (changed) {
    dropLostPools();
    for (const auto &[pool, owner] : View.Owners)
      if (owner->Owner == Options.Self && !Pools.contains(pool))
        takeOver(*owner);
    for (auto &[pool, owned] : Pools)
      owned.Scheduler->setView(View);
    finishSettledReturns();
  }
  for (auto &[pool, owned] : Pools) {
    removeDepartedEntries(owned);
    if (changed && findServingPool(pool))
      owned.Scheduler->grantWaiting(now);
  }
}

void PlacerCore::dropLostPools() {
  for (auto it = Pools.begin(); it != Pools.end();) {
    const auto *owner = model::find(View.Owners, it->first);
    const bool still_owned = owner && owner->Owner == Options.Self &&
                             owner->Epoch == it->second.Scheduler->epoch();
    if (still_owned) {
      ++it;
      continue;
    }
    Hooks.Log("pool " + it->first.str() +
              " lost: no longer assigned to this placer at epoch " +
              std::to_string(it->second.Scheduler->epoch()));
    const auto scheduler = std::move(it->second.Scheduler);
    const Error error = notServing(it->first);
    it = Pools.erase(it);
    scheduler->rejectWaiting(error);
  }
}

void PlacerCore::takeOver(const model::PoolOwner &owner) {
  OwnedPool owned;
  owned.Scheduler = std::make_unique<PoolScheduler>(
      owner.Pool, owner.Epoch, Hooks.Now(), Options.Pool, Hooks.Log);
  for (const auto &process : Processes)
    if (process.Kind == model::Role::Entry)
      owned.MissingInventories.insert(process.Id);
  Hooks.Log("pool " + owner.Pool.str() + " taken over at epoch " +
            std::to_string(owner.Epoch) + "; requesting the inventories of " +
            std::to_string(owned.MissingInventories.size()) + " entries");
  requestInventories(owner.Pool,
                     Pools.emplace(owner.Pool, std::move(owned)).first->second);
}

void PlacerCore::requestInventories(const PoolId &pool, OwnedPool &owned) {
  std::vector<model::ProcessInfo> targets;
  for (const auto &process : Processes)
    if (owned.MissingInventories.contains(process.Id) &&
        owned.RequestsInFlight.insert(process.Id).second)
      targets.push_back(process);
  const uint64_t epoch = owned.Scheduler->epoch();
  for (const auto &entry : targets)
    Hooks.RequestInventory(
        entry.Inner, {pool, epoch},
        [this, pool, epoch, id = entry.Id](const auto &reply) {
          onInventory(pool, epoch, id, reply);
        });
}

void PlacerCore::onInventory(const PoolId &pool, uint64_t epoch,
                             const core::ProcessId &entry,
                             const core::Result<model::Inventory> &reply) {
  const auto it = Pools.find(pool);
  if (it == Pools.end() || it->second.Scheduler->epoch() != epoch)
    return;
  OwnedPool &owned = it->second;
  owned.RequestsInFlight.erase(entry);
  // The address of a departed entry may have been reused by another process.
  // tick() repeats the request while the entry is listed.
  if (!reply || reply.value().Entry != entry ||
      !owned.MissingInventories.erase(entry))
    return;
  owned.Scheduler->adoptInventory(reply.value(), Hooks.Now());
  if (findServingPool(pool))
    owned.Scheduler->grantWaiting(Hooks.Now());
}

// Requests left running by an entry that has exited are counted from the
// endpoints' reports.
void PlacerCore::removeDepartedEntries(OwnedPool &owned) {
  std::erase_if(owned.MissingInventories, [&](const core::ProcessId &id) {
    return std::none_of(
        Processes.begin(), Processes.end(),
        [&](const model::ProcessInfo &p) { return p.Id == id; });
  });
}

void PlacerCore::returnPortions(const std::vector<model::Portion> &returns) {
  for (const auto &portion : returns) {
    OwnedPool *owned = findServingPool(portion.Pool);
    const PortionKey key(portion.Team, portion.Pool);
    const auto *held = model::find(View.Portions, key);
    if (!owned || !held || held->Amount <= portion.Amount ||
        PortionReturns.contains(key))
      continue;
    const int64_t cap =
        owned->Scheduler->capPortion(portion.Team, portion.Amount);
    if (cap >= held->Amount) {
      owned->Scheduler->liftCap(portion.Team);
      continue;
    }
    PortionReturn lowered;
    lowered.Proposed = {portion.Team, portion.Pool, held->Amount, cap};
    propose(key, PortionReturns.emplace(key, lowered).first->second);
  }
}

void PlacerCore::propose(const PortionKey &key, PortionReturn &portion) {
  portion.ProposedAt = Hooks.Now();
  portion.InFlight = true;
  state::Change change;
  change.What = portion.Proposed;
  Hooks.Propose(change,
                [this, key](const auto &result) { onProposed(key, result); });
}

void PlacerCore::onProposed(const PortionKey &key,
                            const core::Result<state::ChangeResult> &result) {
  const auto it = PortionReturns.find(key);
  if (it == PortionReturns.end())
    return;
  it->second.InFlight = false;
  if (!result)
    return;
  // Refused or applied: nothing more will lower the portion.
  it->second.SettledAt = result.value().Revision;
  finishSettledReturns();
}

void PlacerCore::retryReturns() {
  const auto now = Hooks.Now();
  std::vector<PortionKey> due;
  for (const auto &[key, portion] : PortionReturns)
    if (!portion.InFlight && !portion.SettledAt &&
        now - portion.ProposedAt >= ProposeRetryInterval)
      due.push_back(key);
  for (const auto &key : due)
    propose(key, PortionReturns.at(key));
}

void PlacerCore::finishSettledReturns() {
  std::erase_if(PortionReturns, [&](const auto &row) {
    const auto &[key, portion] = row;
    const auto owned = Pools.find(key.second);
    if (owned == Pools.end())
      return true;
    if (!portion.SettledAt || View.Revision < *portion.SettledAt)
      return false;
    owned->second.Scheduler->liftCap(key.first);
    return true;
  });
}

void PlacerCore::grant(const model::GrantRequest &request,
                       PoolScheduler::OnGrant done) {
  OwnedPool *owned = findServingPool(request.Pool);
  if (!owned) {
    done(notServing(request.Pool));
    return;
  }
  owned->Scheduler->enqueue(request, std::move(done), Hooks.Now());
  owned->Scheduler->grantWaiting(Hooks.Now());
  if (!owned->Scheduler->needsLargerPortion())
    return;
  const auto now = Hooks.Now();
  if (now - DemandReportedAt < DemandReportInterval)
    return;
  DemandReportedAt = now;
  Hooks.DemandChanged();
}

core::Status PlacerCore::release(const model::Release &release) {
  const auto it = Pools.find(release.Pool);
  if (Stopped || it == Pools.end())
    return notServing(release.Pool);
  it->second.Scheduler->release(release, Hooks.Now());
  if (findServingPool(release.Pool))
    it->second.Scheduler->grantWaiting(Hooks.Now());
  return core::ok();
}

core::Status PlacerCore::report(const model::Announcement &announcement) {
  const auto *vm = model::find(View.Vms, announcement.Vm);
  const auto it = vm ? Pools.find(vm->Pool) : Pools.end();
  if (Stopped || it == Pools.end())
    return notServing(vm ? vm->Pool : PoolId());
  it->second.Scheduler->report(announcement, Hooks.Now());
  if (findServingPool(vm->Pool))
    it->second.Scheduler->grantWaiting(Hooks.Now());
  return core::ok();
}

void PlacerCore::tick() {
  retryReturns();
  for (auto &[pool, owned] : Pools) {
    owned.Scheduler->expire(Hooks.Now());
    if (!owned.MissingInventories.empty())
      requestInventories(pool, owned);
    if (findServingPool(pool))
      owned.Scheduler->grantWaiting(Hooks.Now());
  }
}

void PlacerCore::stop() {
  Stopped = true;
  for (auto &[pool, owned] : Pools)
    owned.Scheduler->rejectWaiting(notServing(pool));
  Pools.clear();
}

std::vector<model::Demand> PlacerCore::demands() const {
  std::vector<model::Demand> out;
  for (const auto &[pool, owned] : Pools) {
    const auto more = owned.Scheduler->demands();
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

std::vector<model::VmStatus> PlacerCore::vmStatuses() const {
  std::vector<model::VmStatus> out;
  for (const auto &[pool, owned] : Pools) {
    const auto more = owned.Scheduler->vmStatuses(Hooks.Now());
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

} // namespace almondgate::placer
