#include "almondgate/state/state.hpp"

#include "draft.hpp"

#include <algorithm>
#include <cctype>

namespace almondgate::state {

using core::Status;
using model::View;

// --- PutRecords

Status checkName(const char *kind, const std::string &id) {
  const auto good = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '-' ||
           c == '_' || c == '.';
  };
  constexpr size_t MaxNameBytes = 100;
  if (id.empty() || id.size() > MaxNameBytes ||
      !std::all_of(id.begin(), id.end(), good))
    return invalid(std::string(kind) + " name '" + id +
                   "' must be 1 to 100 letters, digits, '-', '_' or '.'");
  return core::ok();
}

// Cuts the portions in proportion, so that they add up to at most the limit.
static void scalePortions(Draft &draft, const core::TeamId &team,
                          int64_t limit) {
  const int64_t sum = model::portionSum(draft.view(), team);
  if (sum <= limit)
    return;
  const auto portions = draft.view().Portions;
  for (const auto &[key, portion] : portions)
    if (key.first == team)
      draft.put(*portion.with(
          [&](model::Portion &p) { p.Amount = p.Amount * limit / sum; }));
}

static Status put(Draft &draft, const model::Team &team) {
  if (auto named = checkName("team", team.Id.str()); !named)
    return named;
  if (team.Share < 1 || team.Limit < 0)
    return invalid("team '" + team.Id.str() +
                   "' needs a share of at least 1 and a limit of at least 0");
  model::Team next = team;
  const auto *before = model::find(draft.view().Teams, team.Id);
  next.ShrunkAt = before ? before->ShrunkAt : 0;
  if (before && team.Limit < before->Limit)
    next.ShrunkAt = draft.revision();
  draft.put(next);
  scalePortions(draft, team.Id, team.Limit);
  return core::ok();
}

static Status put(Draft &draft, const model::Pool &pool) {
  if (auto named = checkName("pool", pool.Id.str()); !named)
    return named;
  draft.put(pool);
  return core::ok();
}

static Status put(Draft &draft, const model::Queue &queue) {
  if (auto named = checkName("queue", queue.Id.str()); !named)
    return named;
  if (!model::find(draft.view().Pools, queue.Pool))
    return missing("pool", queue.Pool.str());
  if (!model::find(draft.view().Teams, queue.Team))
    return missing("team", queue.Team.str());
  const auto &size = queue.DefaultSize;
  if (size.Slots < 1 || size.MilliCpus < 0 || size.MemoryMb < 0 ||
      size.Accelerators < 0)
    return invalid("queue '" + queue.Id.str() + "' has a bad default size");
  draft.put(queue);
  return core::ok();
}

static Status put(Draft &draft, const model::FleetDefaults &defaults) {
  constexpr int64_t HundredPercent = 100;
  if (defaults.MaxUnavailablePercent < 0 ||
      defaults.MaxUnavailablePercent > HundredPercent)
    return invalid("MaxUnavailablePercent must be 0 to 100");
  if (defaults.MaxWaiting < 1 || defaults.MaxWaitMs < 1 ||
      defaults.MaxRunMs < 1)
    return invalid("MaxWaiting, MaxWaitMs and MaxRunMs must be at least 1");
  draft.put(defaults);
  return core::ok();
}

static Status put(Draft &draft, const model::PoolException &exception) {
  if (!model::find(draft.view().Pools, exception.Pool))
    return missing("pool", exception.Pool.str());
  if (exception.Reason.empty())
    return invalid("an exception needs a written reason");
  if (exception.Value < 0)
    return invalid("an exception's value must be at least 0");
  draft.put(exception);
  return core::ok();
}

template <class T> static Status put(Draft &, const T &) {
  return invalid("records of this kind are not put by hand");
}

Status run(Draft &draft, const PutRecords &command) {
  for (const auto &record : command.Records) {
    Status done =
        std::visit([&](const auto &r) { return put(draft, r); }, record);
    if (!done)
      return done;
  }
  return core::ok();
}

// --- RemoveRecord

template <class Table, class Uses>
static bool anyOf(const Table &table, const Uses &uses) {
  return std::any_of(table.begin(), table.end(),
                     [&](const auto &row) { return uses(*row.second); });
}

static Status remove(Draft &draft, const model::Pool &pool) {
  const auto *found = model::find(draft.view().Pools, pool.Id);
  if (!found)
    return missing("pool", pool.Id.str());
  const auto uses = [&](const auto &r) { return r.Pool == pool.Id; };
  if (anyOf(draft.view().Vms, uses) || anyOf(draft.view().Queues, uses))
    return conflict("pool '" + pool.Id.str() + "' still has VMs or queues");
  const View before = draft.view();
  for (const auto &[key, portion] : before.Portions)
    if (portion->Pool == pool.Id)
      draft.remove(*portion);
  if (const auto *owner = model::find(before.Owners, pool.Id))
    draft.remove(*owner);
  draft.remove(*found);
  return core::ok();
}

static Status remove(Draft &draft, const model::Team &team) {
  const auto *found = model::find(draft.view().Teams, team.Id);
  if (!found)
    return missing("team", team.Id.str());
  const auto uses = [&](const auto &r) { return r.Team == team.Id; };
  if (anyOf(draft.view().Queues, uses) || anyOf(draft.view().Keys, uses))
    return conflict("team '" + team.Id.str() + "' still has queues or keys");
  const View before = draft.view();
  for (const auto &[key, portion] : before.Portions)
    if (portion->Team == team.Id)
      draft.remove(*portion);
  draft.remove(*found);
  return core::ok();
}

static Status remove(Draft &draft, const model::Queue &queue) {
  const auto *found = model::find(draft.view().Queues, queue.Id);
  if (!found)
    return missing("queue", queue.Id.str());
  draft.remove(*found);
  return core::ok();
}

static Status remove(Draft &draft, const model::PoolException &exception) {
  const auto key = std::pair(exception.Pool, exception.Field);
  const auto *found = model::find(draft.view().Exceptions, key);
  if (!found)
    return missing("exception for pool", exception.Pool.str());
  draft.remove(*found);
  return core::ok();
}

template <class T> static Status remove(Draft &, const T &) {
  return invalid("records of this kind are not removed by hand");
}

Status run(Draft &draft, const RemoveRecord &command) {
  return std::visit([&](const auto &r) { return remove(draft, r); },
                    command.Content);
}

// --- keys

Status run(Draft &draft, const GrantKey &command) {
  const auto &key = command.Granted;
  constexpr size_t HashDigits = 64;
  if (key.Hash.str().size() != HashDigits)
    return invalid("a key is granted by its SHA-256 in hexadecimal");
  if (!model::find(draft.view().Teams, key.Team))
    return missing("team", key.Team.str());
  const auto *found = model::find(draft.view().Keys, key.Hash);
  if (found && found->Team != key.Team)
    return conflict("the key belongs to another team");
  draft.put(key);
  return core::ok();
}

Status run(Draft &draft, const WithdrawKey &command) {
  const auto *found = model::find(draft.view().Keys, command.Hash);
  if (!found)
    return missing("key", command.Hash.str());
  draft.remove(*found);
  return core::ok();
}

} // namespace almondgate::state
