#include "almondgate/state/state.hpp"

#include "view_transaction.hpp"

#include <algorithm>
#include <cctype>

namespace almondgate::state {

using core::Status;
using model::View;

// --- PutRecords

Status checkName(const char *kind, const std::string &id) {
  const auto allowed = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '-' ||
           c == '_' || c == '.';
  };
  constexpr size_t MaxNameBytes = 100;
  if (id.empty() || id.size() > MaxNameBytes ||
      !std::all_of(id.begin(), id.end(), allowed))
    return invalidArgument(
        std::string(kind) + " name '" + id +
        "' must be 1 to 100 letters, digits, '-', '_' or '.'");
  return core::ok();
}

// Scales a team's portions down proportionally if their sum exceeds the limit.
static void scalePortions(ViewTransaction &transaction,
                          const core::TeamId &team, int64_t limit) {
  const int64_t sum = model::portionSum(transaction.view(), team);
  if (sum <= limit)
    return;
  const auto portions = transaction.view().Portions;
  for (const auto &[key, portion] : portions)
    if (key.first == team)
      transaction.put(*portion.with(
          [&](model::Portion &p) { p.Amount = p.Amount * limit / sum; }));
}

static Status put(ViewTransaction &transaction, const model::Team &team) {
  if (auto named = checkName("team", team.Id.str()); !named)
    return named;
  if (team.Share < 1 || team.Limit < 0)
    return invalidArgument(
        "team '" + team.Id.str() +
        "' needs a share of at least 1 and a limit of at least 0");
  model::Team next = team;
  const auto *before = model::find(transaction.view().Teams, team.Id);
  next.ShrunkAt = before ? before->ShrunkAt : 0;
  if (before && team.Limit < before->Limit)
    next.ShrunkAt = transaction.revision();
  transaction.put(next);
  scalePortions(transaction, team.Id, team.Limit);
  return core::ok();
}

static Status put(ViewTransaction &transaction, const model::Pool &pool) {
  if (auto named = checkName("pool", pool.Id.str()); !named)
    return named;
  transaction.put(pool);
  return core::ok();
}

static Status put(ViewTransaction &transaction, const model::Queue &queue) {
  if (auto named = checkName("queue", queue.Id.str()); !named)
    return named;
  if (!model::find(transaction.view().Pools, queue.Pool))
    return notFound("pool", queue.Pool.str());
  if (!model::find(transaction.view().Teams, queue.Team))
    return notFound("team", queue.Team.str());
  const auto &size = queue.DefaultSize;
  if (size.Slots < 1 || size.MilliCpus < 0 || size.MemoryMb < 0 ||
      size.Accelerators < 0)
    return invalidArgument(
        "queue '" + queue.Id.str() +
        "' needs a default size of at least 1 slot, with no negative amounts");
  transaction.put(queue);
  return core::ok();
}

static Status put(ViewTransaction &transaction,
                  const model::FleetDefaults &defaults) {
  constexpr int64_t HundredPercent = 100;
  if (defaults.MaxUnavailablePercent < 0 ||
      defaults.MaxUnavailablePercent > HundredPercent)
    return invalidArgument("MaxUnavailablePercent must be 0 to 100");
  if (defaults.MaxWaiting < 1 || defaults.MaxWaitMs < 1 ||
      defaults.MaxRunMs < 1)
    return invalidArgument(
        "MaxWaiting, MaxWaitMs and MaxRunMs must be at least 1");
  transaction.put(defaults);
  return core::ok();
}

static Status put(ViewTransaction &transaction,
                  const model::PoolException &exception) {
  if (!model::find(transaction.view().Pools, exception.Pool))
    return notFound("pool", exception.Pool.str());
  if (exception.Reason.empty())
    return invalidArgument("the exception for pool '" + exception.Pool.str() +
                           "' needs a reason");
  if (exception.Value < 0)
    return invalidArgument("the exception for pool '" + exception.Pool.str() +
                           "' needs a value of at least 0");
  transaction.put(exception);
  return core::ok();
}

template <class T> static Status put(ViewTransaction &, const T &) {
  return invalidArgument("records of this kind cannot be put directly");
}

Status execute(ViewTransaction &transaction, const PutRecords &command) {
  for (const auto &record : command.Records) {
    Status done =
        std::visit([&](const auto &r) { return put(transaction, r); }, record);
    if (!done)
      return done;
  }
  return core::ok();
}

// --- RemoveRecord

template <class Table, class Predicate>
static bool anyRecord(const Table &table, const Predicate &refers) {
  return std::any_of(table.begin(), table.end(),
                     [&](const auto &row) { return refers(*row.second); });
}

static Status remove(ViewTransaction &transaction, const model::Pool &pool) {
  const auto *found = model::find(transaction.view().Pools, pool.Id);
  if (!found)
    return notFound("pool", pool.Id.str());
  const auto refers = [&](const auto &r) { return r.Pool == pool.Id; };
  if (anyRecord(transaction.view().Vms, refers) ||
      anyRecord(transaction.view().Queues, refers))
    return conflict("pool '" + pool.Id.str() + "' still has VMs or queues");
  const View before = transaction.view();
  for (const auto &[key, portion] : before.Portions)
    if (portion->Pool == pool.Id)
      transaction.remove(*portion);
  if (const auto *owner = model::find(before.Owners, pool.Id))
    transaction.remove(*owner);
  transaction.remove(*found);
  return core::ok();
}

static Status remove(ViewTransaction &transaction, const model::Team &team) {
  const auto *found = model::find(transaction.view().Teams, team.Id);
  if (!found)
    return notFound("team", team.Id.str());
  const auto refers = [&](const auto &r) { return r.Team == team.Id; };
  if (anyRecord(transaction.view().Queues, refers) ||
      anyRecord(transaction.view().Keys, refers))
    return conflict("team '" + team.Id.str() + "' still has queues or keys");
  const View before = transaction.view();
  for (const auto &[key, portion] : before.Portions)
    if (portion->Team == team.Id)
      transaction.remove(*portion);
  transaction.remove(*found);
  return core::ok();
}

static Status remove(ViewTransaction &transaction, const model::Queue &queue) {
  const auto *found = model::find(transaction.view().Queues, queue.Id);
  if (!found)
    return notFound("queue", queue.Id.str());
  transaction.remove(*found);
  return core::ok();
}

static Status remove(ViewTransaction &transaction,
                     const model::PoolException &exception) {
  const auto key = std::pair(exception.Pool, exception.Field);
  const auto *found = model::find(transaction.view().Exceptions, key);
  if (!found)
    return notFound("exception for pool", exception.Pool.str());
  transaction.remove(*found);
  return core::ok();
}

template <class T> static Status remove(ViewTransaction &, const T &) {
  return invalidArgument("records of this kind cannot be removed directly");
}

Status execute(ViewTransaction &transaction, const RemoveRecord &command) {
  return std::visit([&](const auto &r) { return remove(transaction, r); },
                    command.Content);
}

// --- keys

Status execute(ViewTransaction &transaction, const GrantKey &command) {
  const auto &key = command.Granted;
  constexpr size_t HashDigits = 64;
  if (key.Hash.str().size() != HashDigits)
    return invalidArgument(
        "a key must be given as its SHA-256 in 64 hexadecimal digits");
  if (!model::find(transaction.view().Teams, key.Team))
    return notFound("team", key.Team.str());
  const auto *found = model::find(transaction.view().Keys, key.Hash);
  if (found && found->Team != key.Team)
    return conflict("the key already belongs to team '" + found->Team.str() +
                    "'");
  transaction.put(key);
  return core::ok();
}

Status execute(ViewTransaction &transaction, const WithdrawKey &command) {
  const auto *found = model::find(transaction.view().Keys, command.Hash);
  if (!found)
    return notFound("key", command.Hash.str());
  transaction.remove(*found);
  return core::ok();
}

} // namespace almondgate::state
