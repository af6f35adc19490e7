#ifndef ALMONDGATE_MODEL_VIEW_HPP
#define ALMONDGATE_MODEL_VIEW_HPP

#include "almondgate/core/value.hpp"
#include "almondgate/model/update.hpp"

#include <map>
#include <utility>
#include <vector>

namespace almondgate::model {

/// The configuration at one revision. A process replaces its view by the view
/// that withUpdates() gives; two views share the records that are the same.
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

  /// Changes this view in place; for the one owner that builds it.
  void apply(const Update &update);
};

/// The view after `updates`, in their order.
View withUpdates(View view, const std::vector<Update> &updates);

/// The update that takes `update` back from a view it is about to change.
Update inverseOf(const View &view, const Update &update);

/// Updates that build the whole view from an empty one.
std::vector<Update> snapshotOf(const View &view);

/// The setting of a pool: its exception if it has one, else the default.
int64_t settingOf(const View &view, const core::PoolId &pool,
                  DefaultField field);

/// The portions of a team added up over all pools.
int64_t portionSum(const View &view, const core::TeamId &team);

/// The record at `key`, or null.
template <class Key, class T>
const T *find(const std::map<Key, core::Value<T>> &table, const Key &key) {
  const auto it = table.find(key);
  return it == table.end() ? nullptr : &*it->second;
}

} // namespace almondgate::model

#endif
