#include "almondgate/dispatch/vm_list.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

constexpr core::DurationMs ShortestInterval{1500};

} // namespace

VmList::VmList(VmListHooks hooks) : Hooks(std::move(hooks)) {}

void VmList::clear() {
  ++Generation;
  Vms.clear();
  Known = false;
  Calling = false;
  ReadAt = AskedAt = core::TimeMs{INT64_MIN / 2};
}

void VmList::refresh() {
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
    Known = true;
    ReadAt = now;
    Vms.clear();
    for (const auto &vm : answer.value())
      Vms[vm.Id] = vm;
  });
}

bool VmList::isNewerThan(core::TimeMs since) const { return ReadAt >= since; }

const VmListing *VmList::find(const core::VmId &vm) const {
  const auto it = Vms.find(vm);
  return it == Vms.end() ? nullptr : &it->second;
}

void VmList::noteParked(const core::VmId &vm) {
  const auto it = Vms.find(vm);
  if (it != Vms.end())
    it->second.State = VmState::Up;
}

bool VmList::showsAway() const {
  return std::any_of(Vms.begin(), Vms.end(), [](const auto &row) {
    return row.second.State == VmState::Moving ||
           row.second.State == VmState::Upkeep;
  });
}

void VmList::noteMove(const core::VmId &vm, const core::PoolId &to) {
  const auto it = Vms.find(vm);
  if (it != Vms.end())
    it->second.Pool = to;
}

} // namespace almondgate::dispatch
