#include "almondgate/placer/placer_core.hpp"

#include <algorithm>

namespace almondgate::placer {

using core::Error;
using core::ErrorCode;
using core::PoolId;

namespace {

constexpr core::DurationMs DemandToldEvery{20};

Error notOwner(const PoolId &pool) {
  return {ErrorCode::NotLeader,
          "this placer does not own pool '" + pool.str() + "'"};
}

} // namespace

PlacerCore::PlacerCore(PlacerOptions options, PlacerHooks hooks)
    : Options(std::move(options)), Hooks(std::move(hooks)) {}

bool PlacerCore::hasLease() const {
  return !Stopped && Hooks.Now() < ConfirmedAt + Options.LeaseTtl;
}

PlacerCore::Owned *PlacerCore::usable(const PoolId &pool) {
  const auto it = Pools.find(pool);
  const bool may =
      hasLease() && it != Pools.end() && it->second.Awaited.empty();
  return may ? &it->second : nullptr;
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
      owned.Book->setView(View);
  }
  for (auto &[pool, owned] : Pools) {
    forgetGoneEntries(owned);
    if (changed && usable(pool))
      owned.Book->grantWaiting(now);
  }
}

void PlacerCore::dropLostPools() {
  for (auto it = Pools.begin(); it != Pools.end();) {
    const auto *owner = model::find(View.Owners, it->first);
    const bool mine = owner && owner->Owner == Options.Self &&
                      owner->Epoch == it->second.Book->epoch();
    if (mine) {
      ++it;
      continue;
    }
    Hooks.Log("pool " + it->first.str() + " lost");
    const auto book = std::move(it->second.Book);
    const Error told = notOwner(it->first);
    it = Pools.erase(it);
    book->rejectWaiting(told);
  }
}

void PlacerCore::takeOver(const model::PoolOwner &owner) {
  Owned owned;
  owned.Book = std::make_unique<PoolScheduler>(
      owner.Pool, owner.Epoch, Hooks.Now(), Options.Pool, Hooks.Log);
  for (const auto &process : Processes)
    if (process.Kind == model::Role::Entry)
      owned.Awaited.insert(process.Id);
  Hooks.Log("pool " + owner.Pool.str() + " taken over, epoch " +
            std::to_string(owner.Epoch) + ", asks " +
            std::to_string(owned.Awaited.size()) + " entries");
  askInventories(owner.Pool,
                 Pools.emplace(owner.Pool, std::move(owned)).first->second);
}

void PlacerCore::askInventories(const PoolId &pool, Owned &owned) {
  std::vector<model::ProcessInfo> due;
  for (const auto &process : Processes)
    if (owned.Awaited.contains(process.Id) &&
        owned.Asked.insert(process.Id).second)
      due.push_back(process);
  const uint64_t epoch = owned.Book->epoch();
  for (const auto &entry : due)
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
  if (it == Pools.end() || it->second.Book->epoch() != epoch)
    return;
  Owned &owned = it->second;
  owned.Asked.erase(entry);
  // Another process may have got the address of one that is gone; tick() asks
  // again while the entry is on the list.
  if (!reply || reply.value().Entry != entry || !owned.Awaited.erase(entry))
    return;
  owned.Book->adoptInventory(reply.value(), Hooks.Now());
  if (usable(pool))
    owned.Book->grantWaiting(Hooks.Now());
}

// What a dead entry left running is seen in the endpoints' own reports.
void PlacerCore::forgetGoneEntries(Owned &owned) {
  std::erase_if(owned.Awaited, [&](const core::ProcessId &id) {
    return std::none_of(
        Processes.begin(), Processes.end(),
        [&](const model::ProcessInfo &p) { return p.Id == id; });
  });
}

void PlacerCore::returnPortions(const std::vector<model::Portion> &returns) {
  for (const auto &portion : returns) {
    Owned *owned = usable(portion.Pool);
    const auto key = std::pair(portion.Team, portion.Pool);
    const auto *held = model::find(View.Portions, key);
    if (!owned || !held || held->Amount <= portion.Amount)
      continue;
    const int64_t cap = owned->Book->capPortion(portion.Team, portion.Amount);
    if (cap >= held->Amount)
      continue;
    state::Change change;
    change.What =
        state::SetPortion{portion.Team, portion.Pool, held->Amount, cap};
    Hooks.Propose(change);
  }
}

void PlacerCore::grant(const model::GrantRequest &request,
                       PoolScheduler::OnGrant done) {
  Owned *owned = usable(request.Pool);
  if (!owned) {
    done(notOwner(request.Pool));
    return;
  }
  owned->Book->enqueue(request, std::move(done), Hooks.Now());
  owned->Book->grantWaiting(Hooks.Now());
  if (!owned->Book->needsLargerPortion())
    return;
  const auto now = Hooks.Now();
  if (now - DemandToldAt < DemandToldEvery)
    return;
  DemandToldAt = now;
  Hooks.DemandChanged();
}

core::Status PlacerCore::release(const model::Release &release) {
  const auto it = Pools.find(release.Pool);
  if (Stopped || it == Pools.end())
    return notOwner(release.Pool);
  it->second.Book->release(release, Hooks.Now());
  if (usable(release.Pool))
    it->second.Book->grantWaiting(Hooks.Now());
  return core::ok();
}

core::Status PlacerCore::report(const model::Announcement &announcement) {
  const auto *vm = model::find(View.Vms, announcement.Vm);
  const auto it = vm ? Pools.find(vm->Pool) : Pools.end();
  if (Stopped || it == Pools.end())
    return notOwner(vm ? vm->Pool : PoolId());
  it->second.Book->report(announcement, Hooks.Now());
  if (usable(vm->Pool))
    it->second.Book->grantWaiting(Hooks.Now());
  return core::ok();
}

void PlacerCore::tick() {
  for (auto &[pool, owned] : Pools) {
    owned.Book->expire(Hooks.Now());
    if (!owned.Awaited.empty())
      askInventories(pool, owned);
    if (usable(pool))
      owned.Book->grantWaiting(Hooks.Now());
  }
}

void PlacerCore::stop() {
  Stopped = true;
  for (auto &[pool, owned] : Pools)
    owned.Book->rejectWaiting(notOwner(pool));
  Pools.clear();
}

std::vector<model::Demand> PlacerCore::demands() const {
  std::vector<model::Demand> out;
  for (const auto &[pool, owned] : Pools) {
    const auto more = owned.Book->demands();
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

std::vector<model::VmStatus> PlacerCore::vmStatuses() const {
  std::vector<model::VmStatus> out;
  for (const auto &[pool, owned] : Pools) {
    const auto more = owned.Book->vmStatuses(Hooks.Now());
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

} // namespace almondgate::placer
