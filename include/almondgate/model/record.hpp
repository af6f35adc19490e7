#ifndef ALMONDGATE_MODEL_RECORD_HPP
#define ALMONDGATE_MODEL_RECORD_HPP

#include "almondgate/model/fleet_defaults.hpp"
#include "almondgate/model/key.hpp"
#include "almondgate/model/pool.hpp"
#include "almondgate/model/pool_exception.hpp"
#include "almondgate/model/pool_owner.hpp"
#include "almondgate/model/portion.hpp"
#include "almondgate/model/queue.hpp"
#include "almondgate/model/team.hpp"
#include "almondgate/model/vm.hpp"
#include "almondgate/model/wave.hpp"

#include <variant>

namespace almondgate::model {

/// Any record of the configuration. New kinds must be added at the end, because
/// the index is written to disk.
using Record = std::variant<Team, Pool, Vm, Queue, Key, FleetDefaults,
                            PoolException, PoolOwner, Portion, Wave>;

} // namespace almondgate::model

#endif
