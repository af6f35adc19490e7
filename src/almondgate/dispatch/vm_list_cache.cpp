#include "almondgate/dispatch/vm_list_cache.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

constexpr core::DurationMs ShortestInterval{1500};

} // namespace

VmListCache::VmListCache(VmListCacheHooks hooks) : Hooks(std::move(hooks)) {}

void VmListCache::clear() {
  ++Generation;
  Vms.clear();
  Loaded = false;
  Calling = false;
  ReadAt = AskedAt = core::TimeMs{INT64_MIN / 2};
}

void VmListCache::refresh() {
  const auto now = Hooks.Now();
  if (!Hooks.ListVms || Calling || now - AskedAt < ShortestInterval)
    return;
  Calling = true;
  AskedAt = now;
  Hooks.ListVms([this, now, generation = Generation](const auto &answer) {
    if (generation != Generation)
      return;
    Calling = false;
    if (!answer) {
      Hooks.Log("the list of VMs can't be read: " + answer.error().Text);
      return;
    }
    Loaded = true;
    ReadAt = now;
    Vms.clear();
    for (const auto &vm : answer.value())
      Vms[vm.Id] = vm;
  });
}

bool VmListCache::wasReadSince(core::TimeMs since) const {
  return ReadAt >= since;
}

const VmListing *VmListCache::find(const core::VmId &vm) const {
  const auto it = Vms.find(vm);
  return it == Vms.end() ? nullptr : &it->second;
}

void VmListCache::recordParked(const core::VmId &vm) {
  const auto it = Vms.find(vm);
  if (it != Vms.end())
    it->second.State = VmState::Up;
}

bool VmListCache::hasVmsInTransition() const {
  return std::any_of(Vms.begin(), Vms.end(), [](const auto &row) {
    return row.second.State == VmState::Moving ||
           row.second.State == VmState::Maintenance;
  });
}

void VmListCache::recordMove(const core::VmId &vm, const core::PoolId &to) {
  const auto it = Vms.find(vm);
  if (it != Vms.end())
    it->second.Pool = to;
}

} // namespace almondgate::dispatch
