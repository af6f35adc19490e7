#ifndef ALMONDGATE_JOBS_IDS_HPP
#define ALMONDGATE_JOBS_IDS_HPP

#include "almondgate/core/id.hpp"

namespace almondgate::jobs {

using JobId = core::Id<struct JobTag>;
/// A VM's endpoint process; EndpointFacts::BornMs tells its incarnations apart.
using EndpointId = core::Id<struct EndpointTag>;
/// The program that the tasks of a step run. Tasks with the same image are
/// expected to behave alike.
using ImageId = core::Id<struct ImageTag>;

} // namespace almondgate::jobs

#endif
