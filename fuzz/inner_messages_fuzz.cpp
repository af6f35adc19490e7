#include "almondgate/consensus/message.hpp"
#include "almondgate/dispatch/orders.hpp"
#include "almondgate/dispatch/run_inventory.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/endpoint/run_codec.hpp"
#include "almondgate/jobs/endpoint_heartbeat.hpp"
#include "almondgate/jobs/heartbeat_batch.hpp"
#include "almondgate/jobs/job_call.hpp"
#include "almondgate/jobs/job_reply.hpp"
#include "almondgate/model/grant_request.hpp"
#include "almondgate/model/inventory.hpp"
#include "almondgate/model/record_list.hpp"
#include "almondgate/model/release.hpp"
#include "almondgate/model/watch.hpp"
#include "almondgate/state/change.hpp"

#include "fuzz_target.hpp"

#include <cstdlib>

using namespace almondgate;

namespace {

// What was decoded must survive a second round through the codec.
template <class T> void roundTrip(std::string_view bytes) {
  const auto value = encoding::decode<T>(bytes);
  if (!value)
    return;
  const std::string again = encoding::encode(value.value());
  const auto second = encoding::decode<T>(again);
  if (!second || encoding::encode(second.value()) != again)
    std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n) {
  const auto input = fuzz::inputOf(data, n);
  switch (input.Selector % 18) {
  case 0:
    roundTrip<model::Announcement>(input.Bytes);
    break;
  case 1:
    roundTrip<model::GrantRequest>(input.Bytes);
    break;
  case 2:
    roundTrip<model::Inventory>(input.Bytes);
    break;
  case 3:
    roundTrip<model::Release>(input.Bytes);
    break;
  case 4:
    roundTrip<model::WatchReply>(input.Bytes);
    break;
  case 5:
    roundTrip<model::WatchRequest>(input.Bytes);
    break;
  case 6:
    roundTrip<jobs::EndpointHeartbeat>(input.Bytes);
    break;
  case 7:
    roundTrip<jobs::FleetConfig>(input.Bytes);
    break;
  case 8:
    roundTrip<jobs::JobCall>(input.Bytes);
    break;
  case 9:
    roundTrip<jobs::JobReply>(input.Bytes);
    break;
  case 10:
    roundTrip<state::Change>(input.Bytes);
    break;
  case 11:
    roundTrip<consensus::Message>(input.Bytes);
    break;
  case 12:
    (void)encoding::decodeError(input.Bytes);
    break;
  case 13:
    (void)endpoint::decodeRun<dispatch::StartOrder>(input.Bytes);
    break;
  case 14:
    (void)endpoint::decodeRun<dispatch::RunInventory>(input.Bytes);
    break;
  case 15:
    roundTrip<jobs::HeartbeatBatch>(input.Bytes);
    break;
  case 16:
    roundTrip<jobs::HeartbeatReply>(input.Bytes);
    break;
  default:
    (void)encoding::fromJson<model::RecordList>(input.Bytes);
  }
  return 0;
}
