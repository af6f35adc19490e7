#include "almondgate/model/view.hpp"

namespace almondgate::model {

namespace {

// tableOf() gives the table of the view that stores a kind of record, keyOf()
// the key of a record in that table.
auto &tableOf(auto &v, const Team &) { return v.Teams; }
auto &tableOf(auto &v, const Pool &) { return v.Pools; }
auto &tableOf(auto &v, const Vm &) { return v.Vms; }
auto &tableOf(auto &v, const Queue &) { return v.Queues; }
auto &tableOf(auto &v, const Key &) { return v.Keys; }
auto &tableOf(auto &v, const PoolException &) { return v.Exceptions; }
auto &tableOf(auto &v, const PoolOwner &) { return v.Owners; }
auto &tableOf(auto &v, const Portion &) { return v.Portions; }
auto &tableOf(auto &v, const Wave &) { return v.Waves; }

template <class T> const auto &keyOf(const T &t) { return t.Id; }
const auto &keyOf(const Key &t) { return t.Hash; }
const auto &keyOf(const PoolOwner &t) { return t.Pool; }
auto keyOf(const PoolException &t) { return std::pair(t.Pool, t.Field); }
auto keyOf(const Portion &t) { return std::pair(t.Team, t.Pool); }

struct ApplyVisitor {
  View &Target;
  bool Removed;

  void operator()(const FleetDefaults &defaults) const {
    Target.Defaults = Removed ? FleetDefaults{} : defaults;
  }

  template <class T> void operator()(const T &record) const {
    auto &table = tableOf(Target, record);
    if (Removed)
      table.erase(keyOf(record));
    else
      table.insert_or_assign(keyOf(record), core::Value<T>(record));
  }
};

struct InvertVisitor {
  const View &Before;

  Update operator()(const FleetDefaults &) const {
    return {Before.Revision, false, Before.Defaults};
  }

  template <class T> Update operator()(const T &record) const {
    const auto &table = tableOf(Before, record);
    const auto it = table.find(keyOf(record));
    if (it == table.end())
      return {Before.Revision, true, record};
    return {Before.Revision, false, *it->second};
  }
};

template <class Table>
void appendAll(std::vector<Update> &out, uint64_t revision,
               const Table &table) {
  for (const auto &[key, record] : table)
    out.push_back({revision, false, *record});
}

int64_t defaultOf(const FleetDefaults &defaults, DefaultField field) {
  switch (field) {
  case DefaultField::MaxUnavailablePercent:
    return defaults.MaxUnavailablePercent;
  case DefaultField::MaxWaiting:
    return defaults.MaxWaiting;
  case DefaultField::MaxWaitMs:
    return defaults.MaxWaitMs;
  case DefaultField::MaxRunMs:
    return defaults.MaxRunMs;
  }
  return 0;
}

} // namespace

const char *vmPhaseName(VmPhase phase) {
  switch (phase) {
  case VmPhase::Active:
    return "active";
  case VmPhase::Draining:
    return "draining";
  case VmPhase::Released:
    return "released";
  }
  return "unknown";
}

const char *waveKindName(WaveKind kind) {
  switch (kind) {
  case WaveKind::Drain:
    return "drain";
  case WaveKind::Reboot:
    return "reboot";
  case WaveKind::Replace:
    return "replace";
  case WaveKind::Evacuate:
    return "evacuate";
  }
  return "unknown";
}

const char *waveStatusName(WaveStatus status) {
  switch (status) {
  case WaveStatus::Running:
    return "running";
  case WaveStatus::Paused:
    return "paused";
  case WaveStatus::Done:
    return "done";
  case WaveStatus::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

const char *stepPhaseName(StepPhase phase) {
  switch (phase) {
  case StepPhase::Waiting:
    return "waiting";
  case StepPhase::Draining:
    return "draining";
  case StepPhase::Released:
    return "released";
  case StepPhase::Done:
    return "done";
  }
  return "unknown";
}

void View::apply(const Update &update) {
  std::visit(ApplyVisitor{*this, update.Removed}, update.Content);
  if (update.Revision > Revision)
    Revision = update.Revision;
}

View withUpdates(View view, const std::vector<Update> &updates) {
  for (const auto &update : updates)
    view.apply(update);
  return view;
}

Update inverseOf(const View &view, const Update &update) {
  return std::visit(InvertVisitor{view}, update.Content);
}

std::vector<Update> snapshotOf(const View &view) {
  const uint64_t rev = view.Revision;
  std::vector<Update> out;
  out.push_back({rev, false, view.Defaults});
  appendAll(out, rev, view.Teams);
  appendAll(out, rev, view.Pools);
  appendAll(out, rev, view.Vms);
  appendAll(out, rev, view.Queues);
  appendAll(out, rev, view.Keys);
  appendAll(out, rev, view.Exceptions);
  appendAll(out, rev, view.Owners);
  appendAll(out, rev, view.Portions);
  appendAll(out, rev, view.Waves);
  return out;
}

int64_t settingOf(const View &view, const core::PoolId &pool,
                  DefaultField field) {
  const auto *exception = find(view.Exceptions, std::pair(pool, field));
  return exception ? exception->Value : defaultOf(view.Defaults, field);
}

int64_t portionSum(const View &view, const core::TeamId &team) {
  int64_t sum = 0;
  auto it = view.Portions.lower_bound(std::pair(team, core::PoolId()));
  for (; it != view.Portions.end() && it->first.first == team; ++it)
    sum += it->second->Amount;
  return sum;
}

} // namespace almondgate::model
