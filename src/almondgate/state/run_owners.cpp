#include "almondgate/state/state.hpp"

#include "draft.hpp"

#include <algorithm>

namespace almondgate::state {

using core::Status;

// --- ownership and portions

Status run(Draft &draft, const AssignPool &command) {
  if (!model::find(draft.view().Pools, command.Pool))
    return missing("pool", command.Pool.str());
  const auto *owner = model::find(draft.view().Owners, command.Pool);
  const uint64_t epoch = owner ? owner->Epoch : 0;
  if (epoch != command.ExpectedEpoch)
    return conflict("pool '" + command.Pool.str() + "' is at epoch " +
                    std::to_string(epoch));
  draft.put(
      model::PoolOwner{command.Pool, command.Owner, command.Placer, epoch + 1});
  return core::ok();
}

Status run(Draft &draft, const SetPortion &command) {
  const auto *team = model::find(draft.view().Teams, command.Team);
  if (!team)
    return missing("team", command.Team.str());
  if (!model::find(draft.view().Pools, command.Pool))
    return missing("pool", command.Pool.str());
  const auto key = std::pair(command.Team, command.Pool);
  const auto *found = model::find(draft.view().Portions, key);
  const int64_t now = found ? found->Amount : 0;
  if (now != command.From)
    return conflict("the portion is " + std::to_string(now));
  if (command.To < 0)
    return invalid("a portion is at least 0");
  const int64_t sum = model::portionSum(draft.view(), command.Team);
  if (command.To > now && sum - now + command.To > team->Limit)
    return conflict("the portions would exceed the limit of team '" +
                    command.Team.str() + "'");
  draft.put(model::Portion{command.Team, command.Pool, command.To});
  return core::ok();
}

} // namespace almondgate::state
