#ifndef ALMONDGATE_JOBS_IDS_HPP
#define ALMONDGATE_JOBS_IDS_HPP

#include "almondgate/core/id.hpp"

namespace almondgate::jobs {

using JobId = core::Id<struct JobTag>;
/// One life of a VM's endpoint process.
using EndpointId = core::Id<struct EndpointTag>;
/// What the tasks of a step run; tasks of one image behave alike.
using ImageId = core::Id<struct ImageTag>;

} // namespace almondgate::jobs

#endif
