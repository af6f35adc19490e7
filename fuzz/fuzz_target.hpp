#ifndef ALMONDGATE_FUZZ_FUZZ_TARGET_HPP
#define ALMONDGATE_FUZZ_FUZZ_TARGET_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

/// Feeds one input to the decoders of a target. Called by libFuzzer, and by
/// replay.cpp for the inputs of the corpus.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

namespace almondgate::fuzz {

/// An input whose first byte selects one of a target's decoders.
struct Input {
  size_t Selector = 0;
  std::string_view Bytes;
};

inline Input inputOf(const uint8_t *data, size_t n) {
  if (n == 0)
    return {};
  return {data[0], {reinterpret_cast<const char *>(data) + 1, n - 1}};
}

} // namespace almondgate::fuzz

#endif
