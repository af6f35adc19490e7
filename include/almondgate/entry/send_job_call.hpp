#ifndef ALMONDGATE_ENTRY_SEND_JOB_CALL_HPP
#define ALMONDGATE_ENTRY_SEND_JOB_CALL_HPP

#include "almondgate/jobs/job_call.hpp"
#include "almondgate/jobs/job_reply.hpp"
#include "almondgate/watch/control_client.hpp"

#include <functional>

namespace almondgate::entry {

/// Sends a caller's job request to the control leader. The call gets a unique
/// id that all its attempts share, so that a repeated attempt gets the reply of
/// the first. Errors: as ControlClient::call().
void sendJobCall(watch::ControlClient &control, jobs::JobCall call,
                 core::DurationMs timeout,
                 std::function<void(core::Result<jobs::JobReply>)> done);

} // namespace almondgate::entry

#endif
