#include "almondgate/dispatch/vm_list_cache.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

constexpr core::DurationMs MinRequestInterval{1500};

} // namespace

VmListCache::VmListCache(VmListCacheHooks hooks) : Hooks(std::move(hooks)) {}

void VmListCache::clear() {
  ++Generation;
  Vms.clear();
  InTransition = 0;
  Loaded = false;
  CallPending = false;
  ReadAt = RequestedAt = core::TimeMs{INT64_MIN / 2};
}

void VmListCache::refresh() {
  const auto now = Hooks.Now();
  if (!Hooks.ListVms || CallPending || now - RequestedAt < MinRequestInterval)
    return;
  CallPending = true;
  RequestedAt = now;
  Hooks.ListVms([this, now, generation = Generation](const auto &answer) {
    if (generation != Generation)
      return;
    CallPending = false;
    if (!answer) {
      Hooks.Log("cannot read the VM list: " + answer.error().Text);
      return;
    }
    Loaded = true;
    ReadAt = now;
    Vms.clear();
    for (const auto &vm : answer.value())
      Vms[vm.Id] = vm;
    countInTransition();
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
  if (it == Vms.end())
    return;
  it->second.State = VmState::Up;
  countInTransition();
}

void VmListCache::countInTransition() {
  InTransition = std::count_if(Vms.begin(), Vms.end(), [](const auto &row) {
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
