#include "almondgate/endpoint/run_codec.hpp"
#include "almondgate/encoding/cbor.hpp"
#include "almondgate/encoding/id_json.hpp"
#include "almondgate/encoding/value_json.hpp"

namespace almondgate::jobs {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskRef, Job, Occurrence, Step,
                                                Index)

} // namespace almondgate::jobs

namespace almondgate::dispatch {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartOrder, Task, Run, Content,
                                                DeadlineMs, Epoch, Checkpoint,
                                                Ticket)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StopOrder, Task, Run, Epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PaceOrder, Task, Run, Epoch,
                                                Percent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RenewRequest, DeadlineMs, Epoch,
                                                LastSeen, WaitMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunReport, Task, Run,
                                                Checkpoint, Percent, Usage)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndReport, Number, Task, Run,
                                                How, Checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunInventory, ClockMs, BornMs,
                                                Running, Ended, MoreEnds)

void to_json(nlohmann::json &j, const OrderReply &reply) {
  j = {{"Result", reply.Result}};
  if (reply.ClockMs)
    j["ClockMs"] = *reply.ClockMs;
}

void from_json(const nlohmann::json &j, OrderReply &reply) {
  reply.Result = j.at("Result").get<OrderResult>();
  if (j.contains("ClockMs"))
    reply.ClockMs = j.at("ClockMs").get<int64_t>();
}

} // namespace almondgate::dispatch

namespace almondgate::endpoint {

template <class T> std::string encodeRun(const T &value) {
  return encoding::toCbor(value);
}

template <class T> core::Result<T> decodeRun(std::string_view bytes) {
  return encoding::fromCbor<T>(bytes);
}

#define ALMONDGATE_RUN_MESSAGE(T)                                              \
  template std::string encodeRun<dispatch::T>(const dispatch::T &);            \
  template core::Result<dispatch::T> decodeRun<dispatch::T>(std::string_view);

ALMONDGATE_RUN_MESSAGE(StartOrder)
ALMONDGATE_RUN_MESSAGE(StopOrder)
ALMONDGATE_RUN_MESSAGE(PaceOrder)
ALMONDGATE_RUN_MESSAGE(OrderReply)
ALMONDGATE_RUN_MESSAGE(RenewRequest)
ALMONDGATE_RUN_MESSAGE(RunInventory)

} // namespace almondgate::endpoint
