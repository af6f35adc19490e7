#ifndef ALMONDGATE_MODEL_VIEW_HPP
#define ALMONDGATE_MODEL_VIEW_HPP

#include "almondgate/core/value.hpp"
#include "almondgate/model/update.hpp"

#include <map>
#include <utility>
#include <vector>

namespace almondgate::model {

/// The configuration at one revision. A process replaces its view with the
/// result of withUpdates(); both views share the unchanged records.
struct View {
  template <class Key, class T> using Table = std::map<Key, core::Value<T>>;

  uint64_t Revision = 0;
  FleetDefaults Defaults;
  Table<core::TeamId, Team> Teams;
  Table<core::PoolId, Pool> Pools;
  Table<core::VmId, Vm> Vms;
  Table<core::QueueId, Queue> Queues;
  Table<core::KeyHash, Key> Keys;
  Table<std::pair<core::PoolId, DefaultField>, PoolException> Exceptions;
  Table<core::PoolId, PoolOwner> Owners;
  Table<std::pair<core::TeamId, core::PoolId>, Portion> Portions;
  Table<core::WaveId, Wave> Waves;

  bool operator==(const View &) const = default;

  /// Applies an update in place; only for the code that builds this view.
  void apply(const Update &update);
};

/// Returns the view with `updates` applied in order.
View withUpdates(View view, const std::vector<Update> &updates);

/// Returns the update that undoes `update`; `view` is the view before it.
Update inverseOf(const View &view, const Update &update);

/// Returns the updates that build the whole view from an empty one.
std::vector<Update> snapshotOf(const View &view);

/// Returns a pool's exception for a setting, or the fleet's default.
int64_t settingOf(const View &view, const core::PoolId &pool,
                  DefaultField field);

/// Returns the sum of a team's portions over all pools.
int64_t portionSum(const View &view, const core::TeamId &team);

/// Returns the record at `key`, or null.
template <class Key, class T>
const T *find(const std::map<Key, core::Value<T>> &table, const Key &key) {
  const auto it = table.find(key);
  return it == table.end() ? nullptr : &*it->second;
}

} // namespace almondgate::model

#endif
