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

/// What the VM list asks of the world around it.
struct VmListCacheHooks {
  core::Clock Now;
  std::function<void(std::function<void(core::Result<std::vector<VmListing>>)>)>
      ListVms;
  observe::LogLine Log;
};

/// The VM service's list, read when it is asked for and kept up to date with
/// our own moves between reads: each read is paid for.
class VmListCache {
public:
  explicit VmListCache(VmListCacheHooks hooks);

  void clear();

  /// Reads the list again, unless it was read a moment ago.
  void refresh();

  /// The list was read after `since`.
  bool wasReadSince(core::TimeMs since) const;
  bool isLoaded() const { return Loaded; }

  const std::map<core::VmId, VmListing> &vms() const { return Vms; }
  const VmListing *find(const core::VmId &vm) const;

  /// A move was accepted.
  void recordMove(const core::VmId &vm, const core::PoolId &to);

  /// A move into a spare pool is over.
  void recordParked(const core::VmId &vm);

  /// A VM was away for its move or its upkeep when the list was read.
  bool hasVmsInTransition() const;

private:
  const VmListCacheHooks Hooks;
  std::map<core::VmId, VmListing> Vms;
  bool Loaded = false;
  bool Calling = false;
  core::TimeMs ReadAt{INT64_MIN / 2};
  core::TimeMs AskedAt{INT64_MIN / 2};
  uint64_t Generation = 0;
};

} // namespace almondgate::dispatch

#endif
