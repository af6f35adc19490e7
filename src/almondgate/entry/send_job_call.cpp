#include "almondgate/entry/send_job_call.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/encoding/codec.hpp"

#include "almondgate/protocol/reply_decoding.hpp"

namespace almondgate::entry {

static constexpr int CallIdBytes = 8;

void sendJobCall(watch::ControlClient &control, jobs::JobCall call,
                 core::DurationMs timeout,
                 std::function<void(core::Result<jobs::JobReply>)> done) {
  call.Call = core::randomHex(CallIdBytes);
  control.call(protocol::Method::Job, encoding::encode(call), timeout,
               [done = std::move(done)](const auto &reply) {
                 done(protocol::decodeReply<jobs::JobReply>(reply));
               });
}

} // namespace almondgate::entry
