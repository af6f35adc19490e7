#include "fuzz_target.hpp"
#include "wire.hpp"

using namespace almondgate;

namespace {

// Encodes what the servers answer to a message, so that the input reaches the
// bytes of the answer.
template <class T> void encodeAnswerTo(const core::Result<T> &decoded) {
  jobs::JobReply reply;
  reply.Outcome = jobs::JobOutcome::Invalid;
  if (!decoded)
    reply.Text = decoded.error().Text;
  (void)platform::encodeReply(reply);
  constexpr int64_t RetryAfterMs = 500;
  (void)platform::refusal(503, RetryAfterMs, reply.Text);
}

// Encodes the orders for a run with the strings that an endpoint reported.
void encodeOrders(const dispatch::RunInventory &inventory) {
  for (const auto &run : inventory.Running) {
    dispatch::StartOrder order;
    order.Task = run.Task;
    order.Checkpoint = run.Checkpoint;
    order.Content = run.Checkpoint;
    order.Ticket = run.Checkpoint;
    (void)platform::encodeStart(order);
    (void)platform::encodeStop({run.Task, run.Run, 1});
  }
}

// Encodes a request for advice about an endpoint with this id.
void encodeAdviceAbout(const std::string &id) {
  dispatch::AdviceRequest request;
  request.Endpoints.emplace_back(id);
  (void)platform::encodeAdvise(request);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n) {
  constexpr int64_t WallMs = 1700000000000;
  const auto input = fuzz::inputOf(data, n);
  const http::Response answer{
      input.Selector % 2 ? 200 : 409, {}, std::string(input.Bytes)};
  switch (input.Selector / 2 % 10) {
  case 0:
    encodeAnswerTo(platform::decodeJob(input.Bytes));
    break;
  case 1:
    encodeAnswerTo(platform::decodeConfig(std::string(input.Bytes)));
    break;
  case 2:
    encodeAnswerTo(platform::decodeHeartbeat("i-1", input.Bytes, WallMs));
    encodeAdviceAbout(std::string(input.Bytes));
    break;
  case 3:
    encodeAnswerTo(platform::decodeWave(input.Bytes, WallMs));
    break;
  case 4:
    (void)platform::decodeIncarnation(input.Bytes);
    break;
  case 5:
    (void)platform::decodeOrderReply(answer);
    break;
  case 6:
    if (const auto inventory = platform::decodeInventory(input.Bytes))
      encodeOrders(inventory.value());
    break;
  case 7:
    (void)platform::decodeTickets(input.Bytes);
    break;
  case 8:
    (void)platform::decodeVmPage(input.Bytes);
    break;
  default:
    (void)platform::decodeVmOrderReply(answer);
  }
  return 0;
}
