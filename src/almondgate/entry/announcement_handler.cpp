#include "almondgate/entry/announcement_handler.hpp"

namespace almondgate::entry {

using core::Error;
using core::ErrorCode;

namespace {

bool matchesRecord(const model::Vm &vm, const model::Announcement &a) {
  return vm.Endpoint == a.Endpoint && vm.Zone == a.Zone && vm.Rack == a.Rack &&
         vm.BootId == a.BootId && vm.Capacity == a.Capacity &&
         vm.Leaving == a.Leaving;
}

core::Status validate(const model::Announcement &a) {
  if (a.Vm.empty() || a.BootId.empty() || a.Endpoint.Ip.empty())
    return Error{ErrorCode::InvalidArgument,
                 "an announcement needs Vm, BootId and Endpoint"};
  if (a.Capacity.Slots < 1)
    return Error{ErrorCode::InvalidArgument,
                 "VM " + a.Vm.str() + " needs at least one slot"};
  return core::ok();
}

} // namespace

AnnouncementHandler::AnnouncementHandler(AnnouncementHooks hooks)
    : Hooks(std::move(hooks)) {}

void AnnouncementHandler::announce(const model::Announcement &announcement,
                                   const AnnouncementHooks::OnDone &done) {
  if (auto good = validate(announcement); !good) {
    done(good);
    return;
  }
  const auto *vm = model::find(Hooks.View().Vms, announcement.Vm);
  if (vm && matchesRecord(*vm, announcement)) {
    report(announcement, done);
    return;
  }
  state::Change change;
  change.What = state::RegisterVm{announcement};
  Hooks.Propose(change, [this, announcement, done](const core::Status &status) {
    if (status)
      report(announcement, done);
    else
      done(status);
  });
}

void AnnouncementHandler::report(const model::Announcement &announcement,
                                 const AnnouncementHooks::OnDone &done) {
  const auto &view = Hooks.View();
  const auto *vm = model::find(view.Vms, announcement.Vm);
  const auto *owner = vm ? model::find(view.Owners, vm->Pool) : nullptr;
  if (!owner) {
    // No placer owns the VM: it is in no pool, or the pool has no owner now.
    done(core::ok());
    return;
  }
  Hooks.Report(owner->Placer, announcement, done);
}

} // namespace almondgate::entry
