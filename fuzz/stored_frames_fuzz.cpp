#include "almondgate/consensus/effects.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/state/state.hpp"
#include "almondgate/storage/frame.hpp"

#include "fuzz_target.hpp"

using namespace almondgate;

// The payload is tried as it is too, since the checksum stops nearly all
// changed frames.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n) {
  const auto input = fuzz::inputOf(data, n);
  switch (input.Selector % 4) {
  case 0:
    if (const auto frames = storage::decodeFrames(input.Bytes))
      for (const auto &payload : frames.value().Payloads)
        (void)encoding::decode<consensus::DurableBatch>(payload);
    break;
  case 1:
    (void)encoding::decode<consensus::DurableBatch>(input.Bytes);
    break;
  case 2:
    (void)encoding::decode<consensus::Snapshot>(input.Bytes);
    break;
  default:
    (void)encoding::decode<state::State>(input.Bytes);
  }
  return 0;
}
