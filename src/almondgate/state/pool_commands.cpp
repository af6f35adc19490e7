#include "almondgate/state/state.hpp"

#include "view_transaction.hpp"

#include <algorithm>

namespace almondgate::state {

using core::Status;

// --- pool ownership and portions

Status execute(ViewTransaction &transaction, const AssignPool &command) {
  if (!model::find(transaction.view().Pools, command.Pool))
    return notFound("pool", command.Pool.str());
  const auto *owner = model::find(transaction.view().Owners, command.Pool);
  const uint64_t epoch = owner ? owner->Epoch : 0;
  if (epoch != command.ExpectedEpoch)
    return conflict("pool '" + command.Pool.str() + "' is at epoch " +
                    std::to_string(epoch) + ", expected " +
                    std::to_string(command.ExpectedEpoch));
  transaction.put(
      model::PoolOwner{command.Pool, command.Owner, command.Placer, epoch + 1});
  return core::ok();
}

Status execute(ViewTransaction &transaction, const SetPortion &command) {
  const auto *team = model::find(transaction.view().Teams, command.Team);
  if (!team)
    return notFound("team", command.Team.str());
  if (!model::find(transaction.view().Pools, command.Pool))
    return notFound("pool", command.Pool.str());
  const auto key = std::pair(command.Team, command.Pool);
  const auto *found = model::find(transaction.view().Portions, key);
  const int64_t current = found ? found->Amount : 0;
  if (current != command.From)
    return conflict("the portion of team '" + command.Team.str() +
                    "' in pool '" + command.Pool.str() + "' is " +
                    std::to_string(current) + ", expected " +
                    std::to_string(command.From));
  if (command.To < 0)
    return invalidArgument("a portion must be at least 0");
  const int64_t sum = model::portionSum(transaction.view(), command.Team);
  if (command.To > current && sum - current + command.To > team->Limit)
    return conflict("the portions of team '" + command.Team.str() +
                    "' would exceed its limit of " +
                    std::to_string(team->Limit));
  transaction.put(model::Portion{command.Team, command.Pool, command.To});
  return core::ok();
}

} // namespace almondgate::state
