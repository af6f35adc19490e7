#ifndef ALMONDGATE_ENTRY_SEND_JOB_CALL_HPP
#define ALMONDGATE_ENTRY_SEND_JOB_CALL_HPP

#include "almondgate/jobs/job_call.hpp"
#include "almondgate/jobs/job_reply.hpp"
#include "almondgate/watch/control_client.hpp"

#include <functional>

namespace almondgate::entry {

/// Asks the control leader to carry out a caller's request about a job. The
/// call gets a name of its own, the same at each try, so that all tries are
/// answered alike. Errors given: as ControlClient::call().
void sendJobCall(watch::ControlClient &control, jobs::JobCall call,
                 core::DurationMs timeout,
                 std::function<void(core::Result<jobs::JobReply>)> done);

} // namespace almondgate::entry

#endif
