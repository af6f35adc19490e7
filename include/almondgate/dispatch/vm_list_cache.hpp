#ifndef ALMONDGATE_DISPATCH_VM_LIST_CACHE_HPP
#define ALMONDGATE_DISPATCH_VM_LIST_CACHE_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/dispatch/vm_listing.hpp"
#include "almondgate/observe/log.hpp"

#include <functional>
#include <map>
#include <vector>

namespace almondgate::dispatch {

/// What VmListCache requires of its owner.
struct VmListCacheHooks {
  core::Clock Now;
  /// Reads the VM service's list; without it, the cache stays empty.
  std::function<void(std::function<void(core::Result<std::vector<VmListing>>)>)>
      ListVms;
  observe::LogLine Log;
};

/// A copy of the VM service's list. It is read only on request, because each
/// read is charged for, and updated with the dispatcher's own moves in between.
class VmListCache {
public:
  explicit VmListCache(VmListCacheHooks hooks);

  void clear();

  /// Requests the list again, unless a request is pending or was sent less than
  /// 1.5 s ago.
  void refresh();

  /// The list in the cache was requested at `since` or later.
  bool wasReadSince(core::TimeMs since) const;
  /// The list has been read since the last clear().
  bool isLoaded() const { return Loaded; }

  const std::map<core::VmId, VmListing> &vms() const { return Vms; }
  /// Null if the list does not contain the VM.
  const VmListing *find(const core::VmId &vm) const;

  /// Records that the VM service accepted a move of the VM.
  void recordMove(const core::VmId &vm, const core::PoolId &to);

  /// Records that a move of the VM into a spare pool is over.
  void recordParked(const core::VmId &vm);

  /// Some VM was away for a move or for maintenance when the list was read.
  bool hasVmsInTransition() const { return InTransition > 0; }

private:
  void countInTransition();

  const VmListCacheHooks Hooks;
  std::map<core::VmId, VmListing> Vms;
  /// Number of VMs that are moving or in maintenance.
  int64_t InTransition = 0;
  bool Loaded = false;
  bool CallPending = false;
  /// When the list in the cache was requested.
  core::TimeMs ReadAt{INT64_MIN / 2};
  /// When the list was last requested.
  core::TimeMs RequestedAt{INT64_MIN / 2};
  uint64_t Generation = 0;
};

} // namespace almondgate::dispatch

#endif
