#include "fuzz_target.hpp"
#include "wire.hpp"

using namespace almondgate;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n) {
  constexpr int64_t WallMs = 1700000000000;
  const auto input = fuzz::inputOf(data, n);
  const http::Response answer{
      input.Selector % 2 ? 200 : 409, {}, std::string(input.Bytes)};
  switch (input.Selector / 2 % 10) {
  case 0:
    (void)platform::decodeJob(input.Bytes);
    break;
  case 1:
    (void)platform::decodeConfig(std::string(input.Bytes));
    break;
  case 2:
    (void)platform::decodeHeartbeat("i-1", input.Bytes, WallMs);
    break;
  case 3:
    (void)platform::decodeWave(input.Bytes, WallMs);
    break;
  case 4:
    (void)platform::decodeIncarnation(input.Bytes);
    break;
  case 5:
    (void)platform::decodeOrderReply(answer);
    break;
  case 6:
    (void)platform::decodeInventory(input.Bytes);
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
